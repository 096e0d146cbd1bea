import type {FaultRule} from '@oathead/stand-ins';
import test from 'ava';
import type {HeldShare} from '../../lib/process/membership.js';
import {MEMBERSHIP_DEFAULTS} from '../../lib/process/membership_settings.js';
import {FakeMembers} from '../fakes/fake_members.js';
import {loseAnswers} from '../fakes/lossy_answers.js';
import type {FakeMember} from '../fakes/fake_members.js';

const {shareCount, leaseMs, marginMs, watchMs} = MEMBERSHIP_DEFAULTS;
const SETTLED_MS = 10_000;
const DETECTED_MS = leaseMs + marginMs + watchMs + 3_000;

function count({members}: FakeMember): number {
  return members.held().length;
}

function epochs({members}: FakeMember): readonly HeldShare[] {
  return [...members.held()].sort((a, b) => a.share - b.share);
}

async function fleetOf(...ids: string[]) {
  const fleet = new FakeMembers();
  const entries = ids.map(id => fleet.start(id));
  await fleet.clock.advance(SETTLED_MS);
  return {fleet, entries};
}

test('one entry holds all shares, and each has a fence', async t => {
  const {entries} = await fleetOf('e1');
  const {members} = entries[0]!;
  t.is(members.held().length, shareCount);
  t.true(members.held().every(({share}) => members.fence(share)));
  t.is(members.ownerOf(7)?.entryId, 'e1');
});

test('a joining entry gets shares once work on them has finished', async t => {
  const {fleet, entries} = await fleetOf('e1');
  const first = entries[0]!;
  let finish = () => {};
  const finished = new Promise<void>(resolve => (finish = resolve));
  first.members.onHandOver(() => finished);
  const second = fleet.start('e2');
  await fleet.clock.advance(SETTLED_MS);
  t.is(count(second), 0, 'the work on the shares has not finished');
  const going = shareCount - count(first);
  t.true(going > shareCount / 4);
  finish();
  await fleet.clock.advance(SETTLED_MS);
  t.is(count(second), going);
  t.is(count(first) + count(second), shareCount);
});

// When a host is lost, the jobs in its shares make no progress until other
// entries take the shares over. The only sign of its death is that its lease
// row stays unchanged.
test('a dead entry is taken over after its lease has expired', async t => {
  const {fleet, entries} = await fleetOf('e1', 'e2', 'e3');
  const [dead, ...alive] = entries;
  const before = epochs(dead!);
  dead!.host.kill();
  await fleet.clock.advance(leaseMs - 5_000);
  t.is(
    alive.reduce((sum, e) => sum + count(e), 0),
    shareCount - before.length,
  );
  await fleet.clock.advance(DETECTED_MS);
  t.is(
    alive.reduce((sum, e) => sum + count(e), 0),
    shareCount,
  );
  const now = alive.flatMap(epochs);
  for (const {share, epoch} of before) {
    t.is(now.find(held => held.share === share)?.epoch, epoch + 1);
  }
  t.deepEqual(
    alive[0]!.members.peers().map(({entryId}) => entryId),
    ['e2', 'e3'],
  );
});

// Guards against two owners of a share: a host is paused beyond the expiry of
// its lease and then continues, while another entry owns its shares. Its own
// clock has to show that the lease has expired, and a write that was in flight
// has to fail on the version of the share's row.
test('a paused entry resumes without shares, and its fences fail', async t => {
  const {fleet, entries} = await fleetOf('e1', 'e2');
  const [paused] = entries;
  const {share} = paused!.members.held()[0]!;
  const fence = paused!.members.fence(share)!;
  paused!.host.pause();
  await fleet.clock.advance(DETECTED_MS);
  t.is(count(entries[1]!), shareCount);
  t.deepEqual(paused!.members.held(), []);
  t.is(paused!.members.fence(share), undefined);
  const late = await fleet.platform.table.write({
    checks: [fence],
    writes: [{kind: 'put', key: 'late', value: 1}],
  });
  t.like(late, {ok: false, err: {kind: 'conflict'}});
  paused!.host.resume();
  await fleet.clock.advance(SETTLED_MS);
  t.is(
    count(paused!) + count(entries[1]!),
    shareCount,
    'it joins the fleet again',
  );
  t.true(count(paused!) > 0);
});

