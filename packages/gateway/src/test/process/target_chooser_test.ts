import {NO_EVENT_LOG, seededRandom, SYSTEM_CLOCK} from '@oathead/core';
import test from 'ava';
import {targetKey} from '../../lib/connection/load_message.js';
import type {Target} from '../../lib/connection/target.js';
import {ServiceHealth} from '../../lib/process/service_health.js';
import {ServiceOverload} from '../../lib/process/service_overload.js';
import {PreferredTargets} from '../../lib/process/preferred_targets.js';
import {LoadTable} from '../../lib/process/load_table.js';
import {TargetChooser} from '../../lib/process/target_chooser.js';
import {TargetDirectory} from '../../lib/process/target_directory.js';
import {TargetSuspensions} from '../../lib/process/target_suspensions.js';
import {newTarget} from '../fakes/targets.js';

const NONE: ReadonlySet<string> = new Set();
const URGENT = {goalMs: 300, priority: 0, returning: false};
const LESS_URGENT = {...URGENT, priority: 2};

function target(id: string, dataCentre = 'a', leaving = false): Target {
  return newTarget(id, {dataCentre, leaving});
}

function newFleet(...targets: readonly Target[]) {
  const context = {clock: SYSTEM_CLOCK, log: NO_EVENT_LOG};
  const directory = new TargetDirectory(context);
  for (const one of targets) directory.put(one);
  const loads = new LoadTable(() => 0);
  const suspensions = new TargetSuspensions(SYSTEM_CLOCK, NO_EVENT_LOG);
  const health = new ServiceHealth(SYSTEM_CLOCK);
  const random = seededRandom(1);
  const dataCentre = 'a';
  const hosts = () => 1;
  const chooser = new TargetChooser({
    dataCentre,
    directory,
    suspensions,
    health,
    overload: new ServiceOverload({...context, random, directory, hosts}),
    loads,
    preferredTargets: new PreferredTargets({self: 'h', dataCentre, hosts}),
    random,
  });
  const load = (id: string, online: number, batch: number) =>
    loads.applyReport(
      `host of ${id}`,
      new Map([[targetKey(id), {online, batch}]]),
    );
  return {chooser, directory, loads, suspensions, load};
}

test('a local target is selected until it is clearly busier', t => {
  const {chooser, load} = newFleet(target('near'), target('far', 'b'));
  t.is(chooser.forRequest('s', URGENT, NONE)?.id, 'near');
  load('near', 3, 0);
  t.is(chooser.forRequest('s', URGENT, NONE)?.id, 'far');
});

// All requests are refused although the targets are healthy: the network path
// to them failed for a moment, and all are suspended. Suspended targets must
// then be tried.
test('suspended targets get no requests while others are available', t => {
  const {chooser, suspensions} = newFleet(
    target('leaving', 'a', true),
    target('tried'),
    target('well'),
    target('suspended'),
  );
  suspensions.recordFailure('suspended', 'reset');
  const tried = new Set(['tried', 'well']);
  t.is(chooser.forRequest('s', URGENT, new Set(['tried']))?.id, 'well');
  t.is(chooser.forRequest('s', URGENT, tried)?.id, 'suspended');
  t.is(
    chooser.forRequest('s', URGENT, new Set([...tried, 'suspended'])),
    undefined,
  );
});

test('batch items leave slots free for online requests', t => {
  const {chooser, load} = newFleet(target('only'));
  load('only', 2, 5);
  t.is(chooser.items.forItem('s', 'relaxed', NONE), undefined);
  t.is(chooser.items.forItem('s', 'pressed', NONE)?.id, 'only');
  t.is(chooser.forRequest('s', URGENT, NONE)?.id, 'only');
});

// Guards against items that fill a target of few slots to the last one, and are
// preempted by the first online request.
test('items that can wait leave a slot free at targets of five slots and more', t => {
  for (const slots of [1, 2, 3, 4, 5, 6, 7, 8, 16, 32]) {
    const {chooser, load} = newFleet(newTarget('only', {slots}));
    let filled = 0;
    while (chooser.items.forItem('s', 'relaxed', NONE))
      load('only', 0, ++filled);
    const free = slots - filled;
    t.true(slots < 5 ? free === 0 : free >= 1, `${free} of ${slots}`);
    t.true(free <= slots / 4, `${free} of ${slots}`);
  }
});

