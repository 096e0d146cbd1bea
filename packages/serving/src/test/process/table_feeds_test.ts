import {setTimeout} from 'node:timers/promises';
import {NO_COUNTERS, NO_EVENT_LOG, SYSTEM_CLOCK, success} from '@oathead/core';
import {encodeJson, MemoryRowStore} from '@oathead/stores';
import test from 'ava';
import {TableFeeds} from '../../lib/process/table_feeds.js';

type Arguments = ConstructorParameters<typeof TableFeeds>;

const TABLE = 'servers';
const POLL_MS = 10;
const TIMEOUT_MS = 5000;

// Guards against one odd row of another writer that ends each process that reads
// the list, or keeps it from following the list.
test('a row that cannot be applied does not keep others from being', async t => {
  const rows = new MemoryRowStore(SYSTEM_CLOCK);
  const applied = new Set<string>();
  const events: string[] = [];
  const platform = {
    config: {table: 'config', decode: () => undefined},
    targets: {
      table: TABLE,
      decode: ({key}: {readonly key: string}) => success({id: key}),
    },
  };
  const consumers = {
    directory: {recordListRead: () => false, remove: () => {}},
    announcedTargets: {
      put: ({id}: {readonly id: string}) => {
        if (id === 'odd') throw new Error('cannot be applied');
        applied.add(id);
      },
      remove: () => {},
    },
    membership: {update: () => {}},
    crashSuspects: {update: () => {}},
    promptSuspects: {update: () => {}},
    jobOwnership: {update: () => {}},
    garbageCollector: {update: () => {}},
  };
  const log = {...NO_EVENT_LOG, event: (name: string) => events.push(name)};
  using feeds = new TableFeeds(
    platform as unknown as Arguments[0],
    {
      clock: SYSTEM_CLOCK,
      log,
      counters: NO_COUNTERS,
    } as unknown as Arguments[1],
    rows,
    consumers as unknown as Arguments[3],
    () => {},
  );
  const put = async (...keys: readonly string[]) => {
    const puts = keys.map(key => {
      return {table: TABLE, partition: '', key, value: encodeJson({})};
    });
    await rows.transact({expect: [], puts, removes: []});
  };
  const untilApplied = async (id: string) => {
    const deadline = SYSTEM_CLOCK.now() + TIMEOUT_MS;
    while (!applied.has(id) && SYSTEM_CLOCK.now() < deadline)
      await setTimeout(POLL_MS);
  };
  await put('a', 'odd', 'z');
  feeds.start();
  await untilApplied('z');
  await put('odd', 'zz');
  await untilApplied('zz');
  t.deepEqual([...applied], ['a', 'z', 'zz']);
  t.true(events.includes('row-not-applied'));
});
