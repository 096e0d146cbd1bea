import {setTimeout} from 'node:timers/promises';
import {
  NO_COUNTERS,
  NO_EVENT_LOG,
  NO_LATENCIES,
  seededRandom,
  success,
  SYSTEM_CLOCK,
  type EventLog,
} from '@oathead/core';
import type {Member, Membership} from '@oathead/gateway';
import {encodeJson, MemoryRowStore, type RowQuery} from '@oathead/stores';
import test from 'ava';
import {JobOwnership} from '../../lib/process/job_ownership.js';
import type {ItemResult} from '../../lib/request/job.js';
import type {JobReader} from '../../lib/request/job_reader.js';
import {
  headRef,
  JOB_HEAD,
  jobRowRef,
  PARTIAL_TABLE,
  type FailedRun,
  type JobHead,
} from '../../lib/request/job_rows.js';
import {RecordedEvents} from '../fakes/recorded_events.js';

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

/** Parts of an ownership that a test may choose. */
interface OwnershipOptions {
  readonly store?: MemoryRowStore;
  readonly peers?: ReadonlyArray<{readonly id: string}>;
  readonly log?: EventLog;
}

function ownershipWith(
  reader: JobReader,
  {
    store = new MemoryRowStore(SYSTEM_CLOCK),
    peers = [],
    log = NO_EVENT_LOG,
  }: OwnershipOptions = {},
): JobOwnership {
  const membership = {self: {id: 'me'}, peers: () => peers} as unknown;
  return new JobOwnership({
    store,
    clock: SYSTEM_CLOCK,
    random: seededRandom(1),
    log,
    counters: NO_COUNTERS,
    latencies: NO_LATENCIES,
    limits: {
      rowBytes: 1024,
      transactionBytes: 1024,
      objectBytes: 1024,
      acrossPartitions: true,
    },
    reader,
    membership: membership as Membership,
    tellOwner: () => {},
  });
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
  const jobOwnership = ownershipWith(reader);
  t.teardown(() => jobOwnership[Symbol.dispose]());
  jobOwnership.update(updateOf(OPEN, 1));
  jobOwnership.update(updateOf({...OPEN, state: 'ended', nonce: 'end'}, 2));
  await setTimeout(2 * LOAD_MS);
  t.deepEqual([...jobOwnership.jobs()], []);
});

const FAILED_RUNS: readonly FailedRun[] = ['i-a', 'i-b', 'i-a'].map(
  (target, run) => ({
    target,
    status: 500,
    doubt: 'no-seal',
    run,
    owner: 'other',
    sinceAcceptedMs: 100 * run,
  }),
);

// Guards against an item that is listed twice: while a host read which results
// a job had, another host owned it, listed one more and handed it back. The
// host went on with the head of now and the results of before.
test('a job that changes while it is read is read again', async t => {
  const item = {path: '/', headers: {}, body: new Uint8Array(), tokens: 1};
  const items = ['a', 'b'].map(id => ({...item, id}));
  const listed: ItemResult[] = [];
  let endRead = () => {};
  const changed = new Promise<void>(resolve => (endRead = resolve));
  const reader = {
    items: async () => success(items),
    allResults: async () => {
      const results = [...listed];
      await changed;
      return success(results);
    },
  } as unknown as JobReader;
  const jobOwnership = ownershipWith(reader);
  t.teardown(() => jobOwnership[Symbol.dispose]());
  const head = {...OPEN, items: items.length};
  jobOwnership.update(updateOf(head, 1));
  await setTimeout(LOAD_MS / 2);
  listed.push({id: 'a', state: 'succeeded', text: ''});
  const handedBack = {
    ...head,
    listed: 1,
    failures: {1: 2},
    doubts: {1: 1},
    failedRuns: {1: FAILED_RUNS},
    nonce: 'back',
  };
  jobOwnership.update(updateOf(handedBack, 3));
  endRead();
  await setTimeout(4 * LOAD_MS);
  const [job] = [...jobOwnership.jobs()];
  t.is(job?.head.listed, 1);
  t.deepEqual(
    job?.work.map(
      ({item: {id}, failures, doubts, failedRuns, failedTargets}) => ({
        id,
        failures,
        doubts,
        failedRuns,
        failedTargets,
      }),
    ),
    [
      {
        id: 'b',
        failures: 2,
        doubts: 1,
        failedRuns: FAILED_RUNS,
        failedTargets: ['i-b', 'i-a'],
      },
    ],
  );
});

