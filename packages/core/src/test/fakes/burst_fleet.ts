/**
 * Simulates callers, hosts and targets in virtual time: bursts beyond the
 * capacity of the targets, and callers that retry once, at the time given by
 * the refusal. Hosts know the loads of all targets as of the last load report.
 */
import {
  ServiceLatencyEstimator,
  expectedRunMs,
  isServiceFull,
  lateSlotIntervalMs,
  latestStart,
  orderLate,
  seededRandom,
  type LateRequest,
  type Random,
  type ServiceLatency,
  type WaitDemand,
} from '../../index.js';

/** Parameters of the simulated load. */
export interface BurstLoad {
  readonly seed: number;
  readonly hosts: number;
  readonly targets: number;
  readonly slots: number;
  /** Mean duration of a run, in milliseconds. */
  readonly runMs: number;
  readonly firstByteMs: number;
  readonly goalMs: number;
  /** Time after which a caller gives up, in milliseconds. */
  readonly callerTimeoutMs: number;
  /** Arrivals per second, in a burst and between bursts. */
  readonly burstRate: number;
  readonly calmRate: number;
  /**
   * Interval between the starts of bursts and length of a burst, in
   * milliseconds.
   */
  readonly periodMs: number;
  readonly burstMs: number;
  readonly lengthMs: number;
  /**
   * Whether starts of other hosts are known at once, as a coordinator does.
   */
  readonly coordinated?: boolean;
  /** Share of the callers that do not come back when they are told. */
  readonly goneShare?: number;
  /** How unevenly callers are spread over the hosts; 1 is evenly. */
  readonly hostSkew?: number;
}

/** Policy under test; each host has its own instance. */
export interface BurstPolicy {
  maxQueueLength(
    demand: WaitDemand,
    latency: ServiceLatency | undefined,
  ): number;
  maxQueueWaitMs(demand: WaitDemand): number;
  returnAfterMs(now: number, maxDelayMs: number, runMs?: number): number;
  /** Whether callers that came back wait for a slot that nobody needs. */
  readonly waitsLate?: boolean;
  /** Promised returns that have not come; their room is kept from others. */
  due?(now: number): number;
  /** Called when a caller that came back got a slot. */
  take?(now: number): void;
}

/** Number of requests by outcome. */
export interface BurstOutcome {
  requests: number;
  inTime: number;
  inTimeOnRetry: number;
  late: number;
  failed: number;
}

interface Caller {
  readonly arrivedAt: number;
  readonly returning: boolean;
  /** Time at which the current attempt arrived, in milliseconds. */
  readonly attemptedAt: number;
  readonly host: number;
}

interface LateCaller extends LateRequest {
  readonly caller: Caller;
}

interface Run {
  readonly caller: Caller;
  readonly runMs: number;
  startsAt: number;
}

const STEP_MS = 5;
const REPORT_INTERVAL_MS = 60;
const MAX_RETRY_DELAY_FRACTION = 1 / 3;
const RUN_SPREAD = 0.25;

/**
 * Simulates one load with one policy.
 *
 * @param load - Parameters of the load.
 * @param policyOf - Creates the policy of one host.
 * @returns The number of requests by outcome.
 */
