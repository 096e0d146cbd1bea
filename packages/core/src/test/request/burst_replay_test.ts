import test from 'ava';
import {
  ReturnTimes,
  patienceMs,
  waitingPlaces,
  type Random,
  type ServicePace,
  type WaitDemand,
} from '../../index.js';
import {
  playBursts,
  type BurstLoad,
  type BurstOutcome,
  type BurstPolicy,
} from '../fakes/burst_fleet.js';

const SEEDS = [1, 2, 3, 4, 5];
/** Eight hosts and three targets that are left of six: bursts of 65 requests a
 * second for 2.4 s in each 5.8 s, at 24 slots and runs of 0.65 s. */
const FEW_TARGETS: Omit<BurstLoad, 'seed'> = {
  hosts: 8,
  targets: 3,
  slots: 8,
  runMs: 650,
  firstByteMs: 80,
  goalMs: 300,
  patienceMs: 5000,
  burstRate: 65,
  calmRate: 13,
  periodMs: 5800,
  burstMs: 2400,
  lengthMs: 58_000,
};
/** Other runs, slots and objectives. */
const LONG_RUNS: Omit<BurstLoad, 'seed'> = {
  ...FEW_TARGETS,
  slots: 32,
  runMs: 4000,
  firstByteMs: 300,
  goalMs: 2000,
  patienceMs: 20_000,
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
  patienceMs: 2000,
  burstRate: 190,
  calmRate: 60,
};

/** What a request on time is worth; on its return, and late. */
const ON_RETURN = 0.57;
const LATE = 0.15;

function worthOf(outcome: BurstOutcome): number {
  const {requests, inTime, inTimeOnReturn, late} = outcome;
  return (inTime + ON_RETURN * inTimeOnReturn + LATE * late) / requests;
}

/** Three waiting ones of each eight slots, refused after a fifth of the objective
 * and back after 250 ms. */
const fixed = (slots: number) => (): BurstPolicy => ({
  waitingPlaces: () => Math.ceil(slots * 0.3),
  patienceMs: ({goalMs}) => goalMs * 0.2,
  returnAfterMs: () => 250,
});

const observed =
  ({slots, targets, hosts}: Omit<BurstLoad, 'seed'>) =>
  (random: Random): BurstPolicy => {
    const returns = new ReturnTimes(random);
    return {
      waitingPlaces: (demand: WaitDemand, pace?: ServicePace) =>
        waitingPlaces(slots, demand, pace),
      patienceMs,
      returnAfterMs: (now, latestMs, runMs) =>
        returns.refuse(now, {runMs, slots: slots * targets, hosts, latestMs}),
    };
  };

function meanWorth(
  load: Omit<BurstLoad, 'seed'>,
  policy: (random: Random) => BurstPolicy,
): number {
  const worths = SEEDS.map(seed =>
    worthOf(playBursts({...load, seed}, policy)),
  );
  return worths.reduce((sum, worth) => sum + worth, 0) / worths.length;
}

// Buyers get nothing while targets stand idle a second later: three of six targets
// are left, bursts are more than they can take, and who is turned away comes back
// after a quarter of a second, into the same burst, and not again.
test('callers come back when the burst is over', t => {
  const before = meanWorth(FEW_TARGETS, fixed(FEW_TARGETS.slots));
  const now = meanWorth(FEW_TARGETS, observed(FEW_TARGETS));
  t.log(`worth ${before.toFixed(3)}, ${now.toFixed(3)}`);
  t.true(now > before + 0.2);
});

// The same with runs of other lengths: what decides has to be observed.
test('the gain does not hang on one length of runs', t => {
  for (const load of [LONG_RUNS, SHORT_RUNS]) {
    const before = meanWorth(load, fixed(load.slots));
    const now = meanWorth(load, observed(load));
    t.log(`worth ${before.toFixed(3)}, ${now.toFixed(3)}`);
    t.true(now > before);
  }
});
