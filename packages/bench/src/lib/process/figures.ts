/** What one run of the policy bench measures. */
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';

const UNITS_PER_MS = 1000;

function emptyHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 120_000 * UNITS_PER_MS,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });
}

/** Durations, as HDR histogram. */
export class Durations {
  private readonly histogram = emptyHistogram();

  /** @param ms - One duration, in milliseconds. */
  record(ms: number): void {
    this.histogram.recordValue(Math.max(1, Math.round(ms * UNITS_PER_MS)));
  }

  /** How many were recorded. */
  get count(): number {
    return this.histogram.totalCount;
  }

  /**
   * @param percentile - From 0 to 100.
   * @returns Milliseconds.
   */
  at(percentile: number): number {
    return this.histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
  }
}

/** Percentiles that are reported. */
export const PERCENTILES = [50, 95, 99, 99.9] as const;

/** Counts and durations of one run. */
export class Figures {
  readonly firstToken = new Durations();
  readonly betweenTokens = new Durations();
  readonly yieldSteps = new Durations();
  readonly servedByCaller = new Map<string, number>();
  /** Requests of online callers, resends left out. */
  requests = 0;
  onlineDone = 0;
  /** Tokens of online requests that were answered in time. */
  goodTokens = 0;
  /** Online tokens generated, prompts left out. */
  onlineTokens = 0;
  onlinePrefilled = 0;
  refused = 0;
  failed = 0;
  retried = 0;
  resent = 0;
  late = 0;
  batchTokens = 0;
  batchItems = 0;
  preempted = 0;
  /** Steps between the order to stop and the stop, at most. */
  maxYieldSteps = 0;
  maxYieldMs = 0;
  /** Batch tokens computed again, because a stream was interrupted. */
  wastedTokens = 0;
  jobs = 0;
  lateJobs = 0;
  prefixTokens = 0;
  prefixHitTokens = 0;

  /**
   * @param caller - Who was answered.
   * @param tokens - Prompt and generated tokens.
   */
  served(caller: string, tokens: number): void {
    const sum = this.servedByCaller.get(caller) ?? 0;
    this.servedByCaller.set(caller, sum + tokens);
  }

  /** Jain's index of what callers were served: 1 is equal. */
  get fairness(): number {
    const served = [...this.servedByCaller.values()];
    if (served.length === 0) return 1;
    const sum = served.reduce((total, tokens) => total + tokens, 0);
    const squares = served.reduce((total, tokens) => total + tokens ** 2, 0);
    return sum ** 2 / (served.length * squares);
  }
}
