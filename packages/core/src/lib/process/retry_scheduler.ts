/**
 * Computes when a caller whose request was refused should retry.
 *
 * Guards against bursts that outlast a short delay: a caller that retries once,
 * after a fixed short delay, meets the same burst and is refused for good. A
 * free slot is therefore expected only when the overload is over. An overload
 * is assumed to last as long as the longest of the last few. One that has
 * lasted longer, or is the first, is assumed to continue for as long as it has
 * lasted. Retries that are already scheduled are spaced at the rate at which
 * slots become free, so that they do not cause the next burst.
 */
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
 * Time without a refusal after which an overload counts as over, in
 * milliseconds. With many hosts each refuses few requests, so a shorter
 * interval would end an overload by chance.
 */
const OVERLOAD_END_MS = 1000;
/**
 * Number of past overloads whose duration is remembered; the longest counts.
 */
const REMEMBERED_OVERLOADS = 3;
/**
 * Expected further duration of an overload that outlasts the previous ones,
 * relative to its duration so far.
 */
const EXTENSION_RATIO = 1;
/**
 * Fraction of the free slots that are assigned to retries; the others are left
 * for new requests.
 */
const RETRY_SLOT_FRACTION = 0.5;
/**
 * Assumed run duration in milliseconds while the real one is unknown. A slot
 * becomes free at the end of a run, and a shorter delay gains nothing for a
 * request of one second.
 */
const DEFAULT_RUN_MS = 500;

interface Overload {
  readonly startedAt: number;
  lastRefusalAt: number;
}

/** Retry schedule of one host for one service. */
export class RetryScheduler {
  private readonly durationsMs: number[] = [];
  private overload: Overload | undefined;
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
    const overload = this.overloadAt(now);
    const runMs = context.runMs ?? DEFAULT_RUN_MS;
    const elapsedMs = now - overload.startedAt;
    const remainingMs = Math.max(this.remainingMs(elapsedMs), runMs);
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

  private overloadAt(now: number): Overload {
    const known = this.overload;
    if (known && now - known.lastRefusalAt <= OVERLOAD_END_MS) {
      known.lastRefusalAt = now;
      return known;
    }
    if (known) this.remember(known.lastRefusalAt - known.startedAt);
    this.overload = {startedAt: now, lastRefusalAt: now};
    return this.overload;
  }

  private remember(durationMs: number): void {
    this.durationsMs.push(durationMs);
    if (this.durationsMs.length > REMEMBERED_OVERLOADS)
      this.durationsMs.shift();
  }

  private remainingMs(elapsedMs: number): number {
    const expectedMs = Math.max(0, ...this.durationsMs) - elapsedMs;
    return Math.max(expectedMs, elapsedMs * EXTENSION_RATIO);
  }
}
