import test from 'ava';
import type {Evidence} from '../../lib/process/evidence.js';
import {JOB_PROMISES} from '../../lib/process/job_promises.js';
import {Disturbances} from '../../lib/process/disturbances.js';

const PROMISE = 'an accepted job is not left lying';
const LAST_PROMISE = 'no open job is left by all at the end';
const SLOTS = 6;
const ACCEPTED_AT = 1000;
const ENDED_AT = 60_000;
/** Users look at the 5 s up to 18 s after this: 37 s to 42 s. */
const LOAD_ENDED_AT = 24_000;
const RUN = {
  id: 'j1-0',
  path: '/files/j1/0',
  at: 2000,
  endedAt: 3000,
  left: false,
  status: 200,
};
const JOB = {
  id: 'j1',
  items: 1,
  sentAt: ACCEPTED_AT,
  acceptedAt: ACCEPTED_AT,
  results: [{id: 'j1-0', state: 'succeeded', text: ''}],
  listedAt: [30_000],
};
const NOT_LISTED = {results: [], listedAt: []};

function flaws(run: object, job: object, promise = PROMISE): readonly string[] {
  const ran = [{...RUN, ...run}];
  const evidence = {
    fleet: {
      slots: SLOTS,
      disturbances: new Disturbances(),
      servers: [{service: 'llm'}],
      incarnations: [{id: 'llm-1', service: 'llm', server: {ran}}],
    },
    jobs: [{...JOB, ...job}],
    loadEndedAt: LOAD_ENDED_AT,
    endedAt: ENDED_AT,
  };
  return JOB_PROMISES[promise]!(evidence as unknown as Evidence);
}

/** Whether a job was left lying, by its run and what its caller saw. */
const SEEN = [
  [false, 'it ran and was read later', {}, {}],
  [false, 'it ran in time', {at: 10_900, endedAt: 11_500}, {}],
  [true, 'it ran too late', {at: 11_100, endedAt: 11_500}, {}],
  [true, 'it has not run to its end', {endedAt: 3000, left: true}, NOT_LISTED],
  [false, 'it runs still', {endedAt: undefined}, NOT_LISTED],
  [false, 'it was not accepted', {}, {...NOT_LISTED, acceptedAt: undefined}],
  [false, 'its end was asked for', {}, {...NOT_LISTED, endAskedAt: 12_000}],
  [
    false,
    'a target has failed it',
    {status: 500, at: 30_000, endedAt: 30_000},
    {...NOT_LISTED, acceptedAt: 25_000, endAskedAt: 50_500},
  ],
] as const;

// Users lose a job that was accepted: nobody works on it, though nothing is wrong.
for (const [isLeft, why, run, job] of SEEN) {
  test(`the soak sees whether a job is left lying: ${why}`, t => {
    t.is(flaws(run, job).length, isLeft ? 1 : 0);
  });
}

/** Whether a job was left at the end, by its run and what its caller saw. */
const SEEN_AT_THE_END = [
  [true, 'it ran long before', {}, NOT_LISTED],
  [
    true,
    'its run was taken back',
    {at: 40_000, endedAt: 40_900, left: true},
    NOT_LISTED,
  ],
  [
    false,
    'it ran for a second',
    {at: 40_000, endedAt: 41_000, left: true},
    NOT_LISTED,
  ],
  [false, 'it has a result', {}, {}],
  [false, 'its end was asked for', {}, {...NOT_LISTED, endAskedAt: 36_000}],
] as const;

// Users find items of open jobs at the end that no target works on.
for (const [isLeft, why, run, job] of SEEN_AT_THE_END) {
  test(`the soak sees whether a job is left at the end: ${why}`, t => {
    t.is(flaws(run, job, LAST_PROMISE).length, isLeft ? 1 : 0);
  });
}

test('a job may lie while a fault is in force', async t => {
  const disturbances = new Disturbances();
  const {promise, undo} = fault();
  const during = disturbances.during(promise);
  t.deepEqual(
    disturbances.calmUntil(Infinity).map(({from}) => from),
    [0],
  );
  undo();
  await during;
  t.is(disturbances.calmUntil(Infinity).at(-1)!.to, Infinity);
});

function fault(): {readonly promise: Promise<void>; readonly undo: () => void} {
  let undo = () => {};
  const promise = new Promise<void>(resolve => (undo = resolve));
  return {promise, undo};
}
