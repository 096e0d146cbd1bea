import test from 'ava';
import {
  ANSWERED,
  items,
  lost,
  NIGHT_MS,
  started,
  type FakeEntry,
} from '../fakes/fake_fleet.js';

test('runs a job and keeps its results readable in order', async t => {
  const {fleet, entries} = started('e1', 'e2', 'e3');
  const [entry, other] = entries as [FakeEntry, FakeEntry];
  await fleet.clock.advance(15_000);
  t.true((await fleet.accept(entry, 'night', items(2_000))).ok);
  t.true(await fleet.reaches(other, 'night', 'done', NIGHT_MS));
  t.is(fleet.attempts.length, 2_000);
  t.is(new Set(fleet.attempts.map(attempt => attempt.entry)).size, 3);
  const results = await fleet.results(other, 'night');
  t.deepEqual(
    results.map(({item}) => item),
    items(2_000).map(({id}) => id),
  );
  t.true(results.every(({state, answer}) => state === 'done' && answer));
  const rest = await fleet.results(entry, 'night', 'item-1997');
  t.deepEqual(
    rest.map(({item}) => item),
    ['item-1998', 'item-1999'],
  );
  const status = await fleet.status(entry, 'night');
  t.deepEqual(status?.counts.done, 2_000);
});

test('a resend is the same job, another content is refused', async t => {
  const {fleet, entries} = started('e1', 'e2');
  const [entry, other] = entries as [FakeEntry, FakeEntry];
  const [first, second] = await Promise.all([
    fleet.accept(entry, 'night', items(20)),
    fleet.accept(other, 'night', items(20)),
  ]);
  t.true(first.ok && second.ok);
  const conflict = await fleet.accept(other, 'night', items(21));
  t.like(conflict, {ok: false, err: {kind: 'key-conflict', ran: 'not-run'}});
  t.true(await fleet.reaches(entry, 'night', 'done', NIGHT_MS));
  t.like(await fleet.accept(other, 'night', items(20)), {
    ok: true,
    value: {state: 'done'},
  });
  t.is(fleet.attempts.length, 20);
});

test('a job that is not valid is refused with its problems', async t => {
  const {fleet, entries} = started('e1');
  const entry = entries[0]!;
  const [item] = items(1);
  const refused = await fleet.accept(entry, '', [item!, item!]);
  t.like(refused, {ok: false, err: {kind: 'invalid-request', ran: 'not-run'}});
  const problems =
    !refused.ok && refused.err.kind === 'invalid-request'
      ? refused.err.problems!.map(({path}) => path)
      : [];
  t.deepEqual(problems, ['id', 'items.1.id']);
  t.like(await fleet.accept(entry, 'none', []), {
    err: {kind: 'invalid-request'},
  });
});

test("a caller sees nothing of another caller's jobs", async t => {
  const {fleet, entries} = started('e1');
  const entry = entries[0]!;
  await fleet.accept(entry, 'night', items(5), 'bank-a/x');
  t.is(await fleet.status(entry, 'night', 'bank-a'), undefined);
  t.is(await fleet.status(entry, 'x/night', 'bank-a'), undefined);
  for (const caller of ['bank-a', 'bank']) {
    const list = await fleet.clock.until(entry.jobs.list(caller));
    t.deepEqual(list, {ok: true, value: []});
  }
  const cancel = entry.jobs.cancel('bank-a', 'night');
  t.like(await fleet.clock.until(cancel), {err: {kind: 'not-found'}});
});

test('a cancelled job stops, and what was done stays readable', async t => {
  const {fleet, entries} = started('e1', 'e2');
  const [entry, other] = entries as [FakeEntry, FakeEntry];
  await fleet.accept(entry, 'night', items(2_000));
  await fleet.members.until(() => fleet.attempts.length > 100, 60_000);
  const cancelled = await fleet.clock.until(
    other.jobs.cancel('bank-a', 'night'),
  );
  t.true(cancelled.ok);
  await fleet.clock.advance(1_500);
  const attempts = fleet.attempts.length;
  t.true(await fleet.reaches(entry, 'night', 'cancelled', 30_000));
  t.is(fleet.attempts.length, attempts, 'nothing more was started');
  const results = await fleet.results(entry, 'night');
  const done = results.filter(({state}) => state === 'done').length;
  const ended = results.filter(({state}) => state === 'cancelled').length;
  t.true(done > 50);
  t.is(done + ended, 2_000);
});

