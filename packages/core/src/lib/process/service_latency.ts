/**
 * Estimates how long the targets of a service take for a request. Only runs
 * that found a free slot are measured: time spent waiting for a slot would
 * otherwise be counted twice.
 */

/** Latency of a run at a target with a free slot. */
export interface ServiceLatency {
  /** Time from sending to the first byte of the response, in milliseconds. */
  readonly firstByteMs: number;
  /** Time from sending to the end of the response, in milliseconds. */
  readonly runMs: number;
}

/**
 * Weight of the newest run in the moving mean. About fifty runs contribute, so
 * that one slow target among a few does not dominate the mean.
 */
const NEWEST_WEIGHT = 0.02;
/**
 * Number of runs before the mean is used. While there are few runs, each of
 * them has the same weight.
 */
const MIN_RUNS = 5;

/** Keeps a moving mean of the latency of one service. */
export class ServiceLatencyEstimator {
  private runs = 0;
  private mean: ServiceLatency = {firstByteMs: 0, runMs: 0};

  /** Mean latency of recent runs; undefined after too few runs. */
  get latency(): ServiceLatency | undefined {
    return this.runs < MIN_RUNS ? undefined : this.mean;
  }

  /**
   * Adds a run to the mean.
   *
   * @param run - The latency of a run that found a free slot and completed.
   */
  add(run: ServiceLatency): void {
    this.runs++;
    const weight = Math.max(NEWEST_WEIGHT, 1 / this.runs);
    this.mean = {
      firstByteMs: mix(this.mean.firstByteMs, run.firstByteMs, weight),
      runMs: mix(this.mean.runMs, run.runMs, weight),
    };
  }
}

function mix(mean: number, newest: number, weight: number): number {
  return mean + (newest - mean) * weight;
}
