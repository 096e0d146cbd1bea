import {failure, seededRandom, SYSTEM_CLOCK, type Clock} from '@oathead/core';
import {MemoryRowStore, type RowTransaction} from '@oathead/stores';
import test from 'ava';
import {JobIntake} from '../../lib/request/job_intake.js';
import {RecordedEvents} from '../fakes/recorded_events.js';

const LIMITS = {
  rowBytes: 1024,
  transactionBytes: 4096,
  objectBytes: 4096,
  acrossPartitions: true,
};
const SUBMISSION = {
  id: 'j',
  account: undefined,
  hostName: 'h',
  items: [],
  completionGoalMs: 1,
  retentionMs: 1,
  maxAttempts: 1,
};

// Jobs were accepted after their latency objective, and only the log of their
// caller showed it.
test('the time to accept or refuse a job is recorded by outcome', async t => {
  const recorded = new RecordedEvents();
  let silentMs = 0;
  const intake = new JobIntake({
    store: new MemoryRowStore(SYSTEM_CLOCK),
    limits: LIMITS,
    clock: SYSTEM_CLOCK,
    random: seededRandom(1),
    log: recorded,
    latencies: recorded,
    owner: () => 'me',
    sinceAnswerMs: () => silentMs,
  });
  t.is((await intake.accept(SUBMISSION)).kind, 'accepted');
  silentMs = Infinity;
  t.is((await intake.accept(SUBMISSION)).kind, 'refused');
  t.is(recorded.latencies['job_intake accepted']?.length, 1);
  t.is(recorded.latencies['job_intake refused']?.length, 1);
  const handedIn = recorded.events.filter(({name}) => name === 'job-handed-in');
  t.deepEqual(
    handedIn.map(({outcome}) => outcome),
    ['accepted', 'refused'],
  );
});

/** A store that applies writes and loses the responses to some of them. */
class LossyStore extends MemoryRowStore {
  lost = 0;

  constructor() {
    super(SYSTEM_CLOCK);
  }

  override async transact(transaction: RowTransaction) {
    const done = await super.transact(transaction);
    if (this.lost === 0) return done;
    this.lost--;
    return failure({kind: 'unknown', message: 'lost'} as const);
  }
}

/** Ends waits at once. */
const IMMEDIATE_CLOCK: Clock = {
  ...SYSTEM_CLOCK,
  after: (ms, callback) => {
    queueMicrotask(callback);
    return {[Symbol.dispose]: () => {}};
  },
};

function intakeOf(
  owner: string,
  store: MemoryRowStore,
  seed: number,
): JobIntake {
  const recorded = new RecordedEvents();
  return new JobIntake({
    store,
    limits: LIMITS,
    clock: IMMEDIATE_CLOCK,
    random: seededRandom(seed),
    log: recorded,
    latencies: recorded,
    owner: () => owner,
    sinceAnswerMs: () => 0,
  });
}

const ITEM = {
  id: 'i',
  path: '/',
  headers: {},
  body: new Uint8Array(),
  tokens: 1,
};
const WITH_ITEM = {...SUBMISSION, items: [ITEM]};

// An accepted job was never run: the response to its first write was lost, the
// second attempt conflicted with the first one, and its owner, this host, relied
// on its feed to tell it of the job.
test('a job whose response was lost is known to its owner when it is accepted', async t => {
  const store = new LossyStore();
  store.lost = 1;
  const accepted = await intakeOf('me', store, 1).accept(WITH_ITEM);
  t.like(accepted, {
    kind: 'accepted',
    written: {head: {id: 'j', owner: 'me'}, version: 1},
  });
});

// Guards against the same if the caller submits the job again, here or at
// another host, after no attempt got a response.
for (const host of ['me', 'another'])
  test(`a job that is submitted again at ${host} is known there`, async t => {
    const store = new LossyStore();
    store.lost = 4;
    const first = await intakeOf('me', store, 1).accept(WITH_ITEM);
    t.is(first.kind, 'unknown');
    const again = await intakeOf(host, store, 2).accept(WITH_ITEM);
    t.like(again, {
      kind: 'accepted',
      written: undefined,
      found: {head: {id: 'j', owner: 'me'}, version: 1},
    });
  });
