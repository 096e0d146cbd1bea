/**
 * Computes when a caller whose request was refused should retry.
 *
 * Guards against bursts that outlast a short delay: a caller that retries once,
 * after a fixed short delay, meets the same burst and is refused for good. A
 * free slot is therefore expected only when the overload is over. Retries that
 * are already scheduled are spaced at the rate at which slots become free, so
 * that they do not cause the next burst.
 */
import {OverloadForecast} from './overload_forecast.js';
import type {Random} from './random.js';

/** Inputs for the time of a retry. */
export interface RetryContext {
  /** Duration of a run in milliseconds; undefined if unknown. */
  readonly runMs: number | undefined;
  /** Total number of slots of all targets of the service. */
  readonly slots: number;
  /** Number of hosts, including this one, that schedule retries there. */
  readonly hosts: number;
  /** Latest retry that the caller accepts, in milliseconds from now. */
  readonly maxDelayMs: number;
}

/**
 * Fraction of the free slots that are assigned to retries; the others are left
 * for new requests.
 */
export const RETRY_SLOT_FRACTION = 0.5;
/**
 * Assumed run duration in milliseconds while the real one is unknown. A slot
 * becomes free at the end of a run, and a shorter delay gains nothing for a
 * request of one second.
 */
export const DEFAULT_RUN_MS = 500;

/** Retry schedule of one host for one service. */
export class RetryScheduler {
  private readonly forecast = new OverloadForecast();
  private scheduledRetries: number[] = [];

  /**
   * @param random - Adds jitter, so that hosts do not schedule retries for the
   *     same time.
   */
  constructor(private readonly random: Random) {}

  /**
   * Schedules the retry of a refused request.
   *
   * @param now - Time on a monotonic clock, in milliseconds.
   * @param context - The service, and how long the caller waits.
   * @returns The delay after which the caller should retry, in milliseconds.
   */
  scheduleRetry(now: number, context: RetryContext): number {
    const runMs = context.runMs ?? DEFAULT_RUN_MS;
    const remainingMs = Math.max(this.forecast.recordRefusal(now), runMs);
    this.scheduledRetries = this.scheduledRetries.filter(at => at > now);
    const spacingMs =
      (runMs * Math.max(1, context.hosts)) /
      (Math.max(1, context.slots) * RETRY_SLOT_FRACTION);
    const position = this.scheduledRetries.length + this.random.float();
    const delayMs = Math.min(
      remainingMs + position * spacingMs,
      context.maxDelayMs,
    );
    this.scheduledRetries.push(now + delayMs);
    return Math.round(delayMs);
  }
}
