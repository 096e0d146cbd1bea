import {NO_COUNTERS, NO_EVENT_LOG, seededRandom} from '@oathead/core';
import {FakeClock} from '../fakes/fake_clock.js';
import test from 'ava';
import type {PlacementMessage} from '../../lib/connection/placement_message.js';
import {Coordinator} from '../../lib/process/coordinator.js';
import {PreferredTargets} from '../../lib/process/preferred_targets.js';
import {LoadTable} from '../../lib/process/load_table.js';
import {targetKey} from '../../lib/connection/load_message.js';
import {Placement} from '../../lib/process/placement.js';
import type {
  ItemPlacementOutcome,
  PlacementOutcome,
} from '../../lib/process/placement_outcome.js';
import {ReturnPromises} from '../../lib/process/return_promises.js';
import {ServiceHealth} from '../../lib/process/service_health.js';
import {ServiceOverload} from '../../lib/process/service_overload.js';
import {TargetChooser} from '../../lib/process/target_chooser.js';
import {TargetDirectory} from '../../lib/process/target_directory.js';
import {TargetSuspensions} from '../../lib/process/target_suspensions.js';
import {newTarget} from '../fakes/targets.js';

const DEMAND = {goalMs: 300, priority: 0, returning: false};
const NONE: ReadonlySet<string> = new Set();
const TARGETS = ['t1', 't2'] as const;
const COORDINATOR = {id: 'leader', dataCentre: 'a'};

/**
 * Creates a host with its own load table of two targets, and records what it
 * sends.
 */
function newHost(id: string, clock: FakeClock) {
  const log = NO_EVENT_LOG;
  const random = seededRandom(1);
  const directory = new TargetDirectory({clock, log});
  for (const target of TARGETS) directory.put(newTarget(target));
  const loads = new LoadTable(() => clock.now());
  const hosts = () => 30;
  const dataCentre = 'a';
  const suspensions = new TargetSuspensions(clock, log);
  const overload = new ServiceOverload({clock, random, directory, hosts});
  const chooser = new TargetChooser({
    dataCentre,
    directory,
    suspensions,
    health: new ServiceHealth(clock),
    overload,
    loads,
    preferredTargets: new PreferredTargets({self: id, dataCentre, hosts}),
    random,
  });
  const sent: Array<readonly [PlacementMessage, string]> = [];
  const preempted: Array<readonly [string, number]> = [];
  const placement = new Placement({
    self: {id, dataCentre},
    clock,
    log,
    counters: NO_COUNTERS,
    chooser,
    directory,
    localCoordinator: new Coordinator({
      self: id,
      dataCentre,
      chooser,
      loads,
      overload,
      promises: new ReturnPromises({
        clock,
        random,
        counters: NO_COUNTERS,
        loads,
        directory,
        overload,
        hostShare: () => 1,
        isCoordinator: () => id === COORDINATOR.id,
      }),
      now: () => clock.now(),
    }),
    coordinator: () => (id === COORDINATOR.id ? undefined : COORDINATOR),
    coordinatorOf: () => undefined,
    peer: peer => ({id: peer, dataCentre}),
    send: (message, to) => sent.push([message, to.id]),
    onPreempt: (targetId, items) => preempted.push([targetId, items]),
  });
  const fill = (from: string, target: string, online: number, batch: number) =>
    loads.applyReport(from, new Map([[targetKey(target), {online, batch}]]));
  return {placement, directory, suspensions, loads, sent, preempted, fill};
}

function idOf(outcome: PlacementOutcome | ItemPlacementOutcome) {
  return outcome.kind === 'placed' ? outcome.target.id : undefined;
}

function newPair() {
  const clock = new FakeClock();
  const requester = newHost('asker', clock);
  const coordinator = newHost(COORDINATOR.id, clock);
  for (const host of [requester, coordinator]) {
    host.fill('x', 't1', 5, 0);
    host.fill('y', 't2', 6, 0);
  }
  return {clock, requester, coordinator};
}

// All hosts of a data centre send to the one target that looked free: the
// coordinator must count its placements before anybody reports them.
test('placements of the coordinator count for the next request', async t => {
  const {requester, coordinator} = newPair();
  const targetIds: Array<string | undefined> = [];
  for (let i = 0; i < 4; i++) {
    const placed = requester.placement.forRequest('s', DEMAND, NONE);
    coordinator.placement.receive(requester.sent.at(-1)![0]);
    const [grant, to] = coordinator.sent.at(-1)!;
    t.is(to, 'asker');
    requester.placement.receive(grant);
    targetIds.push(idOf(await placed));
  }
  t.deepEqual([...targetIds].sort(), ['t1', 't1', 't2', 't2']);
});