/**
 * Number of items that each of three hosts preempts at a target with two items
 * of each host and four online requests: ten are in flight, of which eight may
 * stay.
 */
function preemptionsAt(id: string): readonly number[] {
  const hosts = ['h1', 'h2', 'h3'];
  const key = targetKey(id);
  const batch = 2;
  return hosts.map(self => {
    const {chooser, loads} = newFleet(target(id));
    for (let i = 0; i < batch; i++) loads.begin(key, 'batch');
    if (self === 'h3') for (let i = 0; i < 4; i++) loads.begin(key, 'online');
    for (const host of hosts) {
      if (host === self) continue;
      const load = {online: host === 'h3' ? 4 : 0, batch};
      loads.applyReport(host, new Map([[key, load]]));
    }
    return chooser.itemsToPreempt(target(id), self);
  });
}

// In a burst, online requests wait although items are preempted, because every
// host preempts all its items, or none does and each relies on the others. With
// the same loads all hosts must derive the same division, which frees exactly
// the excess.
test('hosts together preempt exactly the excess of items', t => {
  for (const id of ['one', 'two', 'three', 'four'])
    t.deepEqual([...preemptionsAt(id)].sort(), [0, 0, 2], id);
});

// Jobs submitted in one data centre are never completed in time and those of
// another always are, because the items of the same host are preempted first at
// all targets.
test('the host whose items are preempted first differs by target', t => {
  const ids = [...Array(30).keys()].map(i => `target ${i}`);
  const first = ids.map(id => preemptionsAt(id).indexOf(2));
  for (const host of [0, 1, 2])
    t.true(first.filter(one => one === host).length >= 5, `${first}`);
});

// Target time is wasted on items that are never completed in time: in each
// burst, nearly completed items of one host are preempted while items of
// another that have just begun continue.
test('nearly completed items of all hosts are preempted last', t => {
  const key = targetKey('only');
  const loadOf = (host: string) => ({
    online: 0,
    batch: 5,
    nearlyDone: host === 'h1' ? 5 : 2,
  });
  const hosts = ['h1', 'h2'];
  const preemptions = hosts.map(self => {
    const {chooser, loads} = newFleet(target('only'));
    for (let i = 0; i < 5; i++) loads.begin(key, 'batch');
    loads.markNearlyDone(key, loadOf(self).nearlyDone);
    for (const host of hosts)
      if (host !== self)
        loads.applyReport(host, new Map([[key, loadOf(host)]]));
    return chooser.itemsToPreempt(target('only'), self);
  });
  t.deepEqual(preemptions, [0, 2]);
});

// A nearly completed item has ended since the host counted such items. The host
// must not preempt more items than it has.
test('an outdated count of nearly completed items is capped at the load', t => {
  const {chooser, loads, load} = newFleet(target('only'));
  const key = targetKey('only');
  const items = [1, 2].map(() => loads.begin(key, 'batch'));
  loads.markNearlyDone(key, 2);
  items[0]![Symbol.dispose]();
  load('only', 20, 0);
  t.is(chooser.itemsToPreempt(target('only'), 'h'), 1);
});

test('a target is full for less urgent requests first', t => {
  const {chooser, load} = newFleet(target('only'));
  load('only', 10, 0);
  t.is(chooser.forRequest('s', URGENT, NONE)?.id, 'only');
  t.is(chooser.forRequest('s', LESS_URGENT, NONE), undefined);
});

// Guards against a stream that goes on at a target of another software version,
// be that one full, suspended or tried.
test('only targets of the wanted software version are selected', t => {
  const {chooser, load, suspensions} = newFleet(
    newTarget('one', {softwareVersion: 'v1'}),
    newTarget('two', {softwareVersion: 'v2'}),
  );
  const first = {...URGENT, softwareVersion: 'v1'};
  load('one', 4, 0);
  t.is(chooser.forRequest('s', URGENT, NONE)?.id, 'two');
  t.is(chooser.forRequest('s', first, NONE)?.id, 'one');
  suspensions.recordFailure('one', 'reset');
  t.is(chooser.forRequest('s', first, NONE)?.id, 'one');
  load('one', 50, 0);
  t.is(chooser.forRequest('s', first, NONE), undefined);
  t.false(chooser.hasUntried('s', new Set(['one']), first));
  t.true(chooser.hasSuitable('s', first));
  t.false(chooser.hasSuitable('s', {softwareVersion: 'v3'}));
});
