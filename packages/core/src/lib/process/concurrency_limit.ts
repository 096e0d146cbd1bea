/**
 * An adaptive concurrency limit for a plain service, which streams no tokens to
 * measure. The limit follows the measured latency: it grows while calls take
 * about as long as under low load, and shrinks when they take much longer,
 * which means that they are queued inside the service.
 */

/** Growth of the limit per `limit` calls (additive increase). */
const LIMIT_INCREASE = 1;
/** Factor on the limit per `limit` calls (multiplicative decrease). */
const LIMIT_DECREASE = 0.7;
/**
 * A mean latency beyond this multiple of the minimum latency indicates queueing
 * inside the service.
 */
const QUEUEING_RATIO = 2;
/** Weight of the newest call in the mean latency. */
const MEAN_SMOOTHING = 0.1;
/**
 * Factor by which the minimum latency rises per call, so that it adapts to a
 * service that has become slower.
 */
const MIN_LATENCY_DRIFT = 1.00001;
const INITIAL_LIMIT = 16;

/** Bounds concurrent calls by their latency. */
export class ConcurrencyLimit {
  private limit = INITIAL_LIMIT;
  private minLatencyMs = Number.POSITIVE_INFINITY;
  private meanLatencyMs = 0;

  /**
   * @param maxCalls - The configured upper bound.
   * @returns The number of calls that may run concurrently, at least 1.
   */
  capacity(maxCalls: number): number {
    return Math.max(1, Math.min(Math.floor(this.limit), maxCalls));
  }

  /** Mean latency, in milliseconds; 0 before the first call. */
  get meanMs(): number {
    return this.meanLatencyMs;
  }

  /**
   * Adjusts the limit after a call.
   *
   * @param latencyMs - Latency of the call, in milliseconds.
   * @param concurrentCalls - Number of calls that ran when it ended, including
   *     it.
   * @param maxCalls - The configured upper bound.
   */
  ended(latencyMs: number, concurrentCalls: number, maxCalls: number): void {
    this.minLatencyMs = Math.min(
      this.minLatencyMs * MIN_LATENCY_DRIFT,
      latencyMs,
    );
    this.meanLatencyMs +=
      (latencyMs - this.meanLatencyMs) *
      (this.meanLatencyMs === 0 ? 1 : MEAN_SMOOTHING);
    if (this.meanLatencyMs > this.minLatencyMs * QUEUEING_RATIO) {
      this.limit = Math.max(1, this.limit * LIMIT_DECREASE ** (1 / this.limit));
      return;
    }
    const used = concurrentCalls >= this.limit / 2;
    if (used) this.limit += LIMIT_INCREASE / this.limit;
    this.limit = Math.min(this.limit, maxCalls);
  }
}