test('a watch tells each state of a job to the end', async t => {
  const {fleet, entries} = started('e1');
  const entry = entries[0]!;
  await fleet.accept(entry, 'night', items(100));
  const states: string[] = [];
  const watch = async () => {
    const {signal} = new AbortController();
    for await (const status of entry.jobs.watch('bank-a', 'night', signal)) {
      states.push(status.ok ? status.value.state : status.err.kind);
    }
  };
  const watching = watch();
  await fleet.clock.advance(500);
  await fleet.clock.until(entry.jobs.cancel('bank-a', 'night'));
  await fleet.clock.until(watching);
  t.deepEqual(states, ['open', 'cancelling', 'cancelled']);
});

// Story: a rostering batch has pairings that no engine will ever answer, and
// targets that fail now and then. The job must end, with a reason for each
// impossible item, and without giving up on the others.
test('impossible items fail with their reason, others are retried', async t => {
  const {fleet, entries} = started('e1');
  const entry = entries[0]!;
  fleet.script = ({item}) => {
    const bad = item.item === 'item-3';
    const flaky = item.item === 'item-4' && item.attempt < 3;
    const failed = {
      kind: 'failed',
      refusal: {kind: 'engine-failed', message: 'bad', ran: 'may-have-run'},
    } as const;
    if (bad) return {outcome: failed, afterMs: 50};
    return {outcome: flaky ? lost(false) : ANSWERED, afterMs: 50};
  };
  await fleet.accept(entry, 'night', items(10));
  t.true(await fleet.reaches(entry, 'night', 'done', NIGHT_MS));
  const results = await fleet.results(entry, 'night');
  t.like(results[3], {state: 'failed', refusal: {kind: 'engine-failed'}});
  t.is(results[4]!.state, 'done');
  t.is(fleet.attemptsAt('item-4').length, 3);
  t.is(fleet.attemptsAt('item-3').length, 1);
});

test('an item that is always lost fails after bounded attempts', async t => {
  const {fleet, entries} = started('e1');
  const entry = entries[0]!;
  fleet.script = () => ({outcome: lost(false), afterMs: 50});
  await fleet.accept(entry, 'night', items(1));
  t.true(await fleet.reaches(entry, 'night', 'done', NIGHT_MS));
  const [result] = await fleet.results(entry, 'night');
  t.like(result, {state: 'failed', refusal: {kind: 'target-lost'}});
  t.is(fleet.attempts.length, 5);
});

// Story: one pairing crashes each target that runs it. It takes down what runs
// beside it, is sent again, and takes down the next target, all night long.
test('what crashes targets runs alone, and fails on its second', async t => {
  const {fleet, entries} = started('e1');
  const entry = entries[0]!;
  fleet.script = ({item}) => {
    const together = item.suspect !== true;
    const crashes = item.item === 'item-2';
    const down = crashes || together;
    return {outcome: down ? lost(true) : ANSWERED, afterMs: 50};
  };
  await fleet.accept(entry, 'night', items(5));
  t.true(await fleet.reaches(entry, 'night', 'done', NIGHT_MS));
  const results = await fleet.results(entry, 'night');
  t.deepEqual(
    results.map(({state}) => state),
    ['done', 'done', 'failed', 'done', 'done'],
  );
  for (const {id} of items(5)) {
    const suspects = fleet
      .attemptsAt(id)
      .map(({item}) => item.suspect ?? false);
    t.deepEqual(suspects, [false, true], id);
  }
});

test('a job that is due goes before one that was sent earlier', async t => {
  const {fleet, entries} = started('e1');
  const entry = entries[0]!;
  await fleet.clock.advance(15_000);
  await fleet.accept(entry, 'later', items(5_000));
  await fleet.clock.advance(5_000);
  const dueAt = fleet.clock.wallTime() + 3_600_000;
  const request = {id: 'due', items: items(300), dueAt};
  await fleet.clock.until(entry.jobs.accept('bank-b', request));
  t.true(await fleet.reaches(entry, 'due', 'done', 60_000, 'bank-b'));
  const jobs = fleet.attempts.map(({item}) => item.job);
  const between = jobs.slice(jobs.indexOf('due'), jobs.lastIndexOf('due'));
  const others = between.filter(job => job !== 'due').length;
  t.true(others < fleet.room, `${others} of the other job went before`);
});

test('callers whose jobs are due together share by weight', async t => {
  const {fleet, entries} = started('e1');
  const entry = entries[0]!;
  fleet.weights = {'bank-a': 3};
  await fleet.clock.advance(15_000);
  await fleet.accept(entry, 'big', items(5_000), 'bank-a');
  await fleet.clock.advance(5_000);
  await fleet.accept(entry, 'small', items(5_000), 'bank-b');
  await fleet.clock.advance(3_000);
  const from = fleet.attempts.length;
  await fleet.clock.advance(10_000);
  const later = fleet.attempts.slice(from);
  const small = later.filter(({item}) => item.caller === 'bank-b').length;
  t.true(Math.abs(small / later.length - 0.25) < 0.05);
});