// Guards against a job that is lost since its owner notes failed runs in
// another form.
test('a head is readable without what is known of failed runs', t => {
  const failedRuns = {0: ['status 500 target i-a']};
  const head = JOB_HEAD.safeParse({...OPEN, failures: {0: 1}, failedRuns});
  t.deepEqual(
    [head.data?.failures, head.data?.failedRuns],
    [{0: 1}, undefined],
  );
});

const SWEEP_MS = 500;
/** Time of two sweeps, below the time for which an unknown owner is awaited. */
const TWO_SWEEPS_MS = 2 * SWEEP_MS + 200;

type MemberState = Pick<Member, 'id' | 'isLeaving'>;
const LEAVING: readonly MemberState[] = ['a', 'b', 'c'].map(id => ({
  id,
  isLeaving: true,
}));

/**
 * @returns Outcomes of claims of jobs whose owner holds no lease. Reading a job
 *   takes `loadMs`.
 */
async function claimsWithin(
  ms: number,
  ownerHasLapsed: boolean,
  {jobs = 1, loadMs = 0, others = [] as readonly MemberState[]} = {},
) {
  const log = new RecordedEvents();
  const membership = {
    self: {id: 'me'},
    isInitialized: true,
    live: () => [{id: 'me'}, ...others],
    peers: () => [],
    isReplaced: () => false,
    hasLapsed: () => ownerHasLapsed,
  } as unknown;
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  const jobOwnership = new JobOwnership({
    store,
    clock: SYSTEM_CLOCK,
    random: seededRandom(1),
    log,
    counters: NO_COUNTERS,
    latencies: NO_LATENCIES,
    limits: {
      rowBytes: 1024,
      transactionBytes: 1024,
      objectBytes: 1024,
      acrossPartitions: true,
    },
    reader: {
      items: async () => {
        await setTimeout(loadMs);
        return success([]);
      },
      allResults: async () => success([]),
    } as unknown as JobReader,
    membership: membership as Membership,
    tellOwner: () => {},
  });
  for (let i = 0; i < jobs; i++) {
    const head = {...OPEN, id: `j${i}`, owner: 'other'};
    const ref = headRef(head.id);
    const written = await store.transact({
      expect: [],
      puts: [{...ref, value: encodeJson(head)}],
      removes: [],
    });
    jobOwnership.update(updateOf(head, written.ok ? written.value.version : 0));
  }
  jobOwnership.start();
  await setTimeout(ms);
  jobOwnership[Symbol.dispose]();
  const claims = log.events.filter(({name}) => name === 'job-claimed');
  return claims.map(({outcome}) => outcome);
}

// Items of a lost host were late: its jobs waited for 1.5 s more after its lease
// had lapsed, as if it had just started and its first heartbeat were to come.
test('a job is claimed as soon as the lease of its owner has lapsed', async t => {
  const [first] = await claimsWithin(TWO_SWEEPS_MS, true);
  t.is(first, 'written');
});

// A host that has just started accepts a job before others see its first
// heartbeat, and its job would be taken from it.
test('a job of an owner that is not known yet is not claimed at once', async t => {
  t.deepEqual(await claimsWithin(TWO_SWEEPS_MS, false), []);
});

// The jobs of a lost host waited for each other: each was claimed only when the
// items of the one before it had been read, which takes long at a slow store.
test('jobs of a lost host are claimed while others are being read', async t => {
  const slow = {jobs: 8, loadMs: 200};
  const claims = await claimsWithin(TWO_SWEEPS_MS, true, slow);
  t.deepEqual(claims, Array(slow.jobs).fill('written'));
});

/** A host that owns the job of {@link OPEN} and takes `LOAD_MS` to read it. */
async function stoppingOwner(peers: readonly MemberState[] = [{id: 'peer'}]) {
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  const ref = headRef(OPEN.id);
  const puts = [{...ref, value: encodeJson(OPEN)}];
  const written = await store.transact({expect: [], puts, removes: []});
  const version = written.ok ? written.value.version : 0;
  const reader = {
    items: async () => {
      await setTimeout(LOAD_MS);
      return success([]);
    },
    allResults: async () => success([]),
  } as unknown as JobReader;
  const jobOwnership = ownershipWith(reader, {store, peers});
  const owner = async () => {
    const {table, partition, key} = ref;
    const page = await store.read({table, partition, from: key});
    const [row] = page.ok ? page.value.rows : [];
    return (JSON.parse(Buffer.from(row!.value).toString()) as JobHead).owner;
  };
  return {jobOwnership, owner, update: updateOf(OPEN, version)};
}

