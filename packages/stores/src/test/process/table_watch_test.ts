import {setTimeout} from 'node:timers/promises';
import {
  failure,
  NO_COUNTERS,
  NO_EVENT_LOG,
  success,
  SYSTEM_CLOCK,
  type EventLog,
} from '@oathead/core';
import {install} from '@sinonjs/fake-timers';
import test from 'ava';
import {MemoryRowStore} from '../../lib/process/memory_row_store.js';
import type {RowStore} from '../../lib/process/row_store.js';
import {TableWatch, type TableUpdate} from '../../lib/process/table_watch.js';

const OPTIONS = {
  table: 't',
  partitions: ['', 'p'],
  waitMs: 20,
  pauseMs: 0,
  fullReadMs: 60_000,
  pageRows: 2,
};

/** How long the store loses responses, in milliseconds. */
const LOSSES_MS = 4500;

function put(store: MemoryRowStore, key: string, partition = '') {
  const row = {table: 't', partition, key, value: Buffer.from(key)};
  return store.transact({expect: [], puts: [row], removes: []});
}

function remove(store: MemoryRowStore, key: string) {
  const ref = {table: 't', partition: '', key};
  return store.transact({expect: [], puts: [], removes: [ref]});
}

function follow(
  store: RowStore,
  log: EventLog = NO_EVENT_LOG,
  options = OPTIONS,
) {
  const context = {store, clock: SYSTEM_CLOCK, log, counters: NO_COUNTERS};
  const updates: TableUpdate[] = [];
  const watch = new TableWatch(options, context, update =>
    updates.push(update),
  );
  watch.start();
  const keys = () =>
    watch
      .all()
      .map(({key}) => key)
      .sort();
  return {watch, updates, keys};
}

test('a watch returns existing rows and follows puts and removals', async t => {
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  for (const key of ['a', 'b', 'c', 'd', 'e']) await put(store, key);
  await put(store, 'x', 'p');
  const {watch, keys} = follow(store);
  await setTimeout(60);
  t.deepEqual(keys(), ['a', 'b', 'c', 'd', 'e', 'x']);
  await put(store, 'f');
  await remove(store, 'a');
  await setTimeout(60);
  t.deepEqual(keys(), ['b', 'c', 'd', 'e', 'f', 'x']);
  watch[Symbol.dispose]();
});

// The store drops its change history while a host is not reading, so the feed
// cannot report what has changed. The watch must read the table in full, or the
// host keeps routing by an outdated configuration.
test('a watch reads the table in full when the history is lost', async t => {
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  await put(store, 'a');
  await put(store, 'b');
  let lost = false;
  const storeWithLostHistory: RowStore = {
    ...delegateTo(store),
    changes: async (table, after, waitMs) => {
      if (!lost) return store.changes(table, after, waitMs);
      lost = false;
      return failure({kind: 'history-lost'});
    },
  };
  const {watch, keys} = follow(storeWithLostHistory);
  await setTimeout(60);
  await remove(store, 'a');
  store.discardHistory();
  lost = true;
  await setTimeout(100);
  t.deepEqual(keys(), ['b']);
  watch[Symbol.dispose]();
});

// Guards against a host that goes by an old configuration until its next full
// read: the feed misses a change, the store drops its history, and its reads lag
// for a while.
test('a read that is older than the feed is repeated', async t => {
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  await put(store, 'a');
  const old = await store.read({table: 't', partition: ''});
  let feed: 'whole' | 'deaf' | 'lost' = 'whole';
  let readsLag = false;
  const laggingStore: RowStore = {
    ...delegateTo(store),
    changes: async (table, after, waitMs) => {
      const changes = await store.changes(table, after, waitMs);
      if (feed === 'whole' || !changes.ok) return changes;
      if (feed === 'deaf') return success({...changes.value, changes: []});
      return failure({kind: 'history-lost'});
    },
    read: async query =>
      readsLag && query.partition === '' ? old : store.read(query),
  };
  const {watch, keys} = follow(laggingStore);
  t.teardown(() => watch[Symbol.dispose]());
  await setTimeout(60);
  feed = 'deaf';
  await put(store, 'b');
  await setTimeout(60);
  readsLag = true;
  feed = 'lost';
  await setTimeout(60);
  feed = 'whole';
  await setTimeout(60);
  t.deepEqual(keys(), ['a']);
  readsLag = false;
  await setTimeout(600);
  t.deepEqual(keys(), ['a', 'b']);
});

// Guards against a configuration that is known late: a quiet feed that has lost its
// history must not wait before the table is read in full.
test('a quiet table is read at once when its history is lost', async t => {
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  await put(store, 'a');
  let isLost = false;
  let lostAt = Infinity;
  const storeWithLostHistory: RowStore = {
    ...delegateTo(store),
    changes: async (table, after, waitMs) => {
      if (!isLost) return store.changes(table, after, waitMs);
      isLost = false;
      lostAt = Date.now();
      await put(store, 'b');
      return failure({kind: 'history-lost'});
    },
  };
  const options = {...OPTIONS, waitMs: 600};
  const {watch, updates, keys} = follow(
    storeWithLostHistory,
    NO_EVENT_LOG,
    options,
  );
  t.teardown(() => watch[Symbol.dispose]());
  while (updates.length < 2) await setTimeout(10);
  isLost = true;
  while (keys().length < 2) await setTimeout(10);
  t.true(Date.now() - lostAt < 300, `${Date.now() - lostAt} ms`);
});

