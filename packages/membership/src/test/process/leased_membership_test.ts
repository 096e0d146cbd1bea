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

test('entries that join get their part, handed over when finished', async t => {
  const {fleet, entries} = await fleetOf('e1');
  const first = entries[0]!;
  let finish = () => {};
  const finished = new Promise<void>(resolve => (finish = resolve));
  first.members.onHandOver(() => finished);
  const second = fleet.start('e2');
  await fleet.clock.advance(SETTLED_MS);
  t.is(count(second), 0, 'work on them is not finished');
  const going = shareCount - count(first);
  t.true(going > shareCount / 4);
  finish();
  await fleet.clock.advance(SETTLED_MS);
  t.is(count(second), going);
  t.is(count(first) + count(second), shareCount);
});

// Story: a host is lost. Its callers' jobs stand still until others take its
// shares; nobody can say that it is dead but by its lease row not changing.
test('a dead entry is taken over once its lease has run out', async t => {
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

// Story: a host is paused past its lease and carries on as if nothing had been.
// Its shares are another's by then. By its own clock it knows at once that it
// may not act, and a write that it had on its way fails on the share's row.
test('a paused holder wakes without shares, and its fences fail', async t => {
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
  t.is(count(paused!) + count(entries[1]!), shareCount, 'it joins anew');
  t.true(count(paused!) > 0);
});

// Story: the store is down for ten minutes. Nobody can renew, and nobody is
// dead. An observer that took "unchanged for ten minutes" for death would take
// over from the living the moment the store is back.
const OUTAGES: Readonly<Record<string, FaultRule>> = {
  whole: {fault: {kind: 'down'}},
  'of writes': {fault: {kind: 'down'}, matches: ({writes}) => writes},
};
for (const [name, outage] of Object.entries(OUTAGES)) {
  test(`after an outage (${name}) all go on with their epochs`, async t => {
    const {fleet, entries} = await fleetOf('e1', 'e2', 'e3');
    const before = entries.map(epochs);
    const events: string[] = [];
    entries[0]!.members.onLost(() => events.push('lost'));
    entries[0]!.members.onTaken(() => events.push('taken'));
    const rule = fleet.faults.add(outage);
    await fleet.clock.advance(600_000);
    t.deepEqual(entries.map(count), [0, 0, 0], 'the leases have lapsed');
    t.is(new Set(events).size, 1);
    rule[Symbol.dispose]();
    await fleet.clock.advance(2 * DETECTED_MS);
    t.deepEqual(entries.map(epochs), before);
    t.is(fleet.counters.of('membership_take_overs'), 0);
    t.is(events.filter(e => e === 'taken').length, before[0]!.length);
  });
}

// Story: each second answer of the store to a write is lost, though the write
// took effect. An entry that took its own renewal for another's would drop its
// work, again and again.
test('lost answers cost no lease', async t => {
  const {fleet, entries} = await fleetOf('e1', 'e2');
  const before = entries.map(epochs);
  loseAnswers(fleet.faults, 0.3, 0.2);
  await fleet.clock.advance(300_000);
  t.deepEqual(entries.map(epochs), before);
});

test('a planned stop hands all over, and nobody waits for a lease', async t => {
  const {fleet, entries} = await fleetOf('e1', 'e2');
  const [stopping, staying] = entries;
  const finished: number[] = [];
  stopping!.members.onHandOver(async ({share}) => {
    t.truthy(stopping!.members.fence(share), 'it may still record');
    t.false(stopping!.members.held().some(held => held.share === share));
    finished.push(share);
  });
  const had = count(stopping!);
  const begun = fleet.clock.now();
  await fleet.clock.until(stopping!.members.stop(30_000));
  t.true(fleet.clock.now() - begun < 3_000);
  await fleet.clock.advance(2_000);
  t.is(finished.length, had);
  t.is(count(staying!), shareCount);
  t.deepEqual(
    staying!.members.peers().map(({entryId}) => entryId),
    ['e2'],
  );
});

test('a stop while the store is down ends in its time', async t => {
  const {fleet, entries} = await fleetOf('e1');
  fleet.faults.add({fault: {kind: 'down'}});
  const begun = fleet.clock.now();
  await fleet.clock.until(entries[0]!.members.stop(5_000));
  t.true(fleet.clock.now() - begun < 6_000);
});

test('the last to stop leaves shares that the next to start finds', async t => {
  const {fleet, entries} = await fleetOf('e1');
  await fleet.clock.until(entries[0]!.members.stop(30_000));
  const next = fleet.start('e2');
  await fleet.clock.advance(SETTLED_MS);
  t.is(count(next), shareCount);
});

// Story: a process dies and starts again under the same id within a second. The
// old lease still stands; the old process may only be paused.
test('an entry that starts again waits for its own old lease', async t => {
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

test('the number of shares is fixed by the first that starts', async t => {
  const fleet = new FakeMembers();
  fleet.start('e1', {shareCount: 16});
  await fleet.clock.advance(SETTLED_MS);
  const later = fleet.start('e2', {shareCount: 32});
  await fleet.clock.advance(SETTLED_MS);
  t.is(later.members.shareCount, 16);
});

test('what an entry asks of the store does not grow with the fleet', async t => {
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
  t.log('calls read, rows read, writes per entry and second', rates);
  for (const [reads, rows, writes] of Object.values(rates)) {
    t.true(reads! <= 1);
    t.true(rows! <= 1.7);
    t.true(writes! <= 0.22);
  }
});
