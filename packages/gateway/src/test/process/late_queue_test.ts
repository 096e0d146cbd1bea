import {NO_EVENT_LOG, type Counters, type WaitDemand} from '@oathead/core';
import test from 'ava';
import {LateQueue, type LateWait} from '../../lib/process/late_queue.js';
import {NO_ROOM} from '../../lib/process/placement_outcome.js';
import {FakeClock} from '../fakes/fake_clock.js';
import {newTarget} from '../fakes/targets.js';

const SERVICE = 's';
const TARGET = newTarget('t1', {slots: 8});
const NONE: ReadonlySet<string> = new Set();
const DEMAND: WaitDemand = {goalMs: 300, priority: 0, returning: true};
const RUN_MS = 600;

/** A queue whose local view and coordinator the test sets. */
function newQueue() {
  const clock = new FakeClock();
  const counts: Record<string, number> = {};
  const counters: Counters = {
    count: (name, labels) => {
      const outcome = labels?.['outcome'] ?? '';
      counts[outcome] = (counts[outcome] ?? 0) + 1;
    },
  };
  const state = {
    seesFreeSlot: false,
    hasFreeSlot: true,
    isFull: false,
    isEnabled: true,
    asked: [] as WaitDemand[],
  };
  const queue = new LateQueue({
    clock,
    counters,
    log: NO_EVENT_LOG,
    chooser: {forRequest: () => (state.seesFreeSlot ? TARGET : undefined)},
    directory: {slotsOf: () => 8},
    overload: {
      latencyOf: () => ({firstByteMs: 50, runMs: RUN_MS}),
      isFull: () => state.isFull,
    },
    placement: {
      usesPeerCoordinator: true,
      forRequest: async (service, demand) => {
        state.asked.push(demand);
        return state.hasFreeSlot ? {kind: 'placed', target: TARGET} : NO_ROOM;
      },
    },
    hosts: () => 1,
    isEnabled: () => state.isEnabled,
  });
  const wait = (deadlineInMs = 3300, demand: Partial<WaitDemand> = {}) =>
    queue.wait({
      requestId: 'r',
      service: SERVICE,
      demand: {...DEMAND, ...demand},
      deadlineAt: clock.now() + deadlineInMs,
      tried: NONE,
    });
  const advance = async (ms: number) => {
    for (let i = 0; i < ms; i += 5) {
      clock.advance(5);
      await new Promise(resolve => setImmediate(resolve));
    }
  };
  return {queue, clock, state, counts, wait, advance};
}

async function stateOf({end}: LateWait): Promise<string> {
  const pending = new Promise<{kind: string}>(resolve =>
    setImmediate(() => resolve({kind: 'waiting'})),
  );
  return (await Promise.race([end, pending])).kind;
}

// Guards against refusing for good a caller for whom a slot becomes free before
// its deadline, and against a late request that is taken for one in time.
test('a late request gets a slot that becomes free, and is marked as late', async t => {
  const {state, wait, advance} = newQueue();
  const waiting = wait();
  await advance(500);
  t.is(await stateOf(waiting), 'waiting');
  t.is(state.asked.length, 0);
  state.seesFreeSlot = true;
  await advance(100);
  t.is(await stateOf(waiting), 'placed');
  t.true(state.asked.every(({late}) => late));
});

// Guards against callers that are held although they cannot be served any more.
test('a request is refused when it is too late to run, on arrival too', async t => {
  const {wait, advance, counts} = newQueue();
  const late = wait(RUN_MS);
  t.is(await stateOf(late), 'too-late');
  const waiting = wait(1500);
  await advance(500);
  t.is(await stateOf(waiting), 'waiting');
  await advance(200);
  t.is(await stateOf(waiting), 'too-late');
  t.deepEqual(counts, {'too-late': 2, begun: 1});
});

// Guards against placement requests for each waiting request and each poll.
test('many waiting requests ask for slots as rarely as one', async t => {
  const {state, wait, advance} = newQueue();
  state.seesFreeSlot = true;
  state.hasFreeSlot = false;
  for (let i = 0; i < 8; i++) wait();
  await advance(1000);
  t.true(state.asked.length <= 20, String(state.asked.length));
});

// Guards against late requests that take the slots of requests in time while
// these are refused.
test('no slot is asked for while requests in time find no room', async t => {
  const {state, wait, advance} = newQueue();
  state.seesFreeSlot = true;
  state.isFull = true;
  const waiting = wait();
  await advance(500);
  t.is(state.asked.length, 0);
  t.is(await stateOf(waiting), 'waiting');
});

// Guards against slots for callers that have left, and against a queue that
// stops when one of them leaves.
test('a request whose caller leaves is dropped, and the next one is served', async t => {
  const {state, wait, advance} = newQueue();
  const first = wait();
  const second = wait();
  first.leave();
  t.is(await stateOf(first), 'left');
  state.seesFreeSlot = true;
  await advance(100);
  t.is(state.asked.length, 1);
  t.is(await stateOf(second), 'placed');
});

// Guards against hosts that all take each free slot, because each of their few
// late requests finds an empty queue.
test('late requests that come one by one keep the pause between slots', async t => {
  const {state, wait, advance} = newQueue();
  state.seesFreeSlot = true;
  t.is(await stateOf(wait()), 'placed');
  const next = wait();
  await advance(100);
  t.is(await stateOf(next), 'waiting');
  await advance(100);
  t.is(await stateOf(next), 'placed');
});

// Guards against less urgent requests that are served before urgent ones.
test('the most urgent request is served first', async t => {
  const {state, wait, advance} = newQueue();
  const lesser = wait(3300, {priority: 2});
  const urgent = wait(3300, {priority: 0});
  state.seesFreeSlot = true;
  await advance(100);
  t.is(await stateOf(urgent), 'placed');
  t.is(await stateOf(lesser), 'waiting');
});

// Guards against a planned stop that cuts off a late request, or takes new ones.
test('a stop serves what can end before it and refuses the rest at once', async t => {
  const {queue, clock, state, wait, advance} = newQueue();
  const waiting = wait();
  queue.close(clock.now() + 2000);
  t.is(await stateOf(wait()), 'closed');
  state.seesFreeSlot = true;
  await advance(100);
  t.is(await stateOf(waiting), 'placed');
  const other = newQueue();
  const stopped = other.wait();
  other.queue.close(other.clock.now() + RUN_MS);
  t.is(await stateOf(stopped), 'too-late');
});

// Guards against waits where the settings do not call for them.
test('nothing waits if late slots are switched off', async t => {
  const {state, wait, counts} = newQueue();
  state.isEnabled = false;
  t.is(await stateOf(wait()), 'closed');
  t.deepEqual(counts, {});
});
