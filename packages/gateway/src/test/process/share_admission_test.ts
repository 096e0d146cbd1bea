import type {WaitDemand} from '@oathead/core';
import {pack} from 'msgpackr';
import test from 'ava';
import {targetKey} from '../../lib/connection/load_message.js';
import {
  decodePlacement,
  encodePlacement,
} from '../../lib/connection/placement_message.js';
import type {Target} from '../../lib/connection/target.js';
import {LoadTable} from '../../lib/process/load_table.js';
import {
  ShareAdmission,
  type FindTarget,
} from '../../lib/process/share_admission.js';
import {newTarget} from '../fakes/targets.js';

const NEAR = newTarget('near', {slots: 10});
const FAR = newTarget('far', {slots: 10, dataCentre: 'b'});

/** A coordinator of data centre `a`, and searches of accounts at it. */
function newCoordinator(queueLength = 1) {
  let now = 0;
  const loads = new LoadTable(() => now);
  const counted: string[] = [];
  const events: Array<readonly [string, object | undefined]> = [];
  const admission = new ShareAdmission({
    dataCentre: 'a',
    directory: {ofService: () => [NEAR, FAR]},
    suspensions: {isSuspended: () => false},
    loads,
    overload: {
      latencyOf: () => ({firstByteMs: 50, runMs: 500}),
      maxQueued: () => queueLength,
    },
    counters: {
      count: (name, labels = {}) =>
        counted.push([name, ...Object.values(labels)].join(' ')),
    },
    log: {event: (name, fields) => events.push([name, fields])},
    now: () => now,
    weightOf: () => undefined,
    hasCoordinators: () => true,
  });
  const searches: Array<readonly [WaitDemand, ReadonlySet<string>]> = [];
  const search: FindTarget = (demand, excluded) => {
    searches.push([demand, excluded]);
    return excluded.has('near') ? undefined : NEAR;
  };
  const place = (
    account: string | undefined,
    found: FindTarget = search,
    isSubstitute = false,
  ) => {
    const demand = {goalMs: 300, priority: 0, returning: false, account};
    const excluded = new Set<string>();
    const request = {service: 's', demand, excluded, isSubstitute};
    return admission.place(request, found);
  };
  const fill = (online: number) =>
    loads.applyReport('x', new Map([[targetKey('near'), {online, batch: 0}]]));
  const advance = (ms: number) => (now += ms);
  return {place, searches, counted, events, fill, advance};
}

/** Lets one account use most slots and others ask for more than there are. */
function newContended(queueLength?: number) {
  const coordinator = newCoordinator(queueLength);
  for (let i = 0; i < 18; i++) {
    coordinator.place('flood');
    if (i % 6 === 0) coordinator.place('other');
  }
  coordinator.fill(12);
  coordinator.advance(30);
  coordinator.searches.length = 0;
  coordinator.counted.length = 0;
  return coordinator;
}

// A request beyond the share joins a queue, or nobody can tell from the log why
// it was refused.
test('an account over its share gets free slots only, and is told its share', t => {
  const {place, searches, counted, events} = newContended();
  const outcome = place('flood', (demand, excluded) => {
    searches.push([demand, excluded]);
    return undefined;
  });
  t.like(outcome, {kind: 'full', cause: 'share'});
  const figures = outcome.kind === 'full' ? outcome.figures : undefined;
  t.truthy(figures);
  const {use, share, room} = figures!;
  t.true(use >= share && share < room, JSON.stringify(figures));
  t.is(searches.length, 1);
  t.true(searches[0]![0].mustNotQueue);
  t.deepEqual(counted, ['share_decisions over full']);
  t.is(events[0]![0], 'account-shares');
  t.like(events[0]![1], {service: 's', accounts: 2});
});

// An account below its share is refused while others run beyond theirs.
test('an account below its share may wait as long as one that was refused', t => {
  const {place, searches} = newContended();
  const find: FindTarget = (demand, excluded) => {
    searches.push([demand, excluded]);
    return demand.returning ? NEAR : undefined;
  };
  t.like(place('other', find), {kind: 'placed'});
  t.deepEqual(
    searches.map(([{returning}]) => returning),
    [true],
  );
  const substitute = place('other', find, true);
  t.like(substitute, {kind: 'full', cause: 'room'}, 'it knows no queues');
});

// With long runs nobody may queue, and the flood takes each slot that is free.
test('slots are kept free if no request may wait for one', t => {
  const {place, fill, advance} = newContended(0);
  place('other');
  fill(9);
  advance(10);
  t.like(place('flood'), {kind: 'full', cause: 'share'});
  t.like(place('other'), {kind: 'placed'});
  const withQueue = newContended(1);
  withQueue.place('other');
  withQueue.fill(9);
  withQueue.advance(10);
  t.like(withQueue.place('flood'), {kind: 'placed'});
});

// An account is charged twice for a request that another data centre serves.
test('a request that gets a slot elsewhere is counted there', t => {
  const {place, fill, advance, counted} = newContended();
  const goElsewhere = (): Target => FAR;
  for (let i = 0; i < 30; i++) place('other', goElsewhere);
  fill(12);
  advance(30);
  place('other');
  t.is(counted.at(-1), 'share_decisions below placed');
});

// Requests of public routes, and of deployments without accounts, change.
test('a request without an account is placed as before', t => {
  const {place, searches, counted} = newContended();
  t.like(place(undefined), {kind: 'placed'});
  t.is(searches.length, 1);
  t.is(searches[0]![0].mustNotQueue, undefined);
  t.deepEqual(counted, []);
});

// Hosts of the release before cannot ask a new coordinator, or the reverse,
// during an upgrade.
test('placement messages of the release before are understood', t => {
  const old = {
    kind: 'ask',
    host: 'h',
    askId: 1,
    service: 's',
    wish: {
      lane: 'online',
      demand: {goalMs: 300, priority: 0, returning: false},
      near: false,
    },
    excluded: [],
  };
  t.like(decodePlacement(pack([12, old])), old);
  const grant = {kind: 'grant', askId: 1};
  t.like(decodePlacement(pack([12, grant])), grant);
  const figures = {use: 5, share: 4, room: 10};
  const refusal = {...grant, cause: 'share', figures} as const;
  t.like(decodePlacement(encodePlacement(refusal as never)), refusal);
});

// One bad message makes all later shares NaN.
test('a message with bad figures is dropped', t => {
  const grant = {kind: 'grant', askId: 1, cause: 'share'};
  for (const use of [-1, 0.5, NaN, '5'])
    t.is(
      decodePlacement(
        pack([12, {...grant, figures: {use, share: 1, room: 1}}]),
      ),
      undefined,
    );
});
