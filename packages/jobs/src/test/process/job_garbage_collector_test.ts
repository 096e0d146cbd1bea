import {setImmediate, setTimeout} from 'node:timers/promises';
import {failure, NO_EVENT_LOG, SYSTEM_CLOCK} from '@oathead/core';
import {Membership, memberId} from '@oathead/gateway';
import {
  encodeJson,
  MemoryRowStore,
  type RowTransaction,
  type TableUpdate,
  type VersionedRow,
} from '@oathead/stores';
import test from 'ava';
import {JobGarbageCollector} from '../../lib/process/job_garbage_collector.js';
import {
  CONTENT_TABLE,
  HEAD_TABLE,
  headRef,
  jobRowRange,
  jobRowRef,
  partitionOf,
  RESULT_TABLE,
  type JobHead,
} from '../../lib/request/job_rows.js';

const RETENTION_MS = 1000;
const SWEEP_TIMEOUT_MS = 5000;

async function insertClosedJob(
  store: MemoryRowStore,
  id: string,
  ageMs: number,
) {
  const head: JobHead = {
    id,
    hostName: 'h',
    items: 120,
    acceptedAtMs: 0,
    completionGoalMs: 1,
    retentionMs: 1,
    maxAttempts: 1,
    owner: '',
    state: 'done',
    listed: 120,
    failures: {},
    nonce: '',
    closedAtMs: store.storeTimeMs() - ageMs,
    content: {kind: 'rows', pieces: 1},
  };
  const value = Buffer.from('x');
  const results = [...Array(120).keys()].map(i => ({
    ...jobRowRef(RESULT_TABLE, id, i),
    value,
  }));
  const content = {...jobRowRef(CONTENT_TABLE, id, 0), value};
  const puts = [{...headRef(id), value: encodeJson(head)}, content, ...results];
  await store.transact({expect: [], puts, removes: []});
}

async function countRows(store: MemoryRowStore, id: string): Promise<number> {
  const head = await store.read({
    table: HEAD_TABLE,
    partition: partitionOf(id),
    from: id,
    to: `${id}!`,
  });
  const results = await store.read(jobRowRange(RESULT_TABLE, id));
  const content = await store.read(jobRowRange(CONTENT_TABLE, id));
  return [head, results, content].reduce(
    (sum, page) => sum + (page.ok ? page.value.rows.length : 0),
    0,
  );
}

/** Sweeps once on the only host, which has read all heads. */
async function sweepOnce(store: MemoryRowStore) {
  const self = {
    id: memberId('me', '1'),
    host: 'me',
    dataCentre: 'a',
    ip: '',
    loadPort: 1,
    controlAddress: '',
  };
  const context = {store, clock: SYSTEM_CLOCK, log: NO_EVENT_LOG};
  const membership = new Membership(self, context);
  const collector = new JobGarbageCollector({
    ...context,
    membership,
    closedJobRetentionMs: () => RETENTION_MS,
  });
  const changes = await store.changes(HEAD_TABLE, 0, 0);
  const put = changes.ok
    ? changes.value.changes.flatMap(c => (c.kind === 'put' ? [c.row] : []))
    : [];
  const update: TableUpdate = {put, removed: [], storeTimeMs: 0};
  collector.update(update);
  await collector.sweep();
}

test('a job is removed completely after its retention period only', async t => {
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  await insertClosedJob(store, 'old', RETENTION_MS + 500);
  await insertClosedJob(store, 'new', 0);
  await sweepOnce(store);
  t.is(await countRows(store, 'old'), 0);
  t.is(await countRows(store, 'new'), 122);
});

// Guards against a store that fills up until it accepts nothing more: the texts
// of removed jobs that were too large for a row stayed.
test('the texts of a removed job are removed, too', async t => {
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  await insertClosedJob(store, 'old', RETENTION_MS + 500);
  await store.putObject('text', Buffer.from('x'));
  const value = encodeJson({kind: 'object', name: 'text'});
  const puts = [{...jobRowRef(RESULT_TABLE, 'old', 0), value}];
  await store.transact({expect: [], puts, removes: []});
  await sweepOnce(store);
  t.is(await countRows(store, 'old'), 0);
  t.false((await store.getObject('text')).ok);
});

/** Performs its first removal only when the test asks for it. */
class LateStore extends MemoryRowStore {
  private late: RowTransaction | undefined;

  override async transact(transaction: RowTransaction) {
    if (this.late || transaction.removes.length === 0)
      return super.transact(transaction);
    this.late = transaction;
    return failure({kind: 'unknown', message: 'timeout'} as const);
  }

  async performLate(): Promise<void> {
    if (this.late) await super.transact(this.late);
  }
}

// Guards against items and results of an accepted job that are lost: a removal
// of the job of this ID before it is performed late, or by another host that
// takes itself for the one to remove it.
test('a late removal leaves the rows of a new job of the same ID', async t => {
  const store = new LateStore(SYSTEM_CLOCK);
  await insertClosedJob(store, 'j', RETENTION_MS + 500);
  await sweepOnce(store);
  await sweepOnce(store);
  t.is(await countRows(store, 'j'), 0);
  await insertClosedJob(store, 'j', 0);
  await store.performLate();
  t.is(await countRows(store, 'j'), 122);
});

const OBJECTS = {kind: 'objects', pieces: 1};
/** Heads that no job has, in the row `odd`. */
const ODD_HEADS = {
  'an ID that no URL can hold': {id: '\ud800', content: OBJECTS},
  'the ID of another job': {id: 'new', content: OBJECTS},
  'pieces without end': {
    id: 'odd',
    content: {...OBJECTS, pieces: Number.MAX_SAFE_INTEGER},
  },
} as const;

/** Removes objects one in a turn of the event loop. */
class TurnStore extends MemoryRowStore {
  override async removeObject(name: string) {
    await setImmediate();
    return super.removeObject(name);
  }
}

// Guards against a host that ends, and after it each other one, and against jobs
// that are removed too early or never: another writer has left a head.
for (const [what, odd] of Object.entries(ODD_HEADS))
  test(`a head with ${what} leaves the removal of others alone`, async t => {
    const store = new TurnStore(SYSTEM_CLOCK);
    await insertClosedJob(store, 'odd', RETENTION_MS + 500);
    const {key, partition} = headRef('odd');
    const read = await store.read({table: HEAD_TABLE, partition, from: key});
    const head = read.ok ? readJson(read.value.rows[0]!) : {};
    const value = encodeJson({...head, ...odd});
    const puts = [{...headRef('odd'), value}];
    await store.transact({expect: [], puts, removes: []});
    await insertClosedJob(store, 'old', RETENTION_MS + 500);
    await insertClosedJob(store, 'new', 0);
    const isOver = setTimeout(SWEEP_TIMEOUT_MS, 'not over');
    t.is(await Promise.race([sweepOnce(store), isOver]), undefined);
    t.is(await countRows(store, 'old'), 0);
    t.is(await countRows(store, 'new'), 122);
  });

function readJson({value}: VersionedRow): object {
  return JSON.parse(Buffer.from(value).toString()) as object;
}