export function simulateBursts(
  load: BurstLoad,
  policyOf: (random: Random) => BurstPolicy,
): BurstOutcome {
  const random = seededRandom(load.seed);
  // Of its own, so that all policies of a seed get the same arrivals.
  const arrivals = seededRandom(load.seed + 1_000_000);
  const policies = [...Array(load.hosts).keys()].map(() => policyOf(random));
  const latencyEstimators = policies.map(() => new ServiceLatencyEstimator());
  const running: Run[][] = [...Array(load.targets).keys()].map(() => []);
  const outcome: BurstOutcome = {
    requests: 0,
    inTime: 0,
    inTimeOnRetry: 0,
    late: 0,
    failed: 0,
  };
  /** Number of runs by target and host, as of the last load report. */
  let reportedRuns: ReadonlyArray<readonly number[]> = running.map(() => []);
  /** Number of runs by target that ended after the last load report. */
  let endedRuns = running.map(() => 0);
  let waiting: Caller[] = [];
  let returning: Caller[] = [];
  const lateQueues = policies.map((): readonly LateCaller[] => []);
  const lastRefusals = policies.map(() => -Infinity);
  const nextLateStart = policies.map(() => 0);

  const pickHost = (source: Random) =>
    Math.floor(source.float() ** (load.hostSkew ?? 1) * load.hosts);
  const demandOf = ({returning}: Caller): WaitDemand => ({
    goalMs: load.goalMs,
    priority: 0,
    returning,
  });
  const tryStart = (caller: Caller, now: number, late = false): boolean => {
    const latency = latencyEstimators[caller.host]!.latency;
    const demand = {...demandOf(caller), late};
    const capacity =
      load.slots + policies[caller.host]!.maxQueueLength(demand, latency);
    // Up to half a request of jitter, as hosts select among equal targets.
    const scores = running.map(
      (runs, i) => loadSeenBy(caller.host, i, runs) + random.float() / 2,
    );
    const lowestScore = Math.min(...scores);
    if (Math.floor(lowestScore) >= capacity) return false;
    const due = policies[caller.host]!.due?.(now) ?? 0;
    if (due > 0 && (late || !caller.returning)) {
      const rooms = scores.map(score => capacity - Math.floor(score));
      const room = rooms.reduce((sum, one) => sum + Math.max(0, one), 0);
      if (room <= due) return false;
    }
    if (caller.returning) policies[caller.host]!.take?.(now);
    const runs = running[scores.indexOf(lowestScore)]!;
    const runMs = load.runMs * (1 + RUN_SPREAD * (2 * random.float() - 1));
    const ends = runs
      .map(run => run.startsAt + run.runMs)
      .sort((a, b) => a - b);
    const freeAt = ends[ends.length - load.slots] ?? now;
    const startsAt = Math.max(now, freeAt);
    runs.push({caller, runMs, startsAt});
    if (startsAt === now)
      latencyEstimators[caller.host]!.add({
        firstByteMs: load.firstByteMs,
        runMs,
      });
    recordAnswer(caller, startsAt + load.firstByteMs);
    return true;
  };
  const countOf = (runs: readonly Run[], host: number) =>
    runs.filter(run => run.caller.host === host).length;
  const loadSeenBy = (host: number, target: number, runs: readonly Run[]) => {
    if (load.coordinated) return runs.length + endedRuns[target]!;
    const others = (reportedRuns[target] ?? []).filter(
      (count, i) => i !== host,
    );
    return others.reduce((sum, count) => sum + count, countOf(runs, host));
  };
  const recordAnswer = (caller: Caller, firstByteAt: number) => {
    if (firstByteAt - caller.attemptedAt > load.goalMs) outcome.late++;
    else if (caller.returning) outcome.inTimeOnRetry++;
    else outcome.inTime++;
  };
  const runMsAt = (host: number) =>
    expectedRunMs(latencyEstimators[host]!.latency, load.goalMs);
  const waitLate = (caller: Caller, now: number) => {
    const {arrivedAt, host} = caller;
    const deadlineAt = arrivedAt + load.callerTimeoutMs;
    const startBy = latestStart(now, deadlineAt, runMsAt(host));
    lateQueues[host] = [...lateQueues[host]!, {caller, priority: 0, startBy}];
  };
  const serveLate = (host: number, now: number) => {
    const slots = load.slots * load.targets;
    const room = {runMs: runMsAt(host), slots, hosts: load.hosts};
    const {waiting, refused} = orderLate(lateQueues[host]!, room, now);
    lateQueues[host] = waiting;
    outcome.failed += refused.length;
    const [first] = waiting;
    const fullAt = lastRefusals[load.coordinated ? 0 : host]!;
    if (isServiceFull(fullAt, room.runMs, now, !load.coordinated)) return;
    if (!first || now < nextLateStart[host]!) return;
    if (!tryStart(first.caller, now, true)) return;
    nextLateStart[host] = now + lateSlotIntervalMs(room);
    lateQueues[host] = waiting.slice(1);
  };
  const refuse = (caller: Caller, now: number) => {
    lastRefusals[load.coordinated ? 0 : caller.host] = now;
    if (caller.returning) {
      if (policies[caller.host]!.waitsLate) waitLate(caller, now);
      else outcome.failed++;
      return;
    }
    const leftMs = load.callerTimeoutMs - (now - caller.arrivedAt);
    const {runMs} = latencyEstimators[caller.host]!.latency ?? {};
    const delayMs = policies[caller.host]!.returnAfterMs(
      now,
      leftMs * MAX_RETRY_DELAY_FRACTION,
      runMs,
    );
    const host = pickHost(random);
    if (load.goneShare && random.float() < load.goneShare) {
      outcome.failed++;
      return;
    }
    returning.push({
      ...caller,
      returning: true,
      attemptedAt: now + delayMs,
      host,
    });
  };

  for (let now = 0; now < load.lengthMs; now += STEP_MS) {
    for (const [target, runs] of running.entries()) {
      const left = runs.filter(run => run.startsAt + run.runMs > now);
      endedRuns[target]! += runs.length - left.length;
      runs.splice(0, runs.length, ...left);
    }
    if (now % REPORT_INTERVAL_MS === 0) {
      endedRuns = running.map(() => 0);
      reportedRuns = running.map(runs =>
        policies.map((policy, i) => countOf(runs, i)),
      );
    }
    const rate =
      now % load.periodMs < load.burstMs ? load.burstRate : load.calmRate;
    for (let expected = (rate * STEP_MS) / 1000; expected > 0; expected--) {
      if (arrivals.float() >= expected) continue;
      outcome.requests++;
      const host = pickHost(arrivals);
      waiting.push({arrivedAt: now, returning: false, attemptedAt: now, host});
    }
    waiting.push(...returning.filter(({attemptedAt}) => attemptedAt <= now));
    returning = returning.filter(({attemptedAt}) => attemptedAt > now);
    waiting = waiting.filter(caller => {
      if (tryStart(caller, now)) return false;
      const policy = policies[caller.host]!;
      const refuseAt =
        caller.attemptedAt + policy.maxQueueWaitMs(demandOf(caller));
      if (now < refuseAt) return true;
      refuse(caller, now);
      return false;
    });
    for (const host of policies.keys()) serveLate(host, now);
  }
  return outcome;
}
