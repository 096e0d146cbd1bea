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

/** Time passes only by waiting. */
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

async function otherWriter(table: ScriptedTable): Promise<void> {
  const rows = await table.list('marker');
  const base = rows.ok ? rows.value[0] : undefined;
  const value = stampNonce({by: 'other'}, `other${base?.version}`, base);
  const checks = [{key: 'marker', version: base?.version ?? 0}];
  const writes = [{kind: 'put', key: 'marker', value}] as const;
  await table.writeDirectly({checks, writes});
}

interface Setting {
  readonly table: ScriptedTable;
  readonly run: (changes?: Partial<Commit>) => Promise<CommitOutcome>;
}

async function createSetting(
  steps: readonly Step[],
  exists = true,
  otherWrites = 1,
): Promise<Setting> {
  const table: ScriptedTable = new ScriptedTable(steps, async () => {
    for (let i = 0; i < otherWrites; i++) await otherWriter(table);
  });
  if (exists) await otherWriter(table);
  const rows = await table.list('marker');
  const base: Row | undefined = rows.ok ? rows.value[0] : undefined;
  const marker = {key: 'marker', base, value: {by: 'me'}};
  const writes = [{kind: 'put', key: 'data', value: {}}] as const;
  const options = {clock: createClock(), random: seededRandom(7), nonce: 'me'};
  const run = (changes: Partial<Commit> = {}) =>
    commitWithNonce(table, {marker, writes, ...changes}, options);
  return {table, run};
}

// A user sees a job accepted twice, or one that was refused run all the same.
// The store's answer to a write was lost, or the write itself was, or it lay
// in a buffer and took effect later; meanwhile others wrote over the row.
// Cause: the writer drew a conclusion that the store did not warrant.
test('tells the truth after every fault at every step', async t => {
  const seen = new Set<string>();
  for (const exists of [true, false])
    for (const first of STEPS)
      for (const second of STEPS)
        for (const third of STEPS)
          for (const fourth of STEPS) {
            const steps = [first, second, third, fourth];
            const {table, run} = await createSetting(steps, exists);
            const outcome = await run();
            const before = table.applied;
            await table.deliverLate();
            const story = `${exists} ${steps.join()}: ${outcome.kind}`;
            seen.add(outcome.kind);
            const expected = outcome.kind === 'committed' ? 1 : 0;
            if (outcome.kind === 'unknown') t.true(table.applied <= 1, story);
            else
              t.deepEqual([before, table.applied], [expected, expected], story);
          }
  t.deepEqual([...seen].sort(), ['committed', 'conflict']);
});

test('knows its write behind a lost answer, and the versions', async t => {
  const {table, run} = await createSetting(['answer-lost']);
  const outcome = await run();
  const rows = await table.read(['marker', 'data']);
  const versions = rows.ok ? rows.value.map(row => row!.version) : [];
  t.like(outcome, {
    kind: 'committed',
    versions: {marker: versions[0], data: versions[1]},
  });
  t.is(table.applied, 1);
});

test('knows its write although another has written over it', async t => {
  const {run} = await createSetting(['overwritten']);
  const outcome = await run();
  t.is(outcome.kind, 'committed');
  t.deepEqual(outcome.kind === 'committed' && Object.keys(outcome.versions), [
    'data',
  ]);
});

test('knows that another came first, behind the same base', async t => {
  const {run} = await createSetting(['forestalled']);
  t.deepEqual(await run(), {kind: 'conflict', key: 'marker'});
});

test('says unknown when the row has lost track of it', async t => {
  const {run} = await createSetting(['forestalled'], true, 20);
  t.is((await run()).kind, 'unknown');
});

test('says unavailable when each attempt was refused for certain', async t => {
  const {table, run} = await createSetting(Array<Step>(50).fill('throttled'));
  t.like(await run(), {kind: 'unavailable', err: {kind: 'throttled'}});
  t.is(table.calls, 5);
});

test('says unknown when nothing can be read back', async t => {
  const steps: Step[] = ['late', ...Array<Step>(50).fill('refused')];
  const {table, run} = await createSetting(steps);
  t.is((await run()).kind, 'unknown');
  await table.deliverLate();
  t.is(table.applied, 1);
});

// A user sees a cancelled job come to life. A row that had to be absent was
// there, so the commit failed; later the row went and a copy of the commit
// that had been under way all the time took effect.
test('does not call a conflict final that can go away', async t => {
  const {table, run} = await createSetting(['late']);
  const put = {kind: 'put', key: 'lock', value: {}} as const;
  await table.writeDirectly({checks: [], writes: [put]});
  const outcome = await run({checks: [{key: 'lock', version: 0}]});
  t.is(outcome.kind, 'unknown');
  const gone = {kind: 'delete', key: 'lock'} as const;
  await table.writeDirectly({checks: [], writes: [gone]});
  await table.deliverLate();
  t.is(table.applied, 1);
});

test('keeps the history of a row short', async t => {
  const {table, run} = await createSetting([]);
  for (let i = 0; i < 20; i++) await otherWriter(table);
  const rows = await table.read(['marker']);
  t.is(noncesOf(rows.ok ? rows.value[0] : undefined).length, 8);
  t.is((await run()).kind, 'conflict');
});
