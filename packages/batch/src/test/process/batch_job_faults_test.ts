import type {StoreCall} from '@oathead/stand-ins';
import test from 'ava';
import {loseAnswers} from '../../../../membership/dist/test/fakes/lossy_answers.js';
import {
  ANSWERED,
  items,
  lost,
  NIGHT_MS,
  started,
  startedWith,
  type FakeEntry,
  type FakeFleet,
} from '../fakes/fake_fleet.js';

const TAKE_OVER_MS = 30_000;

async function readJob(fleet: FakeFleet, job: string) {
  const read = await fleet.members.platform.table.read([`job/bank-a/${job}`]);
  return read.ok ? read.value : [];
}

// Story: the host that holds a suspect dies before it has run it alone. The
// next holder must not send it out beside others again.
test('the next holder knows a suspect', async t => {
  const {fleet, entries} = started('e1', 'e2');
  const entry = entries[0]!;
  fleet.script = ({item}) => ({
    outcome: item.suspect ? ANSWERED : lost(true),
    afterMs: item.suspect ? 3_600_000 : 50,
  });
  const unrecorded = fleet.members.faults.add({
    fault: {kind: 'down'},
    matches: ({writes, keys}) => writes && keys[0]!.startsWith('chunk/'),
  });
  await fleet.accept(entry, 'night', items(1));
  const alone = () => fleet.attempts.some(({item}) => item.suspect);
  t.false(await fleet.members.until(alone, 8_000), 'its row does not say so');
  unrecorded[Symbol.dispose]();
  t.true(await fleet.members.until(alone, 30_000));
  const [first, second] = entries as [FakeEntry, FakeEntry];
  const holder = fleet.attempts[0]!.entry === 'e1' ? first : second;
  holder.host.kill();
  fleet.script = () => ({outcome: ANSWERED, afterMs: 50});
  const other = holder === first ? second : first;
  t.true(await fleet.reaches(other, 'night', 'done', NIGHT_MS));
  t.deepEqual(
    fleet.attempts.map(({entry: id, item}) => [id, item.suspect ?? false]),
    [
      [holder.id, false],
      [holder.id, true],
      [other.id, true],
    ],
  );
});

// Story: a host dies with call-outs in flight. A pilot must not be called out
// twice, so what had been sent is unknown; what had not been sent is sent.
test('a call-out in flight on a dead host becomes unknown', async t => {
  const {fleet, entries} = started('e1', 'e2');
  const [first, second] = entries as [FakeEntry, FakeEntry];
  await fleet.clock.advance(15_000);
  fleet.room = 1;
  fleet.script = ({entry}) => ({
    outcome: ANSWERED,
    afterMs: entry === 'e1' ? 3_600_000 : 50,
  });
  const jobs = [...Array(8).keys()].map(i => `night-${i}`);
  for (const job of jobs) await fleet.accept(second, job, items(2, false));
  const stuck = () => fleet.attempts.find(({entry}) => entry === 'e1');
  t.true(await fleet.members.until(() => stuck() !== undefined, 30_000));
  first.host.kill();
  await fleet.clock.advance(TAKE_OVER_MS);
  for (const job of jobs) {
    t.true(await fleet.reaches(second, job, 'done', NIGHT_MS), job);
    const results = await fleet.results(second, job);
    for (const {item, state, refusal} of results) {
      const runs = fleet.attempts.filter(
        ({item: run}) => run.job === job && run.item === item,
      );
      t.is(runs.length, 1);
      const unknown = runs[0] === stuck();
      t.is(state, unknown ? 'unknown' : 'done');
      t.is(refusal?.ran, unknown ? 'may-have-run' : undefined);
    }
  }
});

// Story: a host is paused in the middle of the night's work, others take its
// shares over, the job is cancelled. The host wakes, its targets have answered
// meanwhile, and it carries on as if nothing had been.
test('a paused holder that wakes starts and records nothing', async t => {
  const {fleet, entries} = started('e1', 'e2');
  const [paused, other] = entries as [FakeEntry, FakeEntry];
  await fleet.clock.advance(15_000);
  await fleet.accept(other, 'night', items(2_000));
  const runs = () => fleet.attempts.some(({entry}) => entry === 'e1');
  t.true(await fleet.members.until(runs, 30_000));
  paused.host.pause();
  await fleet.clock.advance(TAKE_OVER_MS);
  await fleet.clock.until(other.jobs.cancel('bank-a', 'night'));
  t.true(await fleet.reaches(other, 'night', 'cancelled', NIGHT_MS));
  const before = await fleet.results(other, 'night');
  const attempts = fleet.attempts.length;
  paused.host.resume();
  await fleet.clock.advance(60_000);
  t.is(fleet.attempts.length, attempts);
  t.deepEqual(await fleet.results(other, 'night'), before);
});

