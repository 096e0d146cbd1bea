/**
 * Estimates how long an overload lasts.
 *
 * Answers bursts that return and outlast a short delay: an overload is assumed
 * to last as long as the longest of the last few. One that has lasted longer,
 * or is the first, is assumed to continue for as long as it has lasted.
 */

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

interface Overload {
  readonly startedAt: number;
  lastRefusalAt: number;
}

/** Overloads of one service, as seen in refusals. */
export class OverloadForecast {
  private readonly durationsMs: number[] = [];
  private overload: Overload | undefined;

  /**
   * Records a refusal.
   *
   * @param now - Time on a monotonic clock, in milliseconds.
   * @returns How much longer the overload lasts, in milliseconds.
   */
  recordRefusal(now: number): number {
    const elapsedMs = now - this.overloadAt(now).startedAt;
    const expectedMs = Math.max(0, ...this.durationsMs) - elapsedMs;
    return Math.max(expectedMs, elapsedMs * EXTENSION_RATIO);
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
}