// Guards against take-overs from live entries: the store is down for ten
// minutes, so no entry can renew its lease although all are alive. An observer
// that counted the time of the outage would take over as soon as the store is
// back.
const OUTAGES: Readonly<Record<string, FaultRule>> = {
  whole: {fault: {kind: 'down'}},
  'of writes': {fault: {kind: 'down'}, matches: ({writes}) => writes},
};
for (const [name, outage] of Object.entries(OUTAGES)) {
  test(`after an outage (${name}) all entries keep their epochs`, async t => {
    const {fleet, entries} = await fleetOf('e1', 'e2', 'e3');
    const before = entries.map(epochs);
    const events: string[] = [];
    entries[0]!.members.onLost(() => events.push('lost'));
    entries[0]!.members.onAcquired(() => events.push('taken'));
    const rule = fleet.faults.add(outage);
    await fleet.clock.advance(600_000);
    t.deepEqual(entries.map(count), [0, 0, 0], 'the leases have expired');
    t.is(new Set(events).size, 1);
    rule[Symbol.dispose]();
    await fleet.clock.advance(2 * DETECTED_MS);
    t.deepEqual(entries.map(epochs), before);
    t.is(fleet.counters.of('membership_take_overs'), 0);
    t.is(events.filter(e => e === 'taken').length, before[0]!.length);
  });
}

// The responses to half of the writes are lost, although the writes take
// effect. An entry that mistook its own renewal for the write of another entry
// would drop its shares repeatedly.
test('lost responses to renewals do not end a lease', async t => {
  const {fleet, entries} = await fleetOf('e1', 'e2');
  const before = entries.map(epochs);
  loseAnswers(fleet.faults, 0.3, 0.2);
  await fleet.clock.advance(300_000);
  t.deepEqual(entries.map(epochs), before);
});

test('a planned shutdown hands over all shares without delay', async t => {
  const {fleet, entries} = await fleetOf('e1', 'e2');
  const [stopping, staying] = entries;
  const finished: number[] = [];
  stopping!.members.onHandOver(async ({share}) => {
    t.truthy(
      stopping!.members.fence(share),
      'it may still write about the share',
    );
    t.false(stopping!.members.held().some(held => held.share === share));
    finished.push(share);
  });
  const heldBefore = count(stopping!);
  const startedAt = fleet.clock.now();
  await fleet.clock.until(stopping!.members.stop(30_000));
  t.true(fleet.clock.now() - startedAt < 3_000);
  await fleet.clock.advance(2_000);
  t.is(finished.length, heldBefore);
  t.is(count(staying!), shareCount);
  t.deepEqual(
    staying!.members.peers().map(({entryId}) => entryId),
    ['e2'],
  );
});

test('a shutdown while the store is down ends by its timeout', async t => {
  const {fleet, entries} = await fleetOf('e1');
  fleet.faults.add({fault: {kind: 'down'}});
  const startedAt = fleet.clock.now();
  await fleet.clock.until(entries[0]!.members.stop(5_000));
  t.true(fleet.clock.now() - startedAt < 6_000);
});

test('an entry acquires all shares after the last one has stopped', async t => {
  const {fleet, entries} = await fleetOf('e1');
  await fleet.clock.until(entries[0]!.members.stop(30_000));
  const next = fleet.start('e2');
  await fleet.clock.advance(SETTLED_MS);
  t.is(count(next), shareCount);
});

// A process dies and restarts with the same entry id within a second, while the
// old lease is still valid. The new process must not act before that lease has
// expired, since the old process may only be paused.
test('a restarted entry waits until its previous lease expires', async t => {
  const {fleet, entries} = await fleetOf('e1');
  const fence = entries[0]!.members.fence(0)!;
  entries[0]!.host.kill();
  const again = fleet.start('e1');
  await fleet.clock.advance(leaseMs - 5_000);
  t.is(count(again), 0);
  await fleet.clock.advance(2 * DETECTED_MS);
  t.is(count(again), shareCount);
  t.true(again.members.fence(0)!.version > fence.version);
});

test('the first entry to start fixes the number of shares', async t => {
  const fleet = new FakeMembers();
  fleet.start('e1', {shareCount: 16});
  await fleet.clock.advance(SETTLED_MS);
  const later = fleet.start('e2', {shareCount: 32});
  await fleet.clock.advance(SETTLED_MS);
  t.is(later.members.shareCount, 16);
});

test('store calls per entry do not grow with the fleet', async t => {
  const rates: Record<number, readonly number[]> = {};
  for (const size of [4, 24]) {
    const ids = [...Array(size).keys()].map(i => `e${i}`);
    const {fleet, entries} = await fleetOf(...ids);
    await fleet.clock.advance(30_000);
    const before = entries.map(({faults}) => faults.counts);
    const seconds = 120;
    await fleet.clock.advance(seconds * 1_000);
    const rate = (field: 'reads' | 'rowsRead' | 'writes') =>
      entries.reduce(
        (sum, {faults}, i) => sum + faults.counts[field] - before[i]![field],
        0,
      ) /
      seconds /
      size;
    rates[size] = [rate('reads'), rate('rowsRead'), rate('writes')];
  }
  t.log('read calls, rows read and writes per entry and second', rates);
  for (const [reads, rows, writes] of Object.values(rates)) {
    t.true(reads! <= 1);
    t.true(rows! <= 1.7);
    t.true(writes! <= 0.22);
  }
});