// Story: a host is paused for ten seconds, so its lease still stands when it
// wakes. The job was cancelled meanwhile; what it knows is ten seconds old.
test('a holder that wakes in its lease catches up before it starts', async t => {
  const {fleet, entries} = started('e1', 'e2');
  const [paused, other] = entries as [FakeEntry, FakeEntry];
  await fleet.clock.advance(15_000);
  await fleet.accept(other, 'night', items(2_000));
  const runs = () => fleet.attempts.some(({entry}) => entry === 'e1');
  t.true(await fleet.members.until(runs, 30_000));
  paused.host.pause();
  await fleet.clock.advance(1_000);
  await fleet.clock.until(other.jobs.cancel('bank-a', 'night'));
  await fleet.clock.advance(9_000);
  const attempts = fleet.attempts.length;
  paused.host.resume();
  t.true(paused.members.held().length > 0);
  t.true(await fleet.reaches(other, 'night', 'cancelled', NIGHT_MS));
  t.is(fleet.attempts.length, attempts);
});

// Story: a desk cancels a job of call-outs. Entries hear of it by the head, up
// to a second later; no pilot may be called out in that second.
test('no call-out starts after its job was cancelled', async t => {
  const {fleet, entries} = started('e1', 'e2');
  const [entry, other] = entries as [FakeEntry, FakeEntry];
  await fleet.clock.advance(15_000);
  await fleet.accept(entry, 'night', items(500, false));
  await fleet.members.until(() => fleet.attempts.length > 50, 30_000);
  await fleet.clock.until(other.jobs.cancel('bank-a', 'night'));
  const cancelledAt = fleet.clock.now();
  t.true(await fleet.reaches(entry, 'night', 'cancelled', NIGHT_MS));
  const late = fleet.attempts.filter(({at}) => at > cancelledAt + 10);
  t.deepEqual(late, []);
});

// Story: a target does not let go of an item of a cancelled job, and answers
// it long after. The job must end, and what was said of the item must stand.
test('a late answer does not change a cancelled item', async t => {
  const {fleet, entries} = started('e1');
  const entry = entries[0]!;
  fleet.letsGo = false;
  fleet.script = () => ({outcome: ANSWERED, afterMs: 30_000});
  await fleet.accept(
    entry,
    'night',
    items(2, i => i === 0),
  );
  await fleet.members.until(() => fleet.attempts.length === 2, 30_000);
  await fleet.clock.until(entry.jobs.cancel('bank-a', 'night'));
  t.true(await fleet.reaches(entry, 'night', 'cancelled', 10_000));
  const before = await fleet.results(entry, 'night');
  t.deepEqual(
    before.map(({state, refusal}) => [state, refusal?.ran]),
    [
      ['cancelled', 'may-have-run'],
      ['unknown', 'may-have-run'],
    ],
  );
  await fleet.clock.advance(60_000);
  t.deepEqual(await fleet.results(entry, 'night'), before);
  t.is(fleet.members.counters.of('batch_outcomes_dropped'), 2);
});

// Story: a host records what it has done, and dies. Its write is still under
// way for longer than its lease, and arrives when another holds the share.
test('a write of a dead holder that arrives late is refused', async t => {
  const {fleet, entries} = started('e1', 'e2');
  const [dead, other] = entries as [FakeEntry, FakeEntry];
  await fleet.clock.advance(15_000);
  let records = 0;
  const isRecord = ({writes, keys}: StoreCall) =>
    writes && keys[0]!.startsWith('chunk/') && ++records > 0;
  const late = {kind: 'lands-late', delayMs: 22_000} as const;
  dead.faults.add({fault: late, matches: isRecord});
  await fleet.accept(other, 'night', items(1_000));
  t.true(await fleet.members.until(() => records > 0, 30_000));
  dead.host.kill();
  other.faults.add({fault: {kind: 'down'}, matches: isRecord});
  await fleet.clock.advance(TAKE_OVER_MS);
  const [first] = fleet.attempts.filter(({entry}) => entry === 'e1');
  const again = fleet.attemptsAt(first!.item.item).map(({entry}) => entry);
  t.deepEqual(again, ['e1', 'e2'], 'the other holder had taken it up');
  t.deepEqual(fleet.table.violations, []);
  other.faults.clear();
  t.true(await fleet.reaches(other, 'night', 'done', NIGHT_MS));
});

