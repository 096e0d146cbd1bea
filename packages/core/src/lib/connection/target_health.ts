/**
 * Traffic share of a target by its health. A target that is slower than its
 * peers, or fails requests, loses share gradually and regains it gradually, so
 * that a single good or bad outcome does not shift the traffic.
 */

/** Weight of a new latency sample in the moving average. */
const LATENCY_SMOOTHING = 0.1;
/** Weight of a new success or failure in the moving average. */
const FAILURE_SMOOTHING = 0.1;
/** Latency relative to the median up to which no share is lost. */
const LATENCY_TOLERANCE = 1.5;
/** Failure rate up to which no share is lost. */
const FAILURE_TOLERANCE = 0.02;
/**
 * Share of a target that fails all requests, so that its recovery is noticed.
 */
const MIN_SHARE = 0.02;
/** Largest decrease and increase of the share per second. */
const MAX_LOSS_PER_SECOND = 0.5;
const MAX_GAIN_PER_SECOND = 0.05;
const MS_PER_SECOND = 1000;
/**
 * Rate per second at which latency and failures decay to normal, so that a
 * target without samples recovers.
 */
const DECAY_PER_SECOND = 0.02;
const OUTLIER_SHARE = 0.5;
const RECOVERED_SHARE = 0.9;

interface Health {
  latencyMs: number;
  failures: number;
  share: number;
  updatedAt: number;
}

/** Traffic shares of the targets of one pool, from 0 to 1. */
export class TargetHealth {
  private readonly byTarget = new Map<string, Health>();

  /**
   * @param target - ID of the target.
   * @returns Its traffic share; 1 for a target without known problems.
   */
  share(target: string): number {
    return this.byTarget.get(target)?.share ?? 1;
  }

  /**
   * Outlier detection with hysteresis, so that the state does not flap.
   *
   * @param target - ID of the target.
   * @returns True if the target is clearly an outlier, false if it clearly is
   *     not, undefined in between.
   */
  isOutlier(target: string): boolean | undefined {
    const share = this.share(target);
    if (share <= OUTLIER_SHARE) return true;
    return share >= RECOVERED_SHARE ? false : undefined;
  }

  /**
   * Records a successful request.
   *
   * @param target - ID of the target that answered.
   * @param latencyMs - Time to first token in excess of that of an idle target,
   *     in milliseconds; the part that the prompt length explains is excluded.
   * @param now - Current time, in milliseconds.
   */
  recordSuccess(target: string, latencyMs: number, now: number): void {
    const health = this.healthOf(target, now);
    const first = health.latencyMs === 0;
    const weight = first ? 1 : LATENCY_SMOOTHING;
    health.latencyMs += (latencyMs - health.latencyMs) * weight;
    health.failures -= health.failures * FAILURE_SMOOTHING;
    this.update(health, now);
  }

  /**
   * Records a failed request that the target is responsible for.
   *
   * @param target - ID of the target that failed.
   * @param now - Current time, in milliseconds.
   */
  recordFailure(target: string, now: number): void {
    const health = this.healthOf(target, now);
    health.failures += (1 - health.failures) * FAILURE_SMOOTHING;
    this.update(health, now);
  }

  /**
   * Updates all shares. To be called periodically, so that a target without
   * traffic regains share.
   *
   * @param now - Current time, in milliseconds.
   */
  tick(now: number): void {
    for (const health of this.byTarget.values()) this.update(health, now);
  }

  /** @param target - ID of a target that no longer exists. */
  remove(target: string): void {
    this.byTarget.delete(target);
  }

  private update(health: Health, now: number): void {
    const seconds = Math.max(0, now - health.updatedAt) / MS_PER_SECOND;
    health.updatedAt = now;
    const medianMs = this.medianLatencyMs();
    const decay = Math.min(1, DECAY_PER_SECOND * seconds);
    health.failures -= health.failures * decay;
    // A target that has only failed has no latency sample. A latency that grew
    // from zero would be the lowest of all, and make the targets that answer
    // look slow.
    if (health.latencyMs > 0)
      health.latencyMs += (medianMs - health.latencyMs) * decay;
    const desired = this.desiredShare(health, medianMs);
    const change = desired - health.share;
    const maxRate = change < 0 ? -MAX_LOSS_PER_SECOND : MAX_GAIN_PER_SECOND;
    const limited = Math.abs(change) < Math.abs(maxRate * seconds);
    health.share += limited ? change : maxRate * seconds;
  }

  private desiredShare(health: Health, medianMs: number): number {
    const slowness = health.latencyMs / Math.max(medianMs, Number.EPSILON);
    const bySpeed = slowness > LATENCY_TOLERANCE ? (1 / slowness) ** 2 : 1;
    const excessFailures = Math.max(0, health.failures - FAILURE_TOLERANCE);
    const byFailures = (1 - excessFailures) ** 4;
    return Math.max(MIN_SHARE, bySpeed * byFailures);
  }

  /** Median latency, which a few slow targets do not affect. */
  private medianLatencyMs(): number {
    const samples = [...this.byTarget.values()]
      .map(({latencyMs}) => latencyMs)
      .filter(latencyMs => latencyMs > 0)
      .sort((a, b) => a - b);
    return samples[Math.floor((samples.length - 1) / 2)] ?? 0;
  }

  private healthOf(target: string, now: number): Health {
    let health = this.byTarget.get(target);
    if (health === undefined) {
      health = {latencyMs: 0, failures: 0, share: 1, updatedAt: now};
      this.byTarget.set(target, health);
    }
    return health;
  }
}
