import {seededRandom, SYSTEM_CLOCK} from '@oathead/core';
import {MemoryRowStore} from '@oathead/stores';
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