// Story: the store is down for two minutes in the middle of a job. The entry
// keeps its chunks going, holds what comes of them, and loses nothing.
test('a job goes on through an outage of the store', async t => {
  const {fleet, entries} = started('e1');
  const entry = entries[0]!;
  await fleet.accept(entry, 'night', items(1_000));
  await fleet.members.until(() => fleet.attempts.length > 100, 60_000);
  const {faults} = fleet.members;
  faults.add({fault: {kind: 'down'}});
  await fleet.clock.advance(30_000);
  const during = fleet.attempts.length;
  t.true(during > 130, 'chunks in memory go on past the end of the lease');
  const refused = await fleet.accept(entry, 'morning', items(1));
  t.like(refused, {err: {kind: 'store-unavailable', ran: 'not-run'}});
  await fleet.clock.advance(90_000);
  faults.clear();
  t.true(await fleet.reaches(entry, 'night', 'done', NIGHT_MS));
  t.is(fleet.attempts.length, 1_000, 'nothing ran twice');
  const results = await fleet.results(entry, 'night');
  t.true(results.every(({state}) => state === 'done'));
});

// Story: the store accepts a job, and its answer is lost. The client resends,
// here and elsewhere, and must get one job.
test('a job whose acknowledgement was lost is accepted once', async t => {
  const {fleet, entries} = started('e1', 'e2');
  const [entry, other] = entries as [FakeEntry, FakeEntry];
  await fleet.clock.advance(15_000);
  const {faults} = fleet.members;
  loseAnswers(faults, 0.5, 0.3);
  for (let i = 0; i < 10; i++) {
    const first = await fleet.accept(entry, `night-${i}`, items(3));
    if (!first.ok && first.err.ran === 'not-run') {
      await fleet.clock.advance(5_000);
      const [row] = await readJob(fleet, `night-${i}`);
      t.is(row, undefined, 'not run means not accepted, now or later');
    }
    let accepted = first.ok;
    while (!accepted) {
      accepted = (await fleet.accept(other, `night-${i}`, items(3))).ok;
    }
  }
  faults.clear();
  for (let i = 0; i < 10; i++) {
    t.true(await fleet.reaches(entry, `night-${i}`, 'done', NIGHT_MS));
  }
  await fleet.clock.advance(1_500);
  t.is(entry.members.head().jobs, 20, 'accepted once, closed once');
  t.is(fleet.attempts.length, 30);
});

// Story: a host is stopped for an update. What runs on it ends, and nobody
// waits for a lease to run out.
test('a planned stop cuts nothing off', async t => {
  const {fleet, entries} = started('e1', 'e2');
  const [stopping, other] = entries as [FakeEntry, FakeEntry];
  await fleet.clock.advance(15_000);
  fleet.script = () => ({outcome: ANSWERED, afterMs: 3_000});
  const jobItems = items(400, i => i % 2 === 0);
  await fleet.accept(other, 'night', jobItems);
  const runs = () => fleet.attempts.some(({entry}) => entry === 'e1');
  t.true(await fleet.members.until(runs, 30_000));
  await fleet.clock.until(stopping.jobs.stop(30_000));
  await fleet.clock.until(stopping.members.stop(30_000));
  stopping.host.kill();
  t.true(await fleet.reaches(other, 'night', 'done', NIGHT_MS));
  t.is(fleet.attempts.length, 400, 'nothing ran twice');
  const results = await fleet.results(other, 'night');
  t.true(results.every(({state}) => state === 'done'));
});

// Story: an entry joins in the middle of the night, again and again, and each
// time work goes over to it. Nothing of that may cost an item its attempts.
test('entries that join take work over without loss', async t => {
  const {fleet, entries} = startedWith({maxLosses: 0}, 'e1');
  const entry = entries[0]!;
  await fleet.clock.advance(15_000);
  fleet.script = () => ({outcome: ANSWERED, afterMs: 25_000});
  const jobItems = items(300, i => i % 3 > 0);
  await fleet.accept(entry, 'night', jobItems);
  for (const id of ['e2', 'e3', 'e4']) {
    await fleet.clock.advance(20_000);
    fleet.start(id);
  }
  t.true(await fleet.reaches(entry, 'night', 'done', 2 * NIGHT_MS));
  const results = await fleet.results(entry, 'night');
  t.true(results.every(({state}) => state === 'done'));
  for (const {id, idempotent} of jobItems) {
    if (!idempotent) t.is(fleet.attemptsAt(id).length, 1, id);
  }
  t.true(new Set(fleet.attempts.map(attempt => attempt.entry)).size > 1);
  t.deepEqual(fleet.table.violations, []);
});

// Story: the store takes four seconds for each answer, for hours. Leases must
// be kept, and work go on.
test('a job goes on while the store is slow', async t => {
  const {fleet, entries} = started('e1', 'e2');
  const entry = entries[0]!;
  await fleet.clock.advance(15_000);
  fleet.members.faults.add({fault: {kind: 'slow', delayMs: 4_000}});
  t.true((await fleet.accept(entry, 'night', items(500))).ok);
  t.true(await fleet.reaches(entry, 'night', 'done', NIGHT_MS));
  t.is(fleet.attempts.length, 500, 'nothing ran twice');
  t.is(fleet.members.counters.of('membership_take_overs'), 0);
});