// Guards against a host that lacks a row, as the head of a job, until its next
// full read: the feed keeps a change back, and the history starts right after it.
test('a change that the feed has kept back is not lost', async t => {
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  await put(store, 'a');
  let isDeaf = false;
  const deafStore: RowStore = {
    ...delegateTo(store),
    changes: async (table, after, waitMs) => {
      const changes = await store.changes(table, after, waitMs);
      if (!isDeaf || !changes.ok) return changes;
      return success({...changes.value, changes: []});
    },
  };
  const {watch, keys} = follow(deafStore);
  t.teardown(() => watch[Symbol.dispose]());
  await setTimeout(60);
  isDeaf = true;
  await put(store, 'b');
  await setTimeout(1000);
  t.deepEqual(keys(), ['a']);
  store.discardHistory();
  isDeaf = false;
  await setTimeout(200);
  t.deepEqual(keys(), ['a', 'b']);
});

// Guards against rows that a feed skips without a trace: a host that lacks the
// row of a job looks as if the job did not exist.
test('a full read reports the rows that the feed has skipped', async t => {
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  await put(store, 'a');
  const skippingStore: RowStore = {
    ...delegateTo(store),
    changes: async (table, after, waitMs) => {
      const result = await store.changes(table, after, waitMs);
      if (!result.ok) return result;
      const changes = result.value.changes.filter(
        change => change.kind !== 'put' || change.row.key !== 'c',
      );
      return success({...result.value, changes});
    },
  };
  const skipped: unknown[] = [];
  const log: EventLog = {
    event: (name, fields) => {
      if (name === 'table-rows-skipped') skipped.push(fields?.['keys']);
    },
  };
  const options = {...OPTIONS, fullReadMs: 100};
  const {watch} = follow(skippingStore, log, options);
  t.teardown(() => watch[Symbol.dispose]());
  await put(store, 'b');
  await setTimeout(150);
  t.deepEqual(skipped, []);
  await put(store, 'c');
  await put(store, 'd');
  await setTimeout(250);
  t.deepEqual(skipped, [['c']]);
});

// Guards against decisions that rest on a copy of the table from which the feed
// keeps back changes.
test('a read that was asked for has what the feed keeps back', async t => {
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  let reads = 0;
  const silentFeed: RowStore = {
    ...delegateTo(store),
    read: query => {
      reads++;
      return store.read(query);
    },
    changes: async () => {
      await setTimeout(OPTIONS.waitMs);
      return success({changes: [], version: 1, storeTimeMs: 1});
    },
  };
  const {watch, keys} = follow(silentFeed);
  t.teardown(() => watch[Symbol.dispose]());
  await setTimeout(60);
  await put(store, 'late');
  const before = reads;
  const shared = await Promise.all([watch.refresh(), watch.refresh()]);
  t.deepEqual(shared, [true, true]);
  t.deepEqual(keys(), ['late']);
  t.is(reads - before, OPTIONS.partitions.length);
});

// Guards against a host that hears of no job for many seconds, while the store
// loses a part of its responses: its read started over with each failed call.
test.serial('a full read goes on where a call has failed', async t => {
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  const partitions = [...Array(16).keys()].map(i => `p${i}`);
  for (const partition of partitions) await put(store, partition, partition);
  let calls = 0;
  const losingStore: RowStore = {
    ...delegateTo(store),
    read: async query =>
      ++calls % 3 === 0
        ? failure({kind: 'unknown', message: 'lost'})
        : store.read(query),
  };
  const timers = install();
  t.teardown(() => timers.uninstall());
  const options = {...OPTIONS, partitions};
  const {watch, keys} = follow(losingStore, NO_EVENT_LOG, options);
  await timers.tickAsync(LOSSES_MS);
  watch[Symbol.dispose]();
  t.is(keys().length, partitions.length);
});

// Guards against a host that hears of no change while the store refuses reads and
// serves feeds, since the time for its next full read has come.
test('the feed is followed while full reads fail', async t => {
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  await put(store, 'a');
  let failsReads = false;
  const refusingStore: RowStore = {
    ...delegateTo(store),
    read: async query =>
      failsReads ? failure({kind: 'refused', message: ''}) : store.read(query),
  };
  const events: string[] = [];
  const log = {event: (name: string) => void events.push(name)};
  const options = {...OPTIONS, fullReadMs: 50};
  const {watch, keys} = follow(refusingStore, log, options);
  t.teardown(() => watch[Symbol.dispose]());
  await setTimeout(60);
  failsReads = true;
  await setTimeout(60);
  await put(store, 'b');
  await setTimeout(300);
  t.deepEqual(keys(), ['a', 'b']);
  t.is(events.filter(name => name === 'table-read-failed').length, 1);
  t.false(events.includes('table-feed-lost'));
});

test('a read that fails says so', async t => {
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  const unavailable: RowStore = {
    ...delegateTo(store),
    read: async () => failure({kind: 'unknown', message: 'down'}),
  };
  const {watch} = follow(unavailable);
  t.teardown(() => watch[Symbol.dispose]());
  t.false(await watch.refresh());
});

function delegateTo(store: MemoryRowStore): RowStore {
  return {
    transact: transaction => store.transact(transaction),
    read: query => store.read(query),
    changes: (table, after, waitMs) => store.changes(table, after, waitMs),
    storeTimeMs: () => store.storeTimeMs(),
    putObject: (name, bytes) => store.putObject(name, bytes),
    getObject: name => store.getObject(name),
    removeObject: name => store.removeObject(name),
  };
}
