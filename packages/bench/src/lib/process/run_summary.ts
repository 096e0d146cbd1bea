/** One run of the policy bench as plain numbers, for tables and threads. */
import {ALONE, CAPS, EVERYTHING_AS_IT_COMES} from './policies.js';
import {HOLD_BACK, OATHEAD, WEIGHTS} from './policies.js';
import {fixedCap, weighted} from './policies.js';
import type {Policy} from './policies.js';
import {PERCENTILES} from './figures.js';
import type {Figures} from './figures.js';
import {idleBound, onlineMs} from './idle_bound.js';
import type {IdleBound} from './idle_bound.js';
import {allKnowing} from './all_knowing.js';
import {PolicyRun} from './policy_run.js';
import {buildTrace} from './traces.js';
import type {Trace, TraceKey} from './traces.js';
import {DEFAULT_ENGINE_OPTIONS} from '@oathead/stand-ins';

/** What is to be run. */
export interface RunOrder {
  readonly trace: TraceKey;
  readonly policy: string;
  readonly seed: number;
}

/** What one run measured. Durations are in milliseconds. */
export interface RunSummary extends RunOrder {
  readonly bound: IdleBound;
  readonly maxHarm: number;
  readonly durationMs: number;
  readonly firstTokenMs: readonly number[];
  readonly betweenTokensMs: readonly number[];
  readonly requests: number;
  readonly onlineDone: number;
  readonly refused: number;
  readonly failed: number;
  readonly retried: number;
  readonly resent: number;
  readonly late: number;
  /** Share of the engines' capacity that answers in time took. */
  readonly goodput: number;
  readonly batchTokens: number;
  readonly batchItems: number;
  readonly preempted: number;
  readonly wastedTokens: number;
  readonly maxYieldSteps: number;
  readonly maxYieldMs: number;
  readonly jobs: number;
  readonly lateJobs: number;
  readonly fairness: number;
  /** Least that a caller was served, as a share of a fair part. */
  readonly leastShare: number;
  /** Share of the shared prompt beginnings that were found in a cache. */
  readonly prefixHits: number;
}

/** Policies that run on every trace. */
export const POLICIES: readonly Policy[] = [
  ALONE,
  OATHEAD,
  HOLD_BACK,
  EVERYTHING_AS_IT_COMES,
  ...CAPS.map(fixedCap),
];

/** The trace for which the frontier over the weights is shown. */
export const WEIGHED_TRACE: TraceKey = 'a';

/** Policies that run on that trace besides. */
export const WEIGHTED_POLICIES: readonly Policy[] = WEIGHTS.map(weighted);

const ALL_POLICIES = [...POLICIES, ...WEIGHTED_POLICIES];

/** Online work alone, each request sent where its prefix is cached. */
export const ALL_KNOWING = 'all-knowing';

/**
 * @param order - What to run.
 * @returns What it measured.
 */
export function runPolicy(order: RunOrder): RunSummary {
  const {trace: key, policy: name, seed} = order;
  const trace = buildTrace(key, seed);
  const knowing = name === ALL_KNOWING;
  const policy = ALL_POLICIES.find(one => one.name === name) ?? ALONE;
  const router = knowing ? allKnowing : undefined;
  const figures = new PolicyRun(trace, policy, seed, router).run();
  return summarise(order, trace, figures);
}

function summarise(
  order: RunOrder,
  trace: Trace,
  figures: Figures,
): RunSummary {
  const {firstToken, betweenTokens} = figures;
  const bound = idleBound(trace, figures);
  return {
    ...order,
    bound,
    maxHarm: trace.pool.batch.maxHarm,
    durationMs: trace.durationMs,
    firstTokenMs: PERCENTILES.map(p => firstToken.at(p)),
    betweenTokensMs: PERCENTILES.map(p => betweenTokens.at(p)),
    requests: figures.requests,
    onlineDone: figures.onlineDone,
    refused: figures.refused,
    failed: figures.failed,
    retried: figures.retried,
    resent: figures.resent,
    late: figures.late,
    goodput: goodput(trace, figures),
    batchTokens: figures.batchTokens,
    batchItems: figures.batchItems,
    preempted: figures.preempted,
    wastedTokens: figures.wastedTokens,
    maxYieldSteps: figures.maxYieldSteps,
    maxYieldMs: figures.maxYieldMs,
    jobs: figures.jobs,
    lateJobs: figures.lateJobs,
    fairness: figures.fairness,
    leastShare: leastShare(trace, figures),
    prefixHits: figures.prefixHitTokens / Math.max(1, figures.prefixTokens),
  };
}

/** Time that answers in time took of full engines, as a share of the time. */
function goodput(trace: Trace, figures: Figures): number {
  const options = {...DEFAULT_ENGINE_OPTIONS, ...trace.engine};
  const share = onlineMs(options, figures);
  const good = figures.goodTokens / Math.max(1, figures.onlineTokens);
  return (share * good) / (trace.targets * trace.durationMs);
}

/**
 * A fair part is what max-min fairness gives of all that was served: equal
 * parts, where one that asks for less leaves the rest to the others.
 */
function leastShare(trace: Trace, figures: Figures): number {
  const asked = new Map<string, number>();
  for (const {caller, promptTokens, outputTokens} of trace.arrivals) {
    const sum = asked.get(caller) ?? 0;
    asked.set(caller, sum + promptTokens + outputTokens);
  }
  const byNeed = [...asked].sort((a, b) => a[1] - b[1]);
  let left = [...figures.servedByCaller.values()].reduce((a, b) => a + b, 0);
  let least = Number.POSITIVE_INFINITY;
  for (const [at, [caller, wanted]] of byNeed.entries()) {
    const fair = Math.min(wanted, left / (byNeed.length - at));
    left -= fair;
    const served = figures.servedByCaller.get(caller) ?? 0;
    least = Math.min(least, served / fair);
  }
  return least;
}
