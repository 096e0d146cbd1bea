import {failure, seededRandom, SYSTEM_CLOCK} from '@oathead/core';
import {
  encodeJson,
  MemoryRowStore,
  type RowStore,
  type RowTransaction,
} from '@oathead/stores';
import test from 'ava';
import {HeadWriter} from '../../lib/process/head_writer.js';
import {headRef, type JobHead} from '../../lib/request/job_rows.js';

const HEAD: JobHead = {
  id: 'j',
  hostName: 'h',
  items: 2,
  acceptedAtMs: 0,
  completionGoalMs: 1,
  retentionMs: 1,
  maxAttempts: 1,
  owner: 'me',
  state: 'open',
  listed: 0,
  failures: {},
  nonce: 'first',
  content: {kind: 'rows', pieces: 1},
};

/** A store that carries out every write and drops the responses to some. */
class LossyStore extends MemoryRowStore {
  answersToLose = 0;

  override async transact(transaction: RowTransaction) {
    const done = await super.transact(transaction);
    if (this.answersToLose-- <= 0) return done;
    return failure({kind: 'unknown', message: 'lost'} as const);
  }
}

async function insertHead(store: RowStore): Promise<number> {
  const row = {...headRef('j'), value: encodeJson(HEAD)};
  const done = await store.transact({expect: [], puts: [row], removes: []});
  return done.ok ? done.value.version : 0;
}

// Timers of the clock do not keep the process alive; this one does during
// tests.
const keepAlive = setInterval(() => {}, 1000);
test.after.always(() => clearInterval(keepAlive));

function writerOf(
  store: RowStore,
  version: number,
  seed = 1,
  acrossPartitions = true,
): HeadWriter {
  const limits = {acrossPartitions};
  const random = seededRandom(seed);
  const context = {store, clock: SYSTEM_CLOCK, random, limits};
  const {signal} = new AbortController();
  return new HeadWriter(context, {head: HEAD, version}, signal);
}

// A result appeared twice in the list: the store wrote it, the response was
// lost, and the owner wrote it again at the next position. The owner must
// detect that its first write took effect.
test('a write whose response is lost takes effect once', async t => {
  const store = new LossyStore(SYSTEM_CLOCK);
  const writer = writerOf(store, await insertHead(store));
  store.answersToLose = 1;
  t.true((await writer.write({listed: 1}, [])).ok);
  t.is(writer.head.listed, 1);
  t.true((await writer.write({listed: 2}, [])).ok);
  t.is(writer.head.listed, 2);
});

// Two hosts wrote results for one job: its owner was paused, another host took
// the job over, and the first one resumed. Its later writes must be rejected.
test('an owner whose job was taken over can no longer write', async t => {
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  const version = await insertHead(store);
  const pausedOwner = writerOf(store, version);
  const other = writerOf(store, version, 2);
  t.true((await other.write({owner: 'other'}, [])).ok);
  const late = await pausedOwner.write({listed: 1}, []);
  t.deepEqual(late.ok ? undefined : late.err, {
    kind: 'ownership-lost',
    state: 'open',
    owner: 'other',
  });
});

const BASIS_REF = {table: 'op', partition: '', key: 'config'};

/** Refuses transactions over several partitions. */
class OnePartitionStore extends MemoryRowStore {
  override async transact(transaction: RowTransaction) {
    const {expect, puts} = transaction;
    const partitions = [...expect, ...puts].map(({partition}) => partition);
    if (new Set(partitions).size <= 1) return super.transact(transaction);
    return failure({kind: 'refused', message: 'several parts'} as const);
  }

  async putBasis() {
    const puts = [{...BASIS_REF, value: encodeJson({})}];
    const written = await super.transact({expect: [], puts, removes: []});
    return {...BASIS_REF, version: written.ok ? written.value.version : 0};
  }
}

// Guards against results and failures that wait for ever behind a result whose
// write the store, or another host that forwards it, refuses each time.
test('a write with a basis is not repeated if it is refused', async t => {
  const store = new OnePartitionStore(SYSTEM_CLOCK);
  const writer = writerOf(store, await insertHead(store));
  const basis = await store.putBasis();
  const refused = await writer.write({listed: 1}, [], [basis]);
  t.is(refused.ok ? undefined : refused.err.kind, 'basis-unchecked');
  t.true((await writer.write({listed: 2}, [])).ok);
});

test('a basis is read if the store cannot check it with the write', async t => {
  const store = new OnePartitionStore(SYSTEM_CLOCK);
  const writer = writerOf(store, await insertHead(store), 1, false);
  const old = await store.putBasis();
  const newest = await store.putBasis();
  const changed = await writer.write({listed: 1}, [], [old]);
  t.is(changed.ok ? undefined : changed.err.kind, 'basis-changed');
  t.true((await writer.write({listed: 1}, [], [newest])).ok);
  t.is(writer.head.listed, 1);
});
