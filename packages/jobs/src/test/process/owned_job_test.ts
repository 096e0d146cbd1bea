import {setImmediate, setTimeout} from 'node:timers/promises';
import {
  failure,
  NO_COUNTERS,
  NO_LATENCIES,
  seededRandom,
  SYSTEM_CLOCK,
  type EventFields,
} from '@oathead/core';
import {
  encodeJson,
  MemoryRowStore,
  type RowStoreOutcome,
  type RowTransaction,
  type StoreTimestamp,
} from '@oathead/stores';
import test from 'ava';
import {newItemWork} from '../../lib/process/item_work.js';
import {OwnedJob, type GiveUpReason} from '../../lib/process/owned_job.js';
import {
  headRef,
  indexOfKey,
  jobRowRange,
  PARTIAL_TABLE,
  RESULT_TABLE,
  type FailedRun,
  type JobHead,
} from '../../lib/request/job_rows.js';

const MAX_ATTEMPTS = 2;
const WRITE_MS = 30;
const KEPT_MS = 500;
const MAX_HANDOVER_MS = 5000;
const RUN = {target: 'i-a', status: 500, doubt: undefined};
const ROW_BYTES = 1024;
const HEAD: JobHead = {
  id: 'j',
  hostName: 'h',
  items: 1,
  acceptedAtMs: 0,
  completionGoalMs: 1,
  retentionMs: 1,
  maxAttempts: MAX_ATTEMPTS,
  owner: 'me',
  state: 'open',
  listed: 0,
  failures: {},
  nonce: 'first',
  content: {kind: 'rows', pieces: 1},
};

/** Refuses objects, as a store that is busy or unavailable. */
class ObjectRefusingStore extends MemoryRowStore {
  attempts = 0;

  override async putObject() {
    this.attempts++;
    await setImmediate();
    return failure({kind: 'refused', message: 'busy'} as const);
  }
}

/** Creates a job, and its log. */
async function startJob(
  store = new MemoryRowStore(SYSTEM_CLOCK),
  items: readonly string[] = ['i'],
) {
  const newHead = {...HEAD, items: items.length};
  const puts = [{...headRef('j'), value: encodeJson(newHead)}];
  const written = await store.transact({expect: [], puts, removes: []});
  if (!written.ok) throw new Error(written.err.kind);
  const item = {path: '/', headers: {}, body: Buffer.of(), tokens: 1};
  const works = items.map((id, i) =>
    newItemWork(i, {...item, id}, 0, undefined),
  );
  const lines: Array<EventFields & {readonly event: string}> = [];
  const context = {
    store,
    clock: SYSTEM_CLOCK,
    random: seededRandom(1),
    counters: NO_COUNTERS,
    latencies: NO_LATENCIES,
    limits: {
      rowBytes: ROW_BYTES,
      transactionBytes: ROW_BYTES,
      objectBytes: ROW_BYTES,
      acrossPartitions: true,
    },
    log: {
      event: (event: string, fields: EventFields = {}) =>
        void lines.push({event, ...fields}),
    },
  };
  const head = {head: newHead, version: written.value.version};
  const job = new OwnedJob(context, head, works, () => {});
  return {job, work: works[0]!, works, lines};
}

/** The fields that are written to the log. */
function definedIn(line: EventFields): EventFields {
  const written = Object.entries(line).filter(
    ([, value]) => value !== undefined,
  );
  return Object.fromEntries(written);
}

/** Line of the result, without the times of its stages. */
const LISTED_LINE = {
  event: 'item-listed',
  job: 'j',
  item: 'i',
  state: 'failed',
};
const REASONS: readonly GiveUpReason[] = [
  'unprocessable',
  'retention',
  'no-route',
];

// Guards against an incident that the log does not explain: an item was given
// up, and nothing said whether its target, its route or the time was the reason.
for (const reason of REASONS)
  test(`the log says that an item was given up for ${reason}`, async t => {
    const {job, work, lines} = await startJob();
    job.giveUp(work, reason);
    await setTimeout(WRITE_MS);
    const [givenUp, listed, ...others] = lines;
    t.deepEqual(definedIn(givenUp!), {
      event: 'item-given-up',
      job: 'j',
      item: 'i',
      reason,
      failures: 0,
    });
    t.like(listed, LISTED_LINE);
    t.deepEqual(others, []);
  });

