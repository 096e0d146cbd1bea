import test from 'ava';
import type {ItemResult, ResultLine} from '../../lib/request/job.js';
import {FakeFleet, items} from '../fakes/fake_fleet.js';
import type {FakeEntry} from '../fakes/fake_fleet.js';

async function wait<T>(fleet: FakeFleet, promise: Promise<T>): Promise<T> {
  let settled = false;
  const done = promise.finally(() => (settled = true));
  await fleet.until(() => settled, 60_000);
  return done;
}

async function collect(
  fleet: FakeFleet,
  entry: FakeEntry,
  job: string,
  after?: string,
): Promise<readonly ItemResult[]> {
  const results = await wait(fleet, entry.jobs.results('a', job, {after}));
  if (!results.ok) throw new Error(results.err.kind);
  const lines: ResultLine[] = [];
  const read = async () => {
    for await (const line of results.value) lines.push(line);
  };
  await wait(fleet, read());
  return lines.flatMap(line => (line.kind === 'item' ? line.result : []));
}

async function stateOf(fleet: FakeFleet, entry: FakeEntry, job: string) {
  const status = await wait(fleet, entry.jobs.status('a', job));
  return status.ok ? status.value.state : status.err.kind;
}

test('runs a job and keeps its results readable in order', async t => {
  const fleet = new FakeFleet();
  const entry = fleet.start('e1');
  const accepted = await wait(
    fleet,
    entry.jobs.accept('a', {id: 'night', items: items(300)}),
  );
  t.true(accepted.ok);
  t.true(
    await fleet.until(
      async () => (await stateOf(fleet, entry, 'night')) === 'done',
      120_000,
    ),
  );
  t.is(fleet.attempts.length, 300);
  const results = await collect(fleet, entry, 'night');
  t.deepEqual(
    results.map(({item}) => item),
    items(300).map(({id}) => id),
  );
  t.true(results.every(({state, answer}) => state === 'done' && answer));
  const rest = await collect(fleet, entry, 'night', 'item-297');
  t.deepEqual(
    rest.map(({item}) => item),
    ['item-298', 'item-299'],
  );
});

test('a cancelled job stops, and what was done stays readable', async t => {
  const fleet = new FakeFleet();
  const entry = fleet.start('e1');
  await wait(fleet, entry.jobs.accept('a', {id: 'night', items: items(1000)}));
  await fleet.until(() => fleet.attempts.length > 50, 60_000);
  const cancelled = await wait(fleet, entry.jobs.cancel('a', 'night'));
  t.true(cancelled.ok);
  await fleet.clock.pass(2_000);
  const started = fleet.attempts.length;
  t.true(
    await fleet.until(
      async () => (await stateOf(fleet, entry, 'night')) === 'cancelled',
      60_000,
    ),
  );
  t.is(fleet.attempts.length, started);
  const results = await collect(fleet, entry, 'night');
  const done = results.filter(({state}) => state === 'done').length;
  const ended = results.filter(({state}) => state === 'cancelled').length;
  t.true(done > 40);
  t.is(done + ended, 1000);
});
