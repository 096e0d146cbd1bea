import {setTimeout} from 'node:timers/promises';
import {
  NO_COUNTERS,
  NO_EVENT_LOG,
  seededRandom,
  success,
  SYSTEM_CLOCK,
} from '@oathead/core';
import type {Membership} from '@oathead/gateway';
import {encodeJson, MemoryRowStore} from '@oathead/stores';
import test from 'ava';
import {JobKeeper} from '../../lib/process/job_keeper.js';
import type {JobReader} from '../../lib/request/job_reader.js';
import {headRef, type JobHead} from '../../lib/request/job_rows.js';

const OPEN: JobHead = {
  id: 'j',
  hostName: 'h',
  items: 1,
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
const LOAD_MS = 50;

function updateOf(head: JobHead, version: number) {
  const row = {...headRef(head.id), value: encodeJson(head), version};
  return {put: [row], removed: [], storeTimeMs: 1};
}

// An item of a job that its caller has ended runs at a server seconds later: the
// owner was reading the job's items when it saw the end, and took the job up with
// the head from before.
test('a job that ends while its items are read is not taken up', async t => {
  const reader = {
    items: async () => {
      await setTimeout(LOAD_MS);
      return success([]);
    },
    allResults: async () => success([]),
  } as unknown as JobReader;
  const membership = {self: {id: 'me'}, peers: () => []} as unknown;
  const keeper = new JobKeeper({
    store: new MemoryRowStore(SYSTEM_CLOCK),
    clock: SYSTEM_CLOCK,
    random: seededRandom(1),
    log: NO_EVENT_LOG,
    counters: NO_COUNTERS,
    limits: {rowBytes: 1024, transactionBytes: 1024, objectBytes: 1024},
    reader,
    membership: membership as Membership,
  });
  t.teardown(() => keeper[Symbol.dispose]());
  keeper.update(updateOf(OPEN, 1));
  keeper.update(updateOf({...OPEN, state: 'ended', nonce: 'end'}, 2));
  await setTimeout(2 * LOAD_MS);
  t.deepEqual([...keeper.jobs()], []);
});
