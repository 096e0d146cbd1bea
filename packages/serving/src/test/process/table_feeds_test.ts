import {setTimeout} from 'node:timers/promises';
import {
  failure,
  NO_COUNTERS,
  NO_EVENT_LOG,
  success,
  SYSTEM_CLOCK,
} from '@oathead/core';
import {MEMBER_TABLE} from '@oathead/gateway';
import {HEAD_TABLE, JOB_PARTITIONS} from '@oathead/jobs';
import {MemoryRowStore, type RowStore, type TableUpdate} from '@oathead/stores';
import test from 'ava';
import {TableFeeds, type FeedConsumers} from '../../lib/process/table_feeds.js';
import type {
  ServingContext,
  ServingPlatform,
} from '../../lib/process/serving_platform.js';

const NO_ROWS = {table: 'none', decode: () => undefined};
const IGNORED = {update: () => {}};

function startFeeds(store: RowStore, onHeads: (update: TableUpdate) => void) {
  const platform = {config: NO_ROWS, targets: {...NO_ROWS, table: 'other'}};
  const context = {
    clock: SYSTEM_CLOCK,
    log: NO_EVENT_LOG,
    counters: NO_COUNTERS,
  };
  const consumers = {
    membership: IGNORED,
    crashSuspects: IGNORED,
    garbageCollector: IGNORED,
    directory: {recordListRead: () => false},
    jobOwnership: {update: onHeads},
  };
  const feeds = new TableFeeds(
    platform as unknown as ServingPlatform,
    context as unknown as ServingContext,
    store,
    consumers as unknown as FeedConsumers,
    () => {},
  );
  feeds.start();
  return feeds;
}

// Guards against a job that its host does not know of: the feed of the heads
// skips a row, and only the feed of another table is told of the lost history.
test('a lost history makes all tables be read in full', async t => {
  const rows = new MemoryRowStore(SYSTEM_CLOCK);
  let isSkipping = false;
  let isLost = false;
  const store: RowStore = {
    transact: transaction => rows.transact(transaction),
    read: query => rows.read(query),
    changes: async (table, after, waitMs) => {
      if (isLost && table === MEMBER_TABLE) {
        isLost = false;
        return failure({kind: 'history-lost'});
      }
      const changes = await rows.changes(table, after, waitMs);
      return changes.ok && isSkipping
        ? success({...changes.value, changes: []})
        : changes;
    },
    storeTimeMs: () => rows.storeTimeMs(),
    putObject: (name, bytes) => rows.putObject(name, bytes),
    getObject: name => rows.getObject(name),
    removeObject: name => rows.removeObject(name),
  };
  const heads: string[] = [];
  const feeds = startFeeds(store, ({put}) =>
    heads.push(...put.map(({key}) => key)),
  );
  t.teardown(() => feeds[Symbol.dispose]());
  await setTimeout(300);
  isSkipping = true;
  const partition = JOB_PARTITIONS[0]!;
  const head = {
    table: HEAD_TABLE,
    partition,
    key: 'job',
    value: Buffer.from(''),
  };
  await rows.transact({expect: [], puts: [head], removes: []});
  await setTimeout(1300);
  t.deepEqual(heads, []);
  isSkipping = false;
  isLost = true;
  await setTimeout(2500);
  t.deepEqual(heads, ['job']);
});
