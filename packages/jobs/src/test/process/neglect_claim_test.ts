import test from 'ava';
import type {ItemCandidate} from '../../lib/process/item_candidate.js';
import {newItemWork, type ItemWork} from '../../lib/process/item_work.js';
import {
  jobNeglectedMs,
  NeglectClaim,
  type NeglectedJob,
} from '../../lib/process/neglect_claim.js';

const RUNNING = {kind: 'running', targetId: 't'} as ItemWork['stage'];
const WAITING: ItemWork['stage'] = {kind: 'waiting', notBefore: 0};

function newWork(index: number): ItemWork {
  const item = {id: `${index}`, path: '/', headers: {}, body: '', tokens: 1};
  return newItemWork(index, item as never, 0, undefined);
}

/** A job that its host has had since a time. */
function newJob(adoptedAtMs: number, items = 2): NeglectedJob {
  return {adoptedAtMs, work: [...Array(items).keys()].map(newWork)};
}

function candidatesOf(...jobs: readonly NeglectedJob[]): ItemCandidate[] {
  return jobs.flatMap(job =>
    job.work.map(work => ({job, work}) as unknown as ItemCandidate),
  );
}

/** A run of an item, which its host ends. */
function addRun(work: ItemWork, sentAtMs: number, endedAtMs: number): void {
  work.timeline.add({
    sentAtMs,
    firstEventAtMs: endedAtMs,
    endedAtMs,
    isComplete: false,
    isAborted: true,
  });
}

// Guards against items that wait until their retention ends while targets have
// free slots that only urgent items get.
test('a job that no target has worked on for three seconds has the claim', t => {
  const claim = new NeglectClaim();
  const candidates = candidatesOf(newJob(0));
  t.is(claim.next(candidates, 2990), undefined);
  t.is(claim.next(candidates, 3000), candidates[0]);
});

test('runs that are ended within a second are no work on a job', t => {
  const job = newJob(0);
  addRun(job.work[0]!, 1000, 1900);
  t.is(jobNeglectedMs(job, 4000), 4000);
  addRun(job.work[1]!, 1000, 2100);
  t.is(jobNeglectedMs(job, 4000), 1900);
});

// Guards against hosts that fill the slots that are left free for bursts of
// online requests as soon as a job is long.
test('a job of which an item is running has no claim', t => {
  const job = newJob(0, 100);
  job.work[99]!.stage = RUNNING;
  t.is(new NeglectClaim().next(candidatesOf(job), 60_000), undefined);
});

test('one item of a host has the claim at a time', t => {
  const claim = new NeglectClaim();
  const [first, second] = [newJob(0), newJob(1000)];
  const {work} = claim.next(candidatesOf(first, second), 5000)!;
  t.is(work, first.work[0]!);
  claim.take(work);
  work.stage = RUNNING;
  t.is(claim.next(candidatesOf(second), 5000), undefined);
  work.stage = WAITING;
  t.is(claim.next(candidatesOf(second), 5000)?.work, second.work[0]!);
});

// Guards against a job that is preempted each time and starved by shorter ones.
test('the job that has been neglected longest has the claim', t => {
  const [young, old] = [newJob(2000), newJob(1000)];
  const next = new NeglectClaim().next(candidatesOf(young, old), 9000);
  t.is(next?.work, old.work[0]!);
});
