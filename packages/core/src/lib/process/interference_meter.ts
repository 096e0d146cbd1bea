/**
 * Measures the interference of batch work with the tail latency of online work
 * while both run. For each step it records the actual duration and the
 * estimated duration without the batch streams. The quantiles of the latter are
 * the baseline of online requests; the controller keeps the actual latency
 * within a configured ratio of it.
 */
import {BaselineQueue} from './baseline_queue.js';
import type {BaselineDemand} from './baseline_queue.js';
import {RecentQuantiles} from './recent_quantiles.js';

const TAIL_QUANTILE = 0.99;
/**
 * The quantiles that the most conservative policy protects: p50, p95 and p99,
 * with more of them around and above the p95. A step that crosses one quantile
 * because of a prediction error may grow up to the next, so these lie close
 * together.
 */
const GUARDED_QUANTILES = [
  0.5,
  0.9,
  0.93,
  0.95,
  0.96,
  0.97,
  0.98,
  TAIL_QUANTILE,
];
/** Number of samples per histogram of the time between tokens, in tokens. */
const TOKEN_WINDOW = 200_000;
const TOKEN_REFRESH = 500;
/** Number of samples per histogram of the time to first token, in requests. */
const FIRST_TOKEN_WINDOW = 4_000;
const FIRST_TOKEN_REFRESH = 5;
/**
 * Share of the tokens beyond the tail quantile that the error budget grants.
 * The rest is a reserve for prediction errors.
 */
const ERROR_BUDGET_SHARE = 0.8;
/** Bound of the error budget in either direction, in late online tokens. */
const MAX_ERROR_BUDGET_TOKENS = 200;

/** A measured step of the engine. */
export interface MeasuredStep {
  /** Actual duration, in milliseconds. */
  readonly durationMs: number;
  /** Estimated duration without batch work, in milliseconds. */
  readonly baselineMs: number;
  /** Number of online streams that got a token in the step. */
  readonly onlineTokens: number;
  /** The longest acceptable step, in milliseconds. */
  readonly limitMs: number;
}

/**
 * Cumulative duration of steps with online streams, actual and without batch
 * work, in milliseconds.
 */
interface StepTime {
  readonly actualMs: number;
  readonly baselineMs: number;
}

/** Measures online latency and estimates it without batch work. */
export class InterferenceMeter {
  private readonly baselineStep = new RecentQuantiles(
    GUARDED_QUANTILES,
    TOKEN_WINDOW,
    TOKEN_REFRESH,
  );
  private readonly actualStep = new RecentQuantiles(
    [TAIL_QUANTILE],
    TOKEN_WINDOW,
    TOKEN_REFRESH,
  );
  private readonly baselineFirstToken = new RecentQuantiles(
    GUARDED_QUANTILES,
    FIRST_TOKEN_WINDOW,
    FIRST_TOKEN_REFRESH,
  );
  private readonly actualFirstToken = new RecentQuantiles(
    [TAIL_QUANTILE],
    FIRST_TOKEN_WINDOW,
    FIRST_TOKEN_REFRESH,
  );
  private readonly baselineQueue = new BaselineQueue();
  /** Value of `elapsed` at the first token of each decoding online request. */
  private readonly startTimes = new Map<string, StepTime>();
  /** Cumulative duration of all steps with online streams. */
  private readonly elapsed = {actualMs: 0, baselineMs: 0};
  private errorBudgetTokens = 0;

  /**
   * Remaining error budget: online tokens that may still be late, as a share of
   * the maximum budget. Negative, down to -1, when it is overspent.
   */
  get errorBudget(): number {
    return this.errorBudgetTokens / MAX_ERROR_BUDGET_TOKENS;
  }

  /** Number of online tokens in the histograms of the time between tokens. */
  get tokenSamples(): number {
    return this.baselineStep.samples;
  }

  /** Number of online requests in the histograms of the time to first token. */
  get requestSamples(): number {
    return this.baselineFirstToken.samples;
  }

