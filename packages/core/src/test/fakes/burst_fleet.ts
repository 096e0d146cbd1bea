/**
 * Plays callers, hosts and targets in virtual time: bursts beyond what the targets
 * can take, callers that come back once when they are told to. Hosts know the
 * loads of all targets as they were a moment ago.
 */
import {
  PaceLearner,
  seededRandom,
  type Random,
  type ServicePace,
  type WaitDemand,
} from '../../index.js';

/** The load that is played. */
export interface BurstLoad {
  readonly seed: number;
  readonly hosts: number;
  readonly targets: number;
  readonly slots: number;
  /** A run at a free slot, in milliseconds. */
  readonly runMs: number;
  readonly firstByteMs: number;
  readonly goalMs: number;
  /** How long callers wait, in milliseconds. */
  readonly patienceMs: number;
  /** Arrivals a second in a burst and between bursts. */
  readonly burstRate: number;
  readonly calmRate: number;
  /** A burst each so many milliseconds, for so long. */
  readonly periodMs: number;
  readonly burstMs: number;
  readonly lengthMs: number;
}

/** What is decided; one for each host. */
export interface BurstPolicy {
  waitingPlaces(demand: WaitDemand, pace: ServicePace | undefined): number;
  patienceMs(demand: WaitDemand): number;
  returnAfterMs(now: number, latestMs: number, runMs?: number): number;
}

/** What came of the requests. */
export interface BurstOutcome {
  requests: number;
  inTime: number;
  inTimeOnReturn: number;
  late: number;
  failed: number;
}

interface Caller {
  readonly arrivedAt: number;
  readonly returning: boolean;
  /** When this try came. */
  readonly cameAt: number;
  readonly host: number;
}

interface Run {
  readonly caller: Caller;
  readonly runMs: number;
  startsAt: number;
}

const STEP_MS = 5;
const LOADS_AGE_MS = 60;
const LATEST_RETURN_SHARE = 1 / 3;
const SPREAD = 0.25;

/** Plays one load with one policy. */
export function playBursts(
  load: BurstLoad,
  policyOf: (random: Random) => BurstPolicy,
): BurstOutcome {
  const random = seededRandom(load.seed);
  const policies = [...Array(load.hosts).keys()].map(() => policyOf(random));
  const learners = policies.map(() => new PaceLearner());
  const running: Run[][] = [...Array(load.targets).keys()].map(() => []);
  const outcome: BurstOutcome = {
    requests: 0,
    inTime: 0,
    inTimeOnReturn: 0,
    late: 0,
    failed: 0,
  };
  /** Runs by target and host, as they were when loads were told last. */
  let told: ReadonlyArray<readonly number[]> = running.map(() => []);
  let waiting: Caller[] = [];
  let returning: Caller[] = [];

  const demandOf = ({returning}: Caller): WaitDemand => ({
    goalMs: load.goalMs,
    priority: 0,
    returning,
  });
  const place = (caller: Caller, now: number): boolean => {
    const pace = learners[caller.host]!.pace;
    const demand = demandOf(caller);
    const room =
      load.slots + policies[caller.host]!.waitingPlaces(demand, pace);
    // Half a request of chance, as hosts choose among equal targets.
    const scores = running.map(
      (runs, i) => loadSeenBy(caller.host, i, runs) + random.float() / 2,
    );
    const least = Math.min(...scores);
    if (Math.floor(least) >= room) return false;
    const runs = running[scores.indexOf(least)]!;
    const runMs = load.runMs * (1 + SPREAD * (2 * random.float() - 1));
    const ends = runs
      .map(run => run.startsAt + run.runMs)
      .sort((a, b) => a - b);
    const free = ends[ends.length - load.slots] ?? now;
    const startsAt = Math.max(now, free);
    runs.push({caller, runMs, startsAt});
    if (startsAt === now)
      learners[caller.host]!.add({firstByteMs: load.firstByteMs, runMs});
    settle(caller, startsAt + load.firstByteMs);
    return true;
  };
  const countOf = (runs: readonly Run[], host: number) =>
    runs.filter(run => run.caller.host === host).length;
  const loadSeenBy = (host: number, target: number, runs: readonly Run[]) => {
    const others = (told[target] ?? []).filter((count, i) => i !== host);
    return others.reduce((sum, count) => sum + count, countOf(runs, host));
  };
  const settle = (caller: Caller, firstByteAt: number) => {
    if (firstByteAt - caller.cameAt > load.goalMs) outcome.late++;
    else if (caller.returning) outcome.inTimeOnReturn++;
    else outcome.inTime++;
  };
  const refuse = (caller: Caller, now: number) => {
    if (caller.returning) {
      outcome.failed++;
      return;
    }
    const leftMs = load.patienceMs - (now - caller.arrivedAt);
    const {runMs} = learners[caller.host]!.pace ?? {};
    const inMs = policies[caller.host]!.returnAfterMs(
      now,
      leftMs * LATEST_RETURN_SHARE,
      runMs,
    );
    const host = random.int(load.hosts);
    returning.push({...caller, returning: true, cameAt: now + inMs, host});
  };

  for (let now = 0; now < load.lengthMs; now += STEP_MS) {
    for (const runs of running) {
      const left = runs.filter(run => run.startsAt + run.runMs > now);
      runs.splice(0, runs.length, ...left);
    }
    if (now % LOADS_AGE_MS === 0)
      told = running.map(runs => policies.map((policy, i) => countOf(runs, i)));
    const rate =
      now % load.periodMs < load.burstMs ? load.burstRate : load.calmRate;
    if (random.float() < (rate * STEP_MS) / 1000) {
      outcome.requests++;
      const host = random.int(load.hosts);
      waiting.push({arrivedAt: now, returning: false, cameAt: now, host});
    }
    waiting.push(...returning.filter(({cameAt}) => cameAt <= now));
    returning = returning.filter(({cameAt}) => cameAt > now);
    waiting = waiting.filter(caller => {
      if (place(caller, now)) return false;
      const policy = policies[caller.host]!;
      const refuseAt = caller.cameAt + policy.patienceMs(demandOf(caller));
      if (now < refuseAt) return true;
      refuse(caller, now);
      return false;
    });
  }
  return outcome;
}