test('the coordinator is not asked while local targets have free slots', async t => {
  const {requester} = newPair();
  requester.fill('x', 't1', 1, 0);
  t.is(idOf(await requester.placement.forRequest('s', DEMAND, NONE)), 't1');
  t.deepEqual(requester.sent, []);
});

// A draining target gets a request: the coordinator has read the target list
// earlier than the host that sends the request.
test('a placement at a draining target is not used', async t => {
  const {requester, coordinator} = newPair();
  requester.directory.put(newTarget('t1', {leaving: true}));
  const placed = requester.placement.forRequest('s', DEMAND, NONE);
  coordinator.placement.receive(requester.sent.at(-1)![0]);
  const [grant] = coordinator.sent.at(-1)!;
  t.deepEqual(grant, {kind: 'grant', askId: 1, targetId: 't1'});
  requester.placement.receive(grant);
  t.is(idOf(await placed), 't2');
});

// Requests of one host go again and again to a crashed target: it refuses
// connections, and has the lowest load for the coordinator, which has not tried
// it.
test('a target that failed the requesting host is not selected', async t => {
  const {requester, coordinator} = newPair();
  requester.suspensions.recordFailure('t1', 'ECONNREFUSED');
  const placed = requester.placement.forRequest('s', DEMAND, NONE);
  coordinator.placement.receive(requester.sent.at(-1)![0]);
  requester.placement.receive(coordinator.sent.at(-1)![0]);
  t.is(idOf(await placed), 't2');
});

function requestFrom(
  host: string,
  excluded: readonly string[],
): PlacementMessage {
  const wish = {lane: 'online', demand: DEMAND, near: false} as const;
  return {kind: 'ask', host, askId: 1, service: 's', wish, excluded};
}

// In a burst, fifteen hosts find out one after another that a target has
// crashed. Reports of two of them must be enough for the others, and must
// expire.
test('a target that failed two hosts is avoided for all hosts', t => {
  const {coordinator, clock} = newPair();
  const placedFor = (host: string, excluded: readonly string[]) => {
    coordinator.placement.receive(requestFrom(host, excluded));
    const [grant] = coordinator.sent.at(-1)!;
    return grant.kind === 'grant' ? grant.targetId : undefined;
  };
  t.is(placedFor('h1', ['t1']), 't2');
  t.is(placedFor('h2', []), 't1', 'a single host may be partitioned from it');
  t.is(placedFor('h2', ['t1']), 't2');
  coordinator.fill('y', 't2', 6, 0);
  coordinator.fill('x', 't1', 0, 0);
  t.is(placedFor('h3', []), 't2');
  coordinator.fill('y', 't2', 30, 0);
  t.is(placedFor('h3', []), 't1', 'no other target has free slots');
  coordinator.fill('y', 't2', 6, 0);
  clock.advance(1000);
  t.is(placedFor('h3', []), 't1');
});

// An item is placed again and again where it failed: such a target has free
// slots at once.
test('an item is not placed at a target that it avoids', async t => {
  const {requester, coordinator} = newPair();
  const avoided = new Set(['t1']);
  const placed = requester.placement.forItem('s', 'pressed', avoided);
  coordinator.placement.receive(requester.sent.at(-1)![0]);
  requester.placement.receive(coordinator.sent.at(-1)![0]);
  t.is(idOf(await placed), 't2');
  requester.fill('y', 't2', 8, 0);
  t.deepEqual(await requester.placement.forItem('s', 'pressed', avoided), {
    kind: 'full',
    by: 'own-view',
  });
});

// Two items that every target fails would take their targets from all requests.
test('a target that failed two items is not avoided for all hosts', t => {
  const {coordinator} = newPair();
  const avoided = ['t1'];
  for (const host of ['h1', 'h2'])
    coordinator.placement.receive({
      ...{kind: 'ask', host, askId: 1, service: 's', excluded: []},
      wish: {lane: 'batch', pressure: 'pressed', avoided},
    });
  coordinator.fill('y', 't2', 7, 0);
  coordinator.placement.receive(requestFrom('h3', []));
  t.like(coordinator.sent.at(-1)![0], {kind: 'grant', targetId: 't1'});
});