test('an item is given up after as many failed runs as its job allows', async t => {
  const {job, work, lines} = await startJob();
  job.fail(work, RUN);
  await setTimeout(WRITE_MS);
  t.deepEqual([work.stage.kind, job.head.failures], ['waiting', {0: 1}]);
  job.fail(work, RUN);
  await setTimeout(WRITE_MS);
  const [givenUp, listed, ...others] = lines;
  const {failedRuns, ...line} = givenUp!;
  t.deepEqual(definedIn(line), {
    event: 'item-given-up',
    job: 'j',
    item: 'i',
    reason: 'failed-runs',
    failures: MAX_ATTEMPTS,
  });
  const runs = failedRuns as readonly FailedRun[];
  t.is(runs.length, MAX_ATTEMPTS);
  for (const {sinceAcceptedMs, ...run} of runs) {
    t.deepEqual(run, {...RUN, run: 0, owner: 'me'});
    t.true(Number.isInteger(sinceAcceptedMs));
  }
  t.like(listed, LISTED_LINE);
  t.deepEqual(others, []);
});

test('runs in doubt use up no attempt, but are counted and bounded', async t => {
  const {job, work} = await startJob();
  for (let runs = 1; runs < 2 * MAX_ATTEMPTS; runs++) {
    job.doubt(work, {...RUN, doubt: 'no-length'});
    await setTimeout(WRITE_MS);
    t.deepEqual([work.stage.kind, job.head.doubts], ['waiting', {0: runs}]);
    t.deepEqual(job.head.failures, {});
  }
  job.doubt(work, {...RUN, doubt: 'no-length'});
  await setTimeout(WRITE_MS);
  t.deepEqual([work.stage.kind, job.head.state], ['finished', 'done']);
});

// Guards against an item that is given up after one statement, in doubt, that
// it can never be done.
test('doubtful failures do not count as statements that an item cannot be done', async t => {
  const {job, work} = await startJob();
  job.doubt(work, {...RUN, doubt: 'no-length'});
  await setTimeout(WRITE_MS);
  const unprocessable = {...RUN, status: 422, doubt: 'no-length'} as const;
  job.doubtProcessable(work, unprocessable);
  await setTimeout(WRITE_MS);
  t.is(work.stage.kind, 'waiting');
  job.doubtProcessable(work, unprocessable);
  await setTimeout(WRITE_MS);
  t.deepEqual([work.stage.kind, job.head.state], ['finished', 'done']);
});

// Guards against a store that is called as fast as it refuses: the text of a
// result is too large for a row, and its object is not accepted.
test('a text that the store refuses is tried again after a pause', async t => {
  const store = new ObjectRefusingStore(SYSTEM_CLOCK);
  const {job, work} = await startJob(store);
  work.texts.push('x'.repeat(ROW_BYTES));
  job.succeed(work);
  await setTimeout(10 * WRITE_MS);
  job[Symbol.dispose]();
  t.true(store.attempts <= 3, `${store.attempts} attempts`);
});

// Guards against a result without a text: the job was let go before the object
// with the text was stored, and the row that names it was written all the same.
test('no result is listed whose text is not stored', async t => {
  const store = new ObjectRefusingStore(SYSTEM_CLOCK);
  const {job, work} = await startJob(store);
  work.texts.push('x'.repeat(ROW_BYTES));
  job.succeed(work);
  await setTimeout(WRITE_MS);
  job[Symbol.dispose]();
  await setTimeout(10 * WRITE_MS);
  const page = await store.read(jobRowRange(RESULT_TABLE, 'j'));
  t.deepEqual(page.ok && page.value.rows, []);
});

const CONFIG_REF = {table: 'op', partition: '', key: 'config'};

/** Writes a version of the operator's configuration. */
async function writeConfig(store: MemoryRowStore) {
  const puts = [{...CONFIG_REF, value: encodeJson({})}];
  const written = await store.transact({expect: [], puts, removes: []});
  if (!written.ok) throw new Error(written.err.kind);
  return {...CONFIG_REF, version: written.value.version};
}

// Guards against an item that is given up under an old configuration: the host
// read it from a store that lags, or was stopped right before its write.
test('no item is given up for a route of a configuration that was replaced', async t => {
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  const {job, work, lines} = await startJob(store);
  work.texts.push('kept');
  const old = await writeConfig(store);
  const newest = await writeConfig(store);
  job.giveUp(work, 'no-route', {row: old, version: 7, ageMs: 1});
  await setTimeout(WRITE_MS);
  t.deepEqual([work.stage.kind, work.texts], ['waiting', ['kept']]);
  t.deepEqual([job.closed, job.head.listed], [false, 0]);
  job.giveUp(work, 'no-route', {row: newest, version: 8, ageMs: 1});
  await setTimeout(WRITE_MS);
  t.deepEqual([job.closed, job.head.listed], [true, 1]);
  t.deepEqual(lines.map(({event, config}) => [event, config]).slice(0, 3), [
    ['item-given-up', 7],
    ['item-kept', undefined],
    ['item-given-up', 8],
  ]);
});

