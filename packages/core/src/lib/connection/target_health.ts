/**
 * How much of its share a target deserves: one that is slower than its peers,
 * or fails, loses share gradually and wins it back gradually, so that neither a
 * single bad answer nor a single good one moves the traffic.
 */

/** Weight of one more sample of latency. */
const LATENCY_SMOOTHING = 0.1;
/** Weight of one more answer or failure. */
const FAILURE_SMOOTHING = 0.1;
/** Slower than its peers by this factor does not count yet. */
const LATENCY_TOLERANCE = 1.5;
/** Failures below this rate do not count yet. */
const FAILURE_TOLERANCE = 0.02;
/** A target that fails all requests keeps this share, to show it recovered. */
const MIN_SHARE = 0.02;
/** Largest change of the share, per second. */
const LOSS_PER_SECOND = 0.5;
const GAIN_PER_SECOND = 0.05;
const MS_PER_SECOND = 1000;
/** Without samples a bad mark fades, at this rate per second. */
const FADE_PER_SECOND = 0.02;
const OUTLIER_SHARE = 0.5;
const RECOVERED_SHARE = 0.9;

interface Health {
  latencyMs: number;
  failures: number;
  share: number;
  updatedAt: number;
}

/** The shares of the targets of one pool, from 0 to 1. */
export class TargetHealth {
  private readonly byTarget = new Map<string, Health>();

  /**
   * @param target - The target.
   * @returns Its share; 1 for one that is not known to be worse.
   */
  share(target: string): number {
    return this.byTarget.get(target)?.share ?? 1;
  }

  /**
   * @param target - The target.
   * @returns Whether it clearly stands out, or clearly no longer does;
   *     undefined in between, so that the state does not flap.
   */
  outlier(target: string): boolean | undefined {
    const share = this.share(target);
    if (share <= OUTLIER_SHARE) return true;
    return share >= RECOVERED_SHARE ? false : undefined;
  }

  /**
   * @param target - A target that answered.
   * @param latencyMs - Time to its first token over that of a quiet target: the
   *     time that is its own, without what the length of the prompt explains.
   * @param now - Milliseconds.
   */
  answered(target: string, latencyMs: number, now: number): void {
    const health = this.healthOf(target, now);
    const first = health.latencyMs === 0;
    const step = first ? 1 : LATENCY_SMOOTHING;
    health.latencyMs += (latencyMs - health.latencyMs) * step;
    health.failures -= health.failures * FAILURE_SMOOTHING;
    this.update(health, now);
  }

  /**
   * @param target - A target that failed a request by its own fault.
   * @param now - Milliseconds.
   */
  failed(target: string, now: number): void {
    const health = this.healthOf(target, now);
    health.failures += (1 - health.failures) * FAILURE_SMOOTHING;
    this.update(health, now);
  }

  /**
   * Moves all shares on; call it now and then, so that a target without traffic
   * gets another chance.
   *
   * @param now - Milliseconds.
   */
  tick(now: number): void {
    for (const health of this.byTarget.values()) this.update(health, now);
  }

  /** @param target - A target that is gone. */
  remove(target: string): void {
    this.byTarget.delete(target);
  }

  private update(health: Health, now: number): void {
    const seconds = Math.max(0, now - health.updatedAt) / MS_PER_SECOND;
    health.updatedAt = now;
    const typical = this.typicalLatency();
    const fade = Math.min(1, FADE_PER_SECOND * seconds);
    health.failures -= health.failures * fade;
    // A target that has only failed has no latency: one that grew from zero
    // would be the lowest of all, and make targets that answer look slow.
    if (health.latencyMs > 0)
      health.latencyMs += (typical - health.latencyMs) * fade;
    const wanted = this.wantedShare(health, typical);
    const change = wanted - health.share;
    const most = change < 0 ? -LOSS_PER_SECOND : GAIN_PER_SECOND;
    const limited = Math.abs(change) < Math.abs(most * seconds);
    health.share += limited ? change : most * seconds;
  }

  private wantedShare(health: Health, typical: number): number {
    const slowness = health.latencyMs / Math.max(typical, Number.EPSILON);
    const bySpeed = slowness > LATENCY_TOLERANCE ? (1 / slowness) ** 2 : 1;
    const bad = Math.max(0, health.failures - FAILURE_TOLERANCE);
    const byFailures = (1 - bad) ** 4;
    return Math.max(MIN_SHARE, bySpeed * byFailures);
  }

  /** The median, which a few slow targets do not move. */
  private typicalLatency(): number {
    const known = [...this.byTarget.values()]
      .map(({latencyMs}) => latencyMs)
      .filter(latencyMs => latencyMs > 0)
      .sort((a, b) => a - b);
    return known[Math.floor((known.length - 1) / 2)] ?? 0;
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