// Online requests are placed at targets that only items have found full or
// gone.
test('a target that two hosts suspended is avoided although items report it', async t => {
  const {coordinator} = newPair();
  for (const host of ['h1', 'h2'])
    coordinator.placement.receive({
      ...{kind: 'ask', host, askId: 1, service: 's', excluded: ['t1']},
      wish: {lane: 'batch', pressure: 'pressed', avoided: []},
    });
  coordinator.fill('y', 't2', 6, 0);
  coordinator.placement.receive(requestFrom('h3', []));
  t.like(coordinator.sent.at(-1)![0], {kind: 'grant', targetId: 't2'});
});

// Every request of a data centre waits for its failed coordinator.
test('an unresponsive coordinator delays few requests and is not asked for a while', async t => {
  const {requester, clock} = newPair();
  for (let i = 0; i < 5; i++) {
    const placed = requester.placement.forRequest('s', DEMAND, NONE);
    clock.advance(30);
    t.is(idOf(await placed), 't1');
  }
  t.is(requester.sent.length, 3);
  clock.advance(2000);
  requester.fill('x', 't1', 5, 0);
  requester.fill('y', 't2', 6, 0);
  const placed = requester.placement.forRequest('s', DEMAND, NONE);
  t.is(requester.sent.length, 4);
  clock.advance(30);
  await placed;
});

// An online request waits behind an item of another host until that host learns
// of it. The coordinator that placed the request must notify it at once, and
// only once.
test('items that occupy the slot of a request are preempted by their host', async t => {
  const {requester, coordinator} = newPair();
  for (const host of [requester, coordinator]) {
    host.fill('x', 't1', 5, 3);
    host.fill('y', 't2', 9, 0);
  }
  for (let i = 0; i < 2; i++) {
    const placed = requester.placement.forRequest('s', DEMAND, NONE);
    coordinator.placement.receive(requester.sent.at(-1)![0]);
    const grants = coordinator.sent.filter(([{kind}]) => kind === 'grant');
    requester.placement.receive(grants.at(-1)![0]);
    await placed;
  }
  const preemptions = coordinator.sent.filter(([{kind}]) => kind === 'yield');
  t.deepEqual(preemptions, [
    [{kind: 'yield', targetId: 't1', items: 1}, 'x'],
    [{kind: 'yield', targetId: 't1', items: 1}, 'x'],
  ]);
  const holder = newHost('x', new FakeClock());
  holder.placement.receive(preemptions[0]![0]);
  t.deepEqual(holder.preempted, [['t1', 1]]);
});

// A target looks full forever or twice as full as it is: a placed request is
// reported by the host that sent it, or was never sent.
test('a placement counts once and until it is reported', t => {
  let now = 0;
  const loads = new LoadTable(() => now);
  loads.addPendingChange('x', 't', 'online', 1);
  t.is(loads.totalAt('t').online, 1);
  loads.applyReport('x', new Map());
  t.is(loads.totalAt('t').online, 1, 'the report is too early to include it');
  now = 60;
  loads.applyReport('x', new Map([['t', {online: 1, batch: 0}]]));
  t.is(loads.totalAt('t').online, 1);
  loads.addPendingChange('gone', 't', 'online', 1);
  now = 1000;
  loads.expire();
  t.is(loads.totalAt('t').online, 1);
});

// Guards against a stream that goes on at another software version: the
// coordinator runs an older release and does not know the demand for one.
test('a placement at a target of another software version is not used', async t => {
  const {requester, coordinator} = newPair();
  for (const {directory} of [requester, coordinator])
    directory.put(newTarget('t2', {softwareVersion: 'v2'}));
  const demand = {...DEMAND, softwareVersion: 'v2'};
  const placed = requester.placement.forRequest('s', demand, NONE);
  const [ask] = requester.sent.at(-1)!;
  t.true(ask.kind === 'ask' && ask.wish.lane === 'online');
  t.like(ask, {wish: {demand: {softwareVersion: 'v2'}}});
  if (ask.kind !== 'ask' || ask.wish.lane !== 'online') return;
  const {softwareVersion: unknown, ...known} = ask.wish.demand;
  coordinator.placement.receive({...ask, wish: {...ask.wish, demand: known}});
  t.is(unknown, 'v2');
  const [grant] = coordinator.sent.at(-1)!;
  t.is(grant.kind === 'grant' && grant.targetId, 't1');
  requester.placement.receive(grant);
  t.is(idOf(await placed), 't2');
});
