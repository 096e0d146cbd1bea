/**
 * Admission to a plain service, which has no tokens: a bound on calls at once
 * that follows the measured latency. While calls take about as long as when few
 * run, the bound grows; when they take clearly longer, they queue inside the
 * service and the bound shrinks.
 */

const GROWTH = 1;
const SHRINK = 0.7;
/** Latency beyond this multiple of the least one means queueing. */
const TOLERANCE = 2;
const SMOOTHING = 0.1;
/** The least latency creeps up, so that a slower service is learnt. */
const LEAST_CREEP = 1.00001;
const FIRST_LIMIT = 16;

/** Bounds calls at once by their latency. */
export class LatencyLimit {
  private limit = FIRST_LIMIT;
  private least = Number.POSITIVE_INFINITY;
  private mean = 0;

  /**
   * @param maxCalls - Upper bound, as declared.
   * @returns Calls that may run at once.
   */
  capacity(maxCalls: number): number {
    return Math.max(1, Math.min(Math.floor(this.limit), maxCalls));
  }

  /** Mean latency, in milliseconds; 0 before the first call. */
  get meanMs(): number {
    return this.mean;
  }

  /**
   * @param latencyMs - How long a call took.
   * @param runningThen - How many ran beside it.
   * @param maxCalls - Upper bound, as declared.
   */
  ended(latencyMs: number, runningThen: number, maxCalls: number): void {
    this.least = Math.min(this.least * LEAST_CREEP, latencyMs);
    this.mean += (latencyMs - this.mean) * (this.mean === 0 ? 1 : SMOOTHING);
    if (this.mean > this.least * TOLERANCE) {
      this.limit = Math.max(1, this.limit * SHRINK ** (1 / this.limit));
      return;
    }
    const used = runningThen >= this.limit / 2;
    if (used) this.limit += GROWTH / this.limit;
    this.limit = Math.min(this.limit, maxCalls);
  }
}
