import {
  NO_EVENT_LOG,
  seededRandom,
  type Counters,
  type WaitDemand,
} from '@oathead/core';
import test from 'ava';
import {targetKey} from '../../lib/connection/load_message.js';
import {
  decodePlacement,
  encodePlacement,
  type PlacementRequest,
} from '../../lib/connection/placement_message.js';
import {Coordinator} from '../../lib/process/coordinator.js';
import {LoadTable} from '../../lib/process/load_table.js';
import {ReturnPromises} from '../../lib/process/return_promises.js';
import {TargetDirectory} from '../../lib/process/target_directory.js';
import {FakeClock} from '../fakes/fake_clock.js';
import {newTarget} from '../fakes/targets.js';

const TARGET = newTarget('t1', {slots: 20, service: 's'});
const NONE = {near: false, tried: new Set<string>(), isSubstitute: false};
const FRESH: WaitDemand = {goalMs: 300, priority: 0, returning: false};
const REFUSED: WaitDemand = {...FRESH, returnWithinMs: 1600};
const RETURNING: WaitDemand = {...FRESH, returning: true};

/** A coordinator with one target, on which the test sets the load. */
function newCoordinator(isCoordinator = true) {
  const clock = new FakeClock();
  const counts: Record<string, number> = {};
  const counters: Counters = {
    count: (name, labels, by = 1) => {
      const outcome = labels?.['outcome'] ?? '';
      counts[outcome] = (counts[outcome] ?? 0) + by;
    },
  };
  const directory = new TargetDirectory({clock, log: NO_EVENT_LOG});
  directory.put(TARGET);
  const now = () => clock.now();
  const loads = new LoadTable(now);
  const overload = {
    latencyOf: () => ({firstByteMs: 50, runMs: 500}),
    maxQueued: () => 0,
    isFull: () => false,
    recordNotPlaced: () => {},
  };
  const promises = new ReturnPromises({
    clock,
    random: {...seededRandom(1), float: () => 0.5},
    counters,
    directory,
    loads,
    overload,
    hostShare: () => 1,
    isCoordinator: () => isCoordinator,
  });
  const freeTarget = () =>
    loads.totalAt(targetKey(TARGET.id)).online < TARGET.slots
      ? TARGET
      : undefined;
  const coordinator = new Coordinator({
    self: 'self',
    dataCentre: 'a',
    chooser: {forRequest: freeTarget} as never,
    loads,
    overload,
    promises,
    now,
  });
  const load = (online: number) =>
    loads.applyReport(
      'other',
      new Map([[targetKey(TARGET.id), {online, batch: 0}]]),
    );
  const place = (demand: WaitDemand) =>
    coordinator.placeOwn('s', demand, NONE).kind;
  /** Refuses requests until one has a promise, and waits until it is due. */
  const promiseOne = () => {
    load(TARGET.slots);
    const outcome = coordinator.placeOwn('s', REFUSED, NONE);
    const retryAfterMs =
      outcome.kind === 'full' ? outcome.retryAfterMs : undefined;
    clock.advance((retryAfterMs ?? 0) + 100);
    return retryAfterMs;
  };
  return {coordinator, counts, clock, load, place, promiseOne};
}

// Guards against a caller that returns at the time it was told and finds the
// room taken by a request that came after its refusal.
test('promised room goes to the caller that returns, and not to a new one', t => {
  const {counts, load, place, promiseOne} = newCoordinator();
  t.not(promiseOne(), undefined);
  load(TARGET.slots - 1);
  t.is(place(FRESH), 'full');
  t.is(place({...RETURNING, late: true}), 'full');
  t.is(place(RETURNING), 'placed');
  t.is(place(FRESH), 'placed');
  t.deepEqual(counts, {made: 1, taken: 1});
});

// Guards against slots that stay empty for a caller that never returns.
test('room that is promised to a caller that stays away is free again', t => {
  const {clock, counts, load, place, promiseOne} = newCoordinator();
  promiseOne();
  load(TARGET.slots - 1);
  t.is(place(FRESH), 'full');
  clock.advance(200);
  t.is(place(FRESH), 'placed');
  t.deepEqual(counts, {made: 1, lapsed: 1});
});

// Guards against promises by hosts whose room is promised by another one, and
// to requests that are still being tried.
test('only the coordinator promises room, and only for a request that is refused', t => {
  t.is(newCoordinator(false).promiseOne(), undefined);
  const {coordinator, counts, load} = newCoordinator();
  load(TARGET.slots);
  t.deepEqual(coordinator.placeOwn('s', FRESH, NONE), {
    kind: 'full',
    cause: 'room',
    retryAfterMs: undefined,
  });
  t.deepEqual(counts, {});
});

// Guards against callers that are turned away after the loss of the coordinator
// that made them a promise.
test('a successor without promises serves callers that return', t => {
  const {load, place} = newCoordinator();
  load(TARGET.slots - 1);
  t.is(place(RETURNING), 'placed');
});

// Guards against hosts of two releases that misread each other: the fields are
// optional, and unknown ones are ignored.
test('a placement request is understood with and without the new fields', t => {
  const request = (demand: object) =>
    ({
      kind: 'ask',
      host: 'h',
      askId: 1,
      service: 's',
      wish: {lane: 'online', demand, near: false},
      excluded: [],
    }) as PlacementRequest;
  for (const demand of [FRESH, REFUSED, {...RETURNING, late: true}])
    t.like(decodePlacement(encodePlacement(request(demand))), {
      wish: {demand},
    });
  t.is(
    decodePlacement(encodePlacement(request({...FRESH, returnWithinMs: -1}))),
    undefined,
  );
});
