import {NO_EVENT_LOG, seededRandom, SYSTEM_CLOCK} from '@oathead/core';
import test from 'ava';
import {targetKey} from '../../lib/connection/load_message.js';
import type {Target} from '../../lib/connection/target.js';
import {ServiceHealth} from '../../lib/process/service_health.js';
import {ServiceOverload} from '../../lib/process/service_overload.js';
import {HomeTargets} from '../../lib/process/home_targets.js';
import {LoadTable} from '../../lib/process/load_table.js';
import {TargetChooser} from '../../lib/process/target_chooser.js';
import {TargetDirectory} from '../../lib/process/target_directory.js';
import {TargetSuspensions} from '../../lib/process/target_suspensions.js';
import {targetOf} from '../fakes/targets.js';

const NONE: ReadonlySet<string> = new Set();
const URGENT = {goalMs: 300, priority: 0, returning: false};
const LESS_URGENT = {...URGENT, priority: 2};

function target(id: string, dataCentre = 'a', leaving = false): Target {
  return targetOf(id, {dataCentre, leaving});
}

function fleet(...targets: readonly Target[]) {
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
    homes: new HomeTargets({self: 'h', dataCentre, hosts}),
    random,
  });
  const load = (id: string, online: number, batch: number) =>
    loads.hear(`host of ${id}`, new Map([[targetKey(id), {online, batch}]]));
  return {chooser, directory, loads, suspensions, load};
}

test('a near target is chosen until it is clearly busier', t => {
  const {chooser, load} = fleet(target('near'), target('far', 'b'));
  t.is(chooser.forRequest('s', URGENT, NONE)?.id, 'near');
  load('near', 3, 0);
  t.is(chooser.forRequest('s', URGENT, NONE)?.id, 'far');
});

// All requests are refused although targets are well: the way to them had failed
// for a moment, and all are suspended. The suspended ones must then be tried.
test('suspended targets get nothing while others are open', t => {
  const {chooser, suspensions} = fleet(
    target('leaving', 'a', true),
    target('tried'),
    target('well'),
    target('suspended'),
  );
  suspensions.failed('suspended', 'reset');
  const tried = new Set(['tried', 'well']);
  t.is(chooser.forRequest('s', URGENT, new Set(['tried']))?.id, 'well');
  t.is(chooser.forRequest('s', URGENT, tried)?.id, 'suspended');
  t.is(
    chooser.forRequest('s', URGENT, new Set([...tried, 'suspended'])),
    undefined,
  );
});

test('batch items leave room that online requests still take', t => {
  const {chooser, load} = fleet(target('only'));
  load('only', 2, 5);
  t.is(chooser.forItem('s', 'relaxed'), undefined);
  t.is(chooser.forItem('s', 'pressed')?.id, 'only');
  t.is(chooser.forRequest('s', URGENT, NONE)?.id, 'only');
});

/** What each of three hosts ends at a target with two items of each of them
 * and four online requests: ten in flight, of which eight may stay. */
function yieldsAt(id: string): readonly number[] {
  const hosts = ['h1', 'h2', 'h3'];
  const key = targetKey(id);
  const batch = 2;
  return hosts.map(self => {
    const {chooser, loads} = fleet(target(id));
    for (let i = 0; i < batch; i++) loads.begin(key, 'batch');
    if (self === 'h3') for (let i = 0; i < 4; i++) loads.begin(key, 'online');
    for (const host of hosts) {
      if (host === self) continue;
      const load = {online: host === 'h3' ? 4 : 0, batch};
      loads.hear(host, new Map([[key, load]]));
    }
    return chooser.itemsToYield(target(id), self);
  });
}

// Online requests wait in a burst although items give way: every host ends all
// its items, or none does since each leaves it to the others. With the same
// loads all hosts must come to one division that frees just what is needed.
test('hosts end together as many items as are too many', t => {
  for (const id of ['one', 'two', 'three', 'four'])
    t.deepEqual([...yieldsAt(id)].sort(), [0, 0, 2], id);
});

// Jobs that were handed in at one data centre are never done in time, and those
// of another always: in each burst the same host gave way first at all targets.
test('hosts give way first at different targets', t => {
  const ids = [...Array(30).keys()].map(i => `target ${i}`);
  const first = ids.map(id => yieldsAt(id).indexOf(2));
  for (const host of [0, 1, 2])
    t.true(first.filter(one => one === host).length >= 5, `${first}`);
});

// Much time of targets goes into texts that are never finished in time: in each
// burst a host ended items that were nearly done, while items of another that
// had just begun went on.
test('what is nearly done gives way last, on all hosts', t => {
  const key = targetKey('only');
  const loadOf = (host: string) => ({
    online: 0,
    batch: 5,
    nearlyDone: host === 'h1' ? 5 : 2,
  });
  const hosts = ['h1', 'h2'];
  const yields = hosts.map(self => {
    const {chooser, loads} = fleet(target('only'));
    for (let i = 0; i < 5; i++) loads.begin(key, 'batch');
    loads.markNearlyDone(key, loadOf(self).nearlyDone);
    for (const host of hosts)
      if (host !== self) loads.hear(host, new Map([[key, loadOf(host)]]));
    return chooser.itemsToYield(target('only'), self);
  });
  t.deepEqual(yields, [0, 2]);
});

// An item that was nearly done has ended since the host counted them; it must
// not end more items than it has.
test('a count that is older than the load counts for no more than there is', t => {
  const {chooser, loads, load} = fleet(target('only'));
  const key = targetKey('only');
  const items = [1, 2].map(() => loads.begin(key, 'batch'));
  loads.markNearlyDone(key, 2);
  items[0]![Symbol.dispose]();
  load('only', 20, 0);
  t.is(chooser.itemsToYield(target('only'), 'h'), 1);
});

test('what is less urgent finds a target full first', t => {
  const {chooser, load} = fleet(target('only'));
  load('only', 10, 0);
  t.is(chooser.forRequest('s', URGENT, NONE)?.id, 'only');
  t.is(chooser.forRequest('s', LESS_URGENT, NONE), undefined);
});
