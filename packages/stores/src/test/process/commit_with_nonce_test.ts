import test from 'ava';
import {seededRandom, type Clock} from '@oathead/core';
import {
  commitWithNonce,
  type Commit,
  type CommitOutcome,
} from '../../lib/process/commit_with_nonce.js';
import {noncesOf, stampNonce} from '../../lib/process/nonces.js';
import type {Row} from '../../lib/process/table_store.js';
import {ScriptedTable, type Step} from './scripted_table.js';

const STEPS: readonly Step[] = [
  'fine',
  'refused',
  'throttled',
  'answer-lost',
  'request-lost',
  'late',
  'overwritten',
  'forestalled',
];

/** Creates a clock that advances only when a timer fires. */
function createClock(): Clock {
  let time = 0;
  return {
    now: () => time,
    wallTime: () => time,
    after(delayMs, callback) {
      queueMicrotask(() => {
        time += delayMs;
        callback();
      });
      return {[Symbol.dispose]: () => {}};
    },
  };
}

async function writeAsOther(table: ScriptedTable): Promise<void> {
  const rows = await table.list('marker');
  const base = rows.ok ? rows.value[0] : undefined;
  const value = stampNonce({by: 'other'}, `other${base?.version}`, base);
  const checks = [{key: 'marker', version: base?.version ?? 0}];
  const writes = [{kind: 'put', key: 'marker', value}] as const;
  await table.writeUnscripted({checks, writes});
}

interface Fixture {
  readonly table: ScriptedTable;
  readonly run: (changes?: Partial<Commit>) => Promise<CommitOutcome>;
}

async function createFixture(
  steps: readonly Step[],
  exists = true,
  otherWrites = 1,
): Promise<Fixture> {
  const table: ScriptedTable = new ScriptedTable(steps, async () => {
    for (let i = 0; i < otherWrites; i++) await writeAsOther(table);
  });
  if (exists) await writeAsOther(table);
  const rows = await table.list('marker');
  const base: Row | undefined = rows.ok ? rows.value[0] : undefined;
  const marker = {key: 'marker', base, value: {by: 'me'}};
  const writes = [{kind: 'put', key: 'data', value: {}}] as const;
  const options = {clock: createClock(), random: seededRandom(7), nonce: 'me'};
  const run = (changes: Partial<Commit> = {}) =>
    commitWithNonce(table, {marker, writes, ...changes}, options);
  return {table, run};
}

// A job is accepted twice, or a refused job runs all the same, if the writer
// infers an outcome that the store has not confirmed. The response to a write or
// the write itself may be lost, or the write may be buffered and applied later,
// while other writers overwrite the row.
test('reports the correct outcome for every fault at every step', async t => {
  const outcomeKinds = new Set<string>();
  for (const exists of [true, false])
    for (const first of STEPS)
      for (const second of STEPS)
        for (const third of STEPS)
          for (const fourth of STEPS) {
            const steps = [first, second, third, fourth];
            const {table, run} = await createFixture(steps, exists);
            const outcome = await run();
            const before = table.applied;
            await table.deliverLate();
            const description = `${exists} ${steps.join()}: ${outcome.kind}`;
            outcomeKinds.add(outcome.kind);
            const expected = outcome.kind === 'committed' ? 1 : 0;
            if (outcome.kind === 'unknown')
              t.true(table.applied <= 1, description);
            else
              t.deepEqual(
                [before, table.applied],
                [expected, expected],
                description,
              );
          }
  t.deepEqual([...outcomeKinds].sort(), ['committed', 'conflict']);
});

test('recognizes its write after a lost response, with versions', async t => {
  const {table, run} = await createFixture(['answer-lost']);
  const outcome = await run();
  const rows = await table.read(['marker', 'data']);
  const versions = rows.ok ? rows.value.map(row => row!.version) : [];
  t.like(outcome, {
    kind: 'committed',
    versions: {marker: versions[0], data: versions[1]},
  });
  t.is(table.applied, 1);
});

test('recognizes its write after another writer overwrote it', async t => {
  const {run} = await createFixture(['overwritten']);
  const outcome = await run();
  t.is(outcome.kind, 'committed');
  t.deepEqual(outcome.kind === 'committed' && Object.keys(outcome.versions), [
    'data',
  ]);
});

test('reports a conflict if another write with the same base won', async t => {
  const {run} = await createFixture(['forestalled']);
  t.deepEqual(await run(), {kind: 'conflict', key: 'marker'});
});

test('reports unknown when the nonce history is too short', async t => {
  const {run} = await createFixture(['forestalled'], true, 20);
  t.is((await run()).kind, 'unknown');
});

test('reports unavailable when every attempt was refused', async t => {
  const {table, run} = await createFixture(Array<Step>(50).fill('throttled'));
  t.like(await run(), {kind: 'unavailable', err: {kind: 'throttled'}});
  t.is(table.calls, 5);
});

test('reports unknown when the marker cannot be read back', async t => {
  const steps: Step[] = ['late', ...Array<Step>(50).fill('refused')];
  const {table, run} = await createFixture(steps);
  t.is((await run()).kind, 'unknown');
  await table.deliverLate();
  t.is(table.applied, 1);
});

// A cancelled job starts to run. The commit failed because a row existed that
// must not exist. After that row was deleted, a delayed copy of the commit that
// was still in flight took effect.
test('does not report a conflict that can still be resolved', async t => {
  const {table, run} = await createFixture(['late']);
  const put = {kind: 'put', key: 'lock', value: {}} as const;
  await table.writeUnscripted({checks: [], writes: [put]});
  const outcome = await run({checks: [{key: 'lock', version: 0}]});
  t.is(outcome.kind, 'unknown');
  const unlock = {kind: 'delete', key: 'lock'} as const;
  await table.writeUnscripted({checks: [], writes: [unlock]});
  await table.deliverLate();
  t.is(table.applied, 1);
});

test('limits the nonce history of a row', async t => {
  const {table, run} = await createFixture([]);
  for (let i = 0; i < 20; i++) await writeAsOther(table);
  const rows = await table.read(['marker']);
  t.is(noncesOf(rows.ok ? rows.value[0] : undefined).length, 8);
  t.is((await run()).kind, 'conflict');
});
