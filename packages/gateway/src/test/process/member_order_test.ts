/** Heartbeats of several incarnations of one host arrive in any order. */
import {NO_EVENT_LOG, SYSTEM_CLOCK, type Clock} from '@oathead/core';
import {decodeJson, MemoryRowStore, type RowTransaction} from '@oathead/stores';
import test from 'ava';
import {MEMBER, type Member} from '../../lib/process/member.js';
import {Membership} from '../../lib/process/membership.js';
import {FakeClock} from '../fakes/fake_clock.js';
import {feed, incarnation, newMembership} from '../fakes/heartbeats.js';

/** Each heartbeat at its time, in seconds of the store. */
type Heartbeats = ReadonlyArray<readonly [number, Member]>;

function knownAfter(heartbeats: Heartbeats): Membership {
  const members = newMembership();
  const applyHeartbeats = feed(members);
  for (const [seconds, from] of heartbeats) applyHeartbeats(seconds, from);
  return members;
}

function everySecond(from: number, to: number, member: Member): Heartbeats {
  const seconds = [...Array(to - from + 1).keys()].map(i => from + i);
  return seconds.map(second => [second, member] as const);
}

const BEFORE = incarnation('other', 'a', {startedAtMs: 100});
const NOW = incarnation('other', 'b', {startedAtMs: 90_000});
const NEXT = incarnation('other', 'c', {startedAtMs: 95_000});

// Guards against a live host that others shut out for good: after a loss of all
// hosts nobody knows the incarnations before it, and a late heartbeat of the one
// before, read after the first one of the live one, passes for its successor.
test('a late heartbeat does not shut out an incarnation seen first', t => {
  const members = knownAfter([
    [100, NOW],
    [101, BEFORE],
    ...everySecond(102, 104, NOW),
  ]);
  t.true(members.holdsLease(NOW.id));
  t.false(members.isReplaced(NOW.id));
  t.false(members.holdsLease(BEFORE.id));
  t.true(members.isReplaced(BEFORE.id));
  t.deepEqual(
    members.peers().map(({id}) => id),
    [NOW.id],
  );
  t.is(members.peer(NOW.id)?.id, NOW.id);
});

// Guards against hosts that disagree on who is alive because they read the same
// heartbeats in another order.
test('the order in which heartbeats arrive decides nothing', t => {
  const orders = [
    [BEFORE, NOW, NEXT],
    [BEFORE, NEXT, NOW],
    [NOW, BEFORE, NEXT],
    [NOW, NEXT, BEFORE],
    [NEXT, BEFORE, NOW],
    [NEXT, NOW, BEFORE],
  ];
  for (const order of orders) {
    const heartbeats = order.map((member, i) => [100 + i, member] as const);
    const members = knownAfter(heartbeats);
    const name = order.map(({id}) => id).join();
    t.deepEqual(
      members.peers().map(({id}) => id),
      [NEXT.id],
      name,
    );
    t.true(members.isReplaced(BEFORE.id), name);
    t.true(members.isReplaced(NOW.id), name);
  }
});

// Guards against a live host of the build before that is shut out for good: its
// rows tell no start time, so that the one seen last counts as the successor.
test('an incarnation without a start time is known again once its supposed successor lapses', t => {
  const before = incarnation('other', 'a');
  const now = incarnation('other', 'b');
  const late: Heartbeats = [
    [100, now],
    [101, before],
  ];
  const members = knownAfter([...late, ...everySecond(102, 106, now)]);
  t.true(members.holdsLease(now.id));
  t.false(members.isReplaced(now.id));
  t.true(members.isReplaced(before.id));
});

// Guards against the same during a rollout, in either direction.
test('an incarnation of either build is known again once its supposed successor lapses', t => {
  const unstamped = incarnation('other', 'u');
  for (const [now, before] of [
    [NOW, unstamped],
    [unstamped, BEFORE],
  ] as const) {
    const members = knownAfter([
      [100, now],
      [101, before],
      ...everySecond(102, 106, now),
    ]);
    t.true(members.holdsLease(now.id), now.id);
    t.true(members.isReplaced(before.id), before.id);
  }
});

// Guards against a log that names each late heartbeat again, thousands a day,
// and not which incarnation is taken for the live one.
test('an ended incarnation is reported once, with the one that counts', t => {
  const lines: unknown[] = [];
  const event = (name: string, fields = {}) =>
    void (name === 'member-stale' && lines.push(fields));
  const applyHeartbeats = feed(newMembership({event}));
  applyHeartbeats(100, NOW);
  for (const second of [101, 102, 103]) applyHeartbeats(second, BEFORE);
  t.deepEqual(lines, [
    {
      member: BEFORE.id,
      startedAtMs: BEFORE.startedAtMs,
      current: NOW.id,
      currentStartedAtMs: NOW.startedAtMs,
    },
  ]);
});

// Guards against log lines of a lapse that never was: the response that would
// have ended the lease brings the heartbeat that renews it.
test('a host that renews its lease in time is not reported as lapsed', t => {
  const names: string[] = [];
  const event = (name: string) => void names.push(name);
  const applyHeartbeats = feed(newMembership({event}));
  applyHeartbeats(100, NOW);
  applyHeartbeats(101.4);
  applyHeartbeats(102.8);
  applyHeartbeats(104.2, NOW);
  t.deepEqual(names, ['member-seen']);
});

