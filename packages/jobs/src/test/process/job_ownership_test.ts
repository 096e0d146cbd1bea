import {setTimeout} from 'node:timers/promises';
import {
  NO_COUNTERS,
  NO_EVENT_LOG,
  NO_LATENCIES,
  seededRandom,
  success,
  SYSTEM_CLOCK,
} from '@oathead/core';
import type {Membership} from '@oathead/gateway';
import {encodeJson, MemoryRowStore} from '@oathead/stores';
import test from 'ava';
import {JobOwnership} from '../../lib/process/job_ownership.js';
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

// An item of a cancelled job ran on a target seconds after the cancellation:
// the owner received the change while it read the job's items, and then adopted
// the job with the older head.
test('a job cancelled while its items are read is not adopted', async t => {
  const reader = {
    items: async () => {
      await setTimeout(LOAD_MS);
      return success([]);
    },
    allResults: async () => success([]),
  } as unknown as JobReader;
  const membership = {self: {id: 'me'}, peers: () => []} as unknown;
  const jobOwnership = new JobOwnership({
    store: new MemoryRowStore(SYSTEM_CLOCK),
    clock: SYSTEM_CLOCK,
    random: seededRandom(1),
    log: NO_EVENT_LOG,
    counters: NO_COUNTERS,
    latencies: NO_LATENCIES,
    limits: {rowBytes: 1024, transactionBytes: 1024, objectBytes: 1024},
    reader,
    membership: membership as Membership,
  });
  t.teardown(() => jobOwnership[Symbol.dispose]());
  jobOwnership.update(updateOf(OPEN, 1));
  jobOwnership.update(updateOf({...OPEN, state: 'ended', nonce: 'end'}, 2));
  await setTimeout(2 * LOAD_MS);
  t.deepEqual([...jobOwnership.jobs()], []);
});