// Guards against a store that is called in each scheduling interval by a host
// that does not know the newest configuration.
test('an item that is kept waits before it can be given up again', async t => {
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  const {job, work} = await startJob(store);
  const old = await writeConfig(store);
  await writeConfig(store);
  const earliest = SYSTEM_CLOCK.now() + KEPT_MS;
  job.giveUp(work, 'no-route', {row: old, version: 7, ageMs: 1});
  await setTimeout(WRITE_MS);
  const {stage} = work;
  t.true(stage.kind === 'waiting' && stage.notBefore >= earliest);
});

// Guards against results and failures that are lost with a write that also
// gives an item up under an old configuration.
test('what else was to be written is written without the item that is kept', async t => {
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  const items = ['kept', 'done', 'failed'] as const;
  const {job, works} = await startJob(store, items);
  const [kept, done, failed] = works;
  const old = await writeConfig(store);
  await writeConfig(store);
  job.succeed(done!);
  job.giveUp(kept!, 'no-route', {row: old, version: 7, ageMs: 1});
  job.fail(failed!, RUN);
  await setTimeout(WRITE_MS);
  t.deepEqual(
    works.map(({stage}) => stage.kind),
    ['waiting', 'finished', 'waiting'],
  );
  t.deepEqual([job.head.listed, job.head.failures], [1, {2: 1}]);
});

// Guards against finished items that are never listed, and failed ones that are
// never run again: they waited for the text of another item, which the store
// did not accept.
test('no item waits for the text of another one to be stored', async t => {
  const store = new ObjectRefusingStore(SYSTEM_CLOCK);
  const {job, works} = await startJob(store, ['long', 'short', 'failed']);
  const [long, short, failed] = works;
  long!.texts.push('x'.repeat(ROW_BYTES));
  job.succeed(long!);
  job.succeed(short!);
  job.fail(failed!, RUN);
  await setTimeout(WRITE_MS);
  t.is(job.head.listed, 1);
  t.deepEqual(job.head.failures, {2: 1});
  t.is(failed!.stage.kind, 'waiting');
  job[Symbol.dispose]();
});

// Guards against a head that no longer fits into a row and is never written.
test('the head describes a bounded number of failed runs', async t => {
  const ids = [...Array(200).keys()].map(i => `item-${i}`);
  const {job, works} = await startJob(new MemoryRowStore(SYSTEM_CLOCK), ids);
  for (const work of works) job.fail(work, RUN);
  await setTimeout(2 * WRITE_MS);
  t.is(Object.keys(job.head.failures).length, ids.length);
  t.is(Object.keys(job.head.failedRuns ?? {}).length, 100);
});

// Guards against items that start from the beginning under a new owner, because
// another item of their job has a partial text that is too large for a row.
test('a partial text is stored beside one that is too large', async t => {
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  const {job, works} = await startJob(store, ['large', 'small']);
  works[0]!.texts.push('x'.repeat(ROW_BYTES));
  works[1]!.texts.push('x');
  await job.checkpoint();
  const page = await store.read(jobRowRange(PARTIAL_TABLE, 'j'));
  t.deepEqual(page.ok && page.value.rows.map(({key}) => indexOfKey(key)), [1]);
});

// Guards against a job that nobody processes until the lease of its owner has
// lapsed: its owner stops, and the store does not take a text.
test('a job is handed over although a text cannot be stored', async t => {
  const {job, work, lines} = await startJob(
    new ObjectRefusingStore(SYSTEM_CLOCK),
  );
  t.teardown(() => job[Symbol.dispose]());
  work.texts.push('x'.repeat(ROW_BYTES));
  job.succeed(work);
  await Promise.race([job.handOver('peer'), setTimeout(MAX_HANDOVER_MS)]);
  const handedOver = lines.find(({event}) => event === 'job-handed-over');
  t.is(handedOver?.['outcome'], 'written');
});

/** Takes long for the next write and none for the one after it. */
class ReorderingStore extends MemoryRowStore {
  delayMs = 0;

  override async transact(
    transaction: RowTransaction,
  ): RowStoreOutcome<StoreTimestamp> {
    const {delayMs} = this;
    this.delayMs = 0;
    await setTimeout(delayMs);
    return super.transact(transaction);
  }
}

// Guards against a job that rests at a host that stops: a run that failed during
// the handover was written at the same time, and the handover was refused.
test('a run that fails during the handover does not undo it', async t => {
  const store = new ReorderingStore(SYSTEM_CLOCK);
  const {job, works, lines} = await startJob(store, ['i', 'j']);
  store.delayMs = 2 * WRITE_MS;
  const handover = job.handOver('peer');
  await setTimeout(WRITE_MS / 2);
  job.fail(works[0]!, RUN);
  await handover;
  await setTimeout(2 * WRITE_MS);
  t.like(
    lines.find(({event}) => event === 'job-handed-over'),
    {to: 'peer', outcome: 'written'},
  );
  t.false(lines.some(({event}) => event === 'job-lost'));
});