/** Reports the store's time only once a test has set it. */
class LateStore extends MemoryRowStore {
  timeMs: number | undefined;
  readonly written: Member[] = [];

  constructor(clock: Clock) {
    super(clock);
  }

  override storeTimeMs(): number {
    // A store client has no estimate before the first response.
    return this.timeMs as number;
  }

  override async transact(transaction: RowTransaction) {
    for (const {value} of transaction.puts) {
      const member = decodeJson(value, MEMBER);
      if (member.ok) this.written.push(member.value);
    }
    return super.transact(transaction);
  }
}

const STEP_MS = 50;

// Guards against a heartbeat that cannot be told from one of the incarnation
// before: it is sent before the process knows the store's time.
test('a process announces itself once it knows the time of its start', async t => {
  const clock = new FakeClock();
  const store = new LateStore(clock);
  const self = incarnation('me', '1');
  using members = new Membership(self, {store, clock, log: NO_EVENT_LOG});
  const run = async (ms: number) => {
    for (let left = ms; left > 0; left -= STEP_MS) {
      await new Promise(setImmediate);
      clock.advance(STEP_MS);
    }
    await new Promise(setImmediate);
  };
  members.start();
  await run(1000);
  await members.leave();
  t.deepEqual(store.written, []);
  feed(members)(7);
  store.timeMs = 7000.75;
  await run(2 * STEP_MS);
  t.is(store.written.length, 1);
  store.timeMs = 9000;
  await run(2000);
  t.true(store.written.length >= 3);
  t.deepEqual(
    [...new Set(store.written.map(({startedAtMs}) => startedAtMs))],
    [7000],
  );
});
// Guards against peers that take a host for gone while it shuts down: it keeps
// its lease, and a heartbeat of before it left is performed late.
test('a host that has announced that it leaves stays so', t => {
  const members = newMembership();
  const applyHeartbeats = feed(members);
  applyHeartbeats(100, NOW);
  applyHeartbeats(101, {...NOW, isLeaving: true});
  applyHeartbeats(102, NOW);
  t.deepEqual(
    members.peers().map(({id, isLeaving}) => ({id, isLeaving})),
    [{id: NOW.id, isLeaving: true}],
  );
  applyHeartbeats(103, NEXT);
  t.deepEqual(
    members.peers().map(({id, isLeaving}) => ({id, isLeaving})),
    [{id: NEXT.id, isLeaving: undefined}],
  );
});
// Guards against a host that others wait for in vain: until it knows them, it
// takes no job over, counts no quota and answers no placement request.
test('a process announces itself once it knows the other hosts', async t => {
  const clock = new FakeClock();
  const store = new LateStore(clock);
  store.timeMs = 7000;
  const self = incarnation('me', '1');
  using members = new Membership(self, {store, clock, log: NO_EVENT_LOG});
  members.start();
  feed(members)(0, NOW);
  for (let ms = 0; ms < 1000; ms += STEP_MS) {
    await new Promise(setImmediate);
    clock.advance(STEP_MS);
  }
  await members.leave();
  t.deepEqual(store.written, []);
  feed(members)(7, NOW);
  await members.leave();
  t.is(store.written.length, 1);
});

// Guards against a job that is taken from a live host: the host has accepted it
// before others see its first heartbeat, while they still know the incarnation
// before it.
test('an incarnation that has not been seen yet does not count as ended', t => {
  const members = knownAfter([[100, BEFORE]]);
  t.false(members.isReplaced(NOW.id));
  t.true(members.isReplaced('me.0'));
});

// Guards against a wait for the jobs of a host that has restarted: a host that
// knows only the new incarnation cannot tell that the one before has ended.
test('an incarnation names the one that it follows', async t => {
  const store = new LateStore(SYSTEM_CLOCK);
  store.timeMs = 90_000;
  const context = {store, clock: SYSTEM_CLOCK, log: NO_EVENT_LOG};
  using other = new Membership(incarnation('other', 'b'), context);
  feed(other)(90, BEFORE);
  await other.leave();
  const members = knownAfter([[91, store.written[0]!]]);
  t.true(members.isReplaced(BEFORE.id));
  t.true(members.holdsLease(other.self.id));
});

// Guards against a live host that hosts of this build shut out during a rollout:
// the row of the incarnation before, of the earlier build, tells no start time.
test('an incarnation that names the one before it is known again at once', t => {
  const unstamped = incarnation('other', 'u');
  const members = knownAfter([
    [100, NOW],
    [101, unstamped],
    [102, {...NOW, replaces: unstamped.id}],
  ]);
  t.true(members.holdsLease(NOW.id));
  t.true(members.isReplaced(unstamped.id));
});

// Guards against a live host that is shut out: a process that is shutting down
// takes its successor, of a build that tells no start time, for its predecessor.
test('an incarnation that is leaving names none that it follows', async t => {
  const store = new LateStore(SYSTEM_CLOCK);
  store.timeMs = 90_000;
  const context = {store, clock: SYSTEM_CLOCK, log: NO_EVENT_LOG};
  using other = new Membership(incarnation('other', 'b'), context);
  feed(other)(90);
  await other.leave();
  feed(other)(91, incarnation('other', 'successor'));
  await other.leave();
  t.deepEqual(
    store.written.map(({replaces}) => replaces),
    [undefined, undefined],
  );
});
