import test from 'ava';
import {
  ReturnSchedule,
  RetryScheduler,
  seededRandom,
  maxQueueWaitMs,
  maxQueueLength,
  type Random,
  type ServiceLatency,
  type WaitDemand,
} from '../../index.js';
import {
  simulateBursts,
  type BurstLoad,
  type BurstOutcome,
  type BurstPolicy,
} from '../fakes/burst_fleet.js';

const SEEDS = [1, 2, 3, 4, 5];
/**
 * Eight hosts and the three targets that are left of six: in each 5.8 s a burst
 * of 65 requests per second for 2.4 s, with 24 slots in total and runs of 0.65
 * s.
 */
const FEW_TARGETS: Omit<BurstLoad, 'seed'> = {
  hosts: 8,
  targets: 3,
  slots: 8,
  runMs: 650,
  firstByteMs: 80,
  goalMs: 300,
  callerTimeoutMs: 5000,
  burstRate: 65,
  calmRate: 13,
  periodMs: 5800,
  burstMs: 2400,
  lengthMs: 58_000,
};
/**
 * The same hosts and targets with other run durations, slots and latency
 * objectives.
 */
const LONG_RUNS: Omit<BurstLoad, 'seed'> = {
  ...FEW_TARGETS,
  slots: 32,
  runMs: 4000,
  firstByteMs: 300,
  goalMs: 2000,
  callerTimeoutMs: 20_000,
  burstRate: 40,
  calmRate: 8,
  periodMs: 15_000,
  burstMs: 5000,
  lengthMs: 150_000,
};
const SHORT_RUNS: Omit<BurstLoad, 'seed'> = {
  ...FEW_TARGETS,
  slots: 4,
  runMs: 60,
  firstByteMs: 60,
  goalMs: 200,
  callerTimeoutMs: 2000,
  burstRate: 190,
  calmRate: 60,
};

/**
 * A larger fleet with a coordinator. One account floods it on top of the rises
 * of all others.
 */
const FLOOD: Omit<BurstLoad, 'seed'> = {
  ...FEW_TARGETS,
  hosts: 13,
  targets: 12,
  burstRate: 240,
  calmRate: 50,
  periodMs: 6000,
  lengthMs: 60_000,
  coordinated: true,
};

/**
 * Value of an answer in time on a retry and of a late answer, relative to 1 for
 * an answer in time at the first attempt.
 */
const RETRY_VALUE = 0.57;
const LATE_VALUE = 0.15;

function valueOf(outcome: BurstOutcome): number {
  const {requests, inTime, inTimeOnRetry, late} = outcome;
  return (inTime + RETRY_VALUE * inTimeOnRetry + LATE_VALUE * late) / requests;
}

/**
 * Fixed limits: a queue of 30 % of the slots, rounded up (three for eight
 * slots); requests are refused after a fifth of the latency objective and
 * retried after 250 ms.
 */
const fixedPolicy = (slots: number) => (): BurstPolicy => ({
  maxQueueLength: () => Math.ceil(slots * 0.3),
  maxQueueWaitMs: ({goalMs}) => goalMs * 0.2,
  returnAfterMs: () => 250,
});

const adaptivePolicy =
  ({slots, targets, hosts}: Omit<BurstLoad, 'seed'>, waitsLate = false) =>
  (random: Random): BurstPolicy => {
    const retries = new RetryScheduler(random);
    return {
      waitsLate,
      maxQueueLength: (demand: WaitDemand, latency?: ServiceLatency) =>
        maxQueueLength(slots, demand, latency),
      maxQueueWaitMs: maxQueueWaitMs,
      returnAfterMs: (now, maxDelayMs, runMs) =>
        retries.scheduleRetry(now, {
          runMs,
          slots: slots * targets,
          hosts,
          maxDelayMs,
        }),
    };
  };

/** Counts of the promises of a schedule. */
interface Promises {
  made: number;
  taken: number;
  lapsed: number;
}

/**
 * The coordinator schedules the returns of all hosts. Its schedule is lost with
 * it in the middle of the load if `isLost` is set.
 */