// Guards against items that nobody runs for seconds: a host that was stopped
// while it read a job, or to which the job was handed over after that, kept it
// until it had ended and its lease had lapsed.
for (const when of ['before', 'after'])
  test(`a job that an owner gets ${when} its stop is handed over`, async t => {
    const {jobOwnership, owner, update} = await stoppingOwner();
    t.teardown(() => jobOwnership[Symbol.dispose]());
    if (when === 'before') jobOwnership.update(update);
    await jobOwnership.handOverAll();
    if (when === 'after') jobOwnership.update(update);
    await setTimeout(2 * LOAD_MS);
    t.is(await owner(), 'peer');
  });

// A job of a lost host rested for seconds: the host whose turn it was to claim
// it was shutting down.
test('no job waits for a host that is leaving to claim it', async t => {
  const options = {jobs: 8, loadMs: 200, others: LEAVING};
  const claims = await claimsWithin(TWO_SWEEPS_MS, true, options);
  t.deepEqual(claims, Array(options.jobs).fill('written'));
});

// In a roll of all hosts, three of five jobs that were handed over went to a
// host that was shutting down itself, and rested until its process had ended.
test('a job is handed over to a host that stays', async t => {
  const log = new RecordedEvents();
  const reader = {items: async () => success([])} as unknown as JobReader;
  const peers = [...LEAVING, {id: 'stays'}];
  const jobOwnership = ownershipWith(reader, {peers, log});
  const heads = [...'abcdefgh'].map(id => ({...OPEN, id}));
  for (const head of heads) jobOwnership.adoptAccepted({head, version: 1});
  await setTimeout(LOAD_MS);
  await jobOwnership.handOverAll();
  const handedOver = log.events.filter(({name}) => name === 'job-handed-over');
  t.deepEqual(
    handedOver.map(({to}) => to),
    heads.map(() => 'stays'),
  );
  t.is(jobOwnership.ownerForNewJob(), 'stays');
});

/** Returns one row per page, as a store whose pages are limited by size. */
class OneRowPageStore extends MemoryRowStore {
  override read(query: RowQuery) {
    return super.read({...query, limit: 1});
  }
}

// Guards against items that start from the beginning under a new owner: only
// the first page of their partial texts was read.
test('a new owner reads the partial texts of all items', async t => {
  const store = new OneRowPageStore(SYSTEM_CLOCK);
  const value = encodeJson({lastEventId: 1, texts: ['x']});
  const rows = [0, 2].map(i => jobRowRef(PARTIAL_TABLE, OPEN.id, i));
  const puts = rows.map(ref => ({...ref, value}));
  await store.transact({expect: [], puts, removes: []});
  const item = {path: '/', headers: {}, body: new Uint8Array(), tokens: 1};
  const items = ['a', 'b', 'c'].map(id => ({...item, id}));
  const reader = {
    items: async () => success(items),
    allResults: async () => success([]),
  } as unknown as JobReader;
  const jobOwnership = ownershipWith(reader, {store});
  t.teardown(() => jobOwnership[Symbol.dispose]());
  jobOwnership.update(updateOf({...OPEN, items: items.length}, 1));
  await setTimeout(LOAD_MS);
  const [job] = [...jobOwnership.jobs()];
  t.deepEqual(
    job?.work.map(({inheritedTexts}) => inheritedTexts),
    [1, 0, 1],
  );
});

// Guards against a store that is kept busy by hosts that all shut down: each
// passed a job on as soon as another one had passed it on to it.
test('a job is not passed on to a host that is leaving', async t => {
  const {jobOwnership, owner, update} = await stoppingOwner(LEAVING);
  t.teardown(() => jobOwnership[Symbol.dispose]());
  await jobOwnership.handOverAll();
  jobOwnership.update(update);
  await setTimeout(2 * LOAD_MS);
  t.is(await owner(), '');
});
