import {failure, NO_EVENT_LOG, sleep, SYSTEM_CLOCK} from '@oathead/core';
import {MemoryRowStore, type RowStore} from '@oathead/stores';
import test from 'ava';
import {MEMBER_TABLE, memberId} from '../../lib/process/member.js';
import {Membership} from '../../lib/process/membership.js';
import {FakeClock} from '../fakes/fake_clock.js';
import {feed, incarnation, newMembership} from '../fakes/heartbeats.js';

test('a host without heartbeats loses its lease and others keep theirs', t => {
  const members = newMembership();
  const applyHeartbeats = feed(members);
  const silent = incarnation('silent', '1');
  const live = incarnation('live', '1');
  applyHeartbeats(1, silent, live);
  for (const second of [2, 3, 4, 5]) applyHeartbeats(second, live);
  t.false(members.holdsLease(silent.id));
  t.true(members.hasLapsed(silent.id));
  t.true(members.holdsLease(live.id));
  t.false(members.hasLapsed(live.id));
  t.false(members.hasLapsed(memberId('unknown', '1')));
  t.deepEqual(
    members.peers().map(({id}) => id),
    [live.id],
  );
});

// After an outage of the store all hosts consider each other dead and run each
// other's items, because nobody could send heartbeats. Leases are extended by
// the time without responses from the store.
test('no host is declared dead because of a store outage', t => {
  const members = newMembership();
  const applyHeartbeats = feed(members);
  const other = incarnation('other', '1');
  applyHeartbeats(1, other);
  applyHeartbeats(30);
  t.true(members.holdsLease(other.id));
  for (const second of [31, 32, 33, 34]) applyHeartbeats(second);
  t.false(members.holdsLease(other.id));
});

// A host that started while the store was down took all others for dead with the
// first response of the store, and claimed all of their jobs: it knew them from
// the snapshot of a peer, and the store had no newer heartbeats yet.
test('hosts known from the snapshot of a peer hold a lease at first', t => {
  const members = newMembership();
  const applyHeartbeats = feed(members);
  const other = incarnation('other', '1');
  applyHeartbeats(0, other);
  applyHeartbeats(100);
  t.false(members.hasLapsed(other.id));
  t.true(members.holdsLease(other.id));
  for (const second of [101, 102, 103, 104]) applyHeartbeats(second);
  t.true(members.hasLapsed(other.id));
});

// The items of a restarted host wait until its lease ends, although the new
// incarnation of its process proves at once that the previous one has ended.
test('a process is known to have ended once its host runs another one', t => {
  const members = newMembership();
  const applyHeartbeats = feed(members);
  const before = incarnation('other', '1');
  applyHeartbeats(1, before);
  t.false(members.isReplaced(before.id));
  applyHeartbeats(2, incarnation('other', '2'));
  t.true(members.isReplaced(before.id));
  t.true(members.isReplaced(memberId('me', '0')));
  t.false(members.isReplaced(memberId('unknown', '1')));
});

// All jobs of a live host are taken over and run twice: the store applies a
// heartbeat of the previous process seconds after that process has ended, and
// overwrites the row of the running one. Such a heartbeat must be ignored.
test('a late heartbeat does not replace the next process incarnation', t => {
  const members = newMembership();
  const applyHeartbeats = feed(members);
  const before = incarnation('other', '1');
  const now = incarnation('other', '2');
  applyHeartbeats(1, before);
  applyHeartbeats(2, now);
  applyHeartbeats(3, before);
  t.false(members.isReplaced(now.id));
  t.true(members.holdsLease(now.id));
  t.false(members.holdsLease(before.id));
});

const LEASE_MS = 3500;
const STEP_MS = 50;

/**
 * @returns Number of heartbeats that are sent within a lease if each fails after
 *   `failureMs`.
 */
async function heartbeatsPerLease(failureMs: number): Promise<number> {
  const clock = new FakeClock();
  let sent = 0;
  const store = {
    storeTimeMs: () => 1,
    transact: async () => {
      sent++;
      if (failureMs > 0) await sleep(clock, failureMs);
      return failure({kind: 'refused', message: 'busy'} as const);
    },
  } as unknown as RowStore;
  const context = {store, clock, log: NO_EVENT_LOG};
  using members = new Membership(incarnation('me', '1'), context);
  feed(members)(1);
  members.start();
  for (let ms = 0; ms < LEASE_MS; ms += STEP_MS) {
    await new Promise(setImmediate);
    clock.advance(STEP_MS);
  }
  return sent;
}

// A live host lost its lease, and with it the runs of its jobs, when the store
// refused three heartbeats, or lost one and took long for the next.
test('a failed heartbeat is sent again before the next one is due', async t => {
  t.is(await heartbeatsPerLease(0), 7);
  t.is(await heartbeatsPerLease(1200), 3);
});

test('other hosts learn that a host is leaving, and it keeps its lease', async t => {
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  const context = {store, clock: SYSTEM_CLOCK, log: NO_EVENT_LOG};
  using leaving = new Membership(incarnation('other', '1'), context);
  feed(leaving)(1);
  await leaving.leave();
  const page = await store.read({table: MEMBER_TABLE, partition: ''});
  const members = newMembership();
  const put = page.ok ? page.value.rows : [];
  members.update({put, removed: [], storeTimeMs: 1000});
  t.deepEqual(
    members.peers().map(({id, isLeaving}) => ({id, isLeaving})),
    [{id: leaving.self.id, isLeaving: true}],
  );
  t.true(members.holdsLease(leaving.self.id));
});