  /** The p99 of the time between tokens without batch work, in milliseconds. */
  get baselineStepMs(): number {
    return this.baselineStep.value;
  }

  /** The p99 of the time to first token without batch work, in milliseconds. */
  get baselineFirstTokenMs(): number {
    return this.baselineFirstToken.value;
  }

  /**
   * Quantiles of the time between tokens without batch work, ascending up to
   * the p99, in milliseconds.
   */
  get baselineStepQuantiles(): readonly number[] {
    return this.baselineStep.values;
  }

  /**
   * Quantiles of the time to first token without batch work, ascending up to
   * the p99, in milliseconds.
   */
  get baselineFirstTokenQuantiles(): readonly number[] {
    return this.baselineFirstToken.values;
  }

  /** Ratio of the p99 of the time between tokens to its baseline. */
  get stepSlowdown(): number {
    return slowdown(this.actualStep.value, this.baselineStep.value);
  }

  /** Ratio of the p99 of the time to first token to its baseline. */
  get firstTokenSlowdown(): number {
    return slowdown(this.actualFirstToken.value, this.baselineFirstToken.value);
  }

  /**
   * Estimates how many online streams would be decoding without batch work.
   * Streams that are slowed down last longer, so more of them run concurrently.
   * Each stream is therefore weighted by the inverse of its slowdown.
   *
   * @returns The number of streams, including fractions.
   */
  baselineStreams(): number {
    let streams = 0;
    for (const {actualMs, baselineMs} of this.startTimes.values()) {
      const actual = this.elapsed.actualMs - actualMs;
      streams +=
        actual > 0 ? (this.elapsed.baselineMs - baselineMs) / actual : 1;
    }
    return streams;
  }

  /**
   * Records one step.
   *
   * @param step - The measured step.
   */
  step(step: MeasuredStep): void {
    const {durationMs, onlineTokens} = step;
    const baselineMs = Math.min(durationMs, step.baselineMs);
    if (onlineTokens > 0) {
      this.actualStep.record(durationMs, onlineTokens);
      this.baselineStep.record(baselineMs, onlineTokens);
      this.updateErrorBudget(onlineTokens, durationMs > step.limitMs);
      this.elapsed.actualMs += durationMs;
      this.elapsed.baselineMs += baselineMs;
    }
  }

  /**
   * Updates the error budget. The p99 holds while at most one token in a
   * hundred is later, whichever tokens those are. The late tokens that online
   * work does not cause itself are therefore available to batch work.
   */
  private updateErrorBudget(tokens: number, late: boolean): void {
    const earned = (1 - TAIL_QUANTILE) * ERROR_BUDGET_SHARE * tokens;
    const left = this.errorBudgetTokens + earned - (late ? tokens : 0);
    this.errorBudgetTokens = Math.max(
      -MAX_ERROR_BUDGET_TOKENS,
      Math.min(MAX_ERROR_BUDGET_TOKENS, left),
    );
  }

  /**
   * Records the arrival of an online request.
   *
   * @param id - The ID of the request.
   * @param demand - Its cost to an engine without batch work.
   * @param now - Time in milliseconds.
   */
  arrived(id: string, demand: BaselineDemand, now: number): void {
    this.baselineQueue.arrived(id, demand, now);
  }

  /**
   * Records the first token of an online request.
   *
   * @param id - The ID of the request.
   * @param elapsedMs - Time since its arrival, in milliseconds.
   */
  firstToken(id: string, elapsedMs: number): void {
    const baselineMs = this.baselineQueue.firstToken(id);
    if (baselineMs === undefined) return;
    this.startTimes.set(id, {...this.elapsed});
    this.actualFirstToken.record(elapsedMs);
    this.baselineFirstToken.record(Math.min(elapsedMs, baselineMs));
  }

  /**
   * Records the end of an online request.
   *
   * @param id - The ID of the request.
   */
  ended(id: string): void {
    this.startTimes.delete(id);
    this.baselineQueue.ended(id);
  }
}

function slowdown(actual: number, baseline: number): number {
  return baseline > 0 ? actual / baseline : 1;
}