function scheduledPolicy(load: Omit<BurstLoad, 'seed'>, isLost = false) {
  const promises: Promises = {made: 0, taken: 0, lapsed: 0};
  const newSchedule = () => new ReturnSchedule(seededRandom(1));
  const slots = load.slots * load.targets;
  const policyFor = () => {
    let schedule = newSchedule();
    let lossAt = isLost ? load.lengthMs / 2 : Infinity;
    const at = (now: number) => {
      if (now >= lossAt) {
        schedule = newSchedule();
        lossAt = Infinity;
      }
      promises.lapsed += schedule.takeLapsed();
      return schedule;
    };
    return (random: Random): BurstPolicy => ({
      ...adaptivePolicy(load, true)(random),
      returnAfterMs: (now, maxDelayMs, runMs) => {
        const request = {priority: 0, isOverShare: false, maxDelayMs};
        const room = {runMs, slots, share: 1};
        const {delayMs, isPromised} = at(now).schedule(now, request, room);
        if (isPromised) promises.made++;
        return delayMs;
      },
      due: now => at(now).due(now),
      take: now => {
        if (at(now).take(now)) promises.taken++;
      },
    });
  };
  return {promises, policyFor};
}

function meanValue(
  load: Omit<BurstLoad, 'seed'>,
  policy: (random: Random) => BurstPolicy,
): number {
  const values = SEEDS.map(seed =>
    valueOf(simulateBursts({...load, seed}, policy)),
  );
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

// Callers are refused although targets are idle a second later. Three of six
// targets are left, bursts exceed their capacity, and a refused caller retries
// once after 250 ms, which is still within the same burst.
test('refused callers retry after the burst is over', t => {
  const before = meanValue(FEW_TARGETS, fixedPolicy(FEW_TARGETS.slots));
  const now = meanValue(FEW_TARGETS, adaptivePolicy(FEW_TARGETS));
  t.log(`value: fixed ${before.toFixed(3)}, adaptive ${now.toFixed(3)}`);
  t.true(now > before + 0.2);
});

// The same with other run durations, which the policy must observe.
test('the gain does not depend on one run duration', t => {
  for (const load of [LONG_RUNS, SHORT_RUNS]) {
    const before = meanValue(load, fixedPolicy(load.slots));
    const now = meanValue(load, adaptivePolicy(load));
    t.log(`value: fixed ${before.toFixed(3)}, adaptive ${now.toFixed(3)}`);
    t.true(now > before);
  }
});

/** @returns The share of each outcome among the requests of all seeds. */
function sharesOf(
  load: Omit<BurstLoad, 'seed'>,
  policyFor: () => (random: Random) => BurstPolicy,
) {
  const outcomes = SEEDS.map(seed =>
    simulateBursts({...load, seed}, policyFor()),
  );
  const total = (key: keyof BurstOutcome) =>
    outcomes.reduce((sum, outcome) => sum + outcome[key], 0);
  const shareOf = (key: keyof BurstOutcome) => total(key) / total('requests');
  return {
    inTime: shareOf('inTime') + shareOf('inTimeOnRetry'),
    first: shareOf('inTime'),
    late: shareOf('late'),
    failed: shareOf('failed'),
  };
}

// Callers that came back are refused for good although targets are idle before
// their deadline. Guards also against late requests that take the slots of
// requests in time.
for (const [name, load] of Object.entries({FLOOD, FEW_TARGETS}))
  test(`requests that came back wait for free slots: ${name}`, t => {
    const before = sharesOf(load, () => adaptivePolicy(load));
    const now = sharesOf(load, () => adaptivePolicy(load, true));
    t.log('before', before, 'now', now);
    t.true(now.failed < before.failed * 0.75);
    t.true(now.inTime > before.inTime - 0.01);
  });

// Guards against an order of return that costs answers in time, and against
// callers for whom nothing is left when the coordinator loses its schedule.
for (const isLost of [false, true])
  test(`callers return in one order, coordinator lost: ${isLost}`, t => {
    const {promises, policyFor} = scheduledPolicy(FLOOD, isLost);
    const before = sharesOf(FLOOD, () => adaptivePolicy(FLOOD));
    const now = sharesOf(FLOOD, policyFor);
    t.log('before', before, 'now', now, promises);
    t.true(now.failed < before.failed * 0.75);
    t.true(now.inTime > before.inTime - 0.01);
    t.true(promises.taken > promises.made * 0.9);
  });

// Guards against slots that are kept for callers that never return, while
// others are refused.
test('promises that are not taken cost no answers in time', t => {
  const load = {...FLOOD, goneShare: 0.5};
  const {promises, policyFor} = scheduledPolicy(load);
  const before = sharesOf(load, () => adaptivePolicy(load, true));
  const now = sharesOf(load, policyFor);
  t.log('before', before, 'now', now, promises);
  t.true(promises.lapsed > promises.made * 0.1);
  t.true(now.inTime > before.inTime - 0.01);
});
