/**
 * Token bucket for the request quota of one client account.
 *
 * Guards against an account that sends many times its usual rate: requests
 * within the quota run, the others are refused at once with the time after
 * which to retry.
 */
import type {RequestQuota} from '../version/client_account.js';

const MS_PER_SECOND = 1000;

/** Tolerances within which quotas are enforced. */
export interface QuotaTolerance {
  /** A quota holds in each window of this length, in milliseconds. */
  readonly windowMs: number;
  /** Fraction of a window's quota by which it may be exceeded. */
  readonly overage: number;
  /** Number of requests per window by which it may be exceeded in addition. */
  readonly slack: number;
}

/**
 * Fractions of the tolerance by purpose. A host that cannot reach the quota
 * owner is granted nothing by it. Therefore, with up to half of the hosts
 * unreachable, or with the quota owner lost and replaced, all parts together
 * stay within one tolerance.
 */
const TOLERANCE_FRACTIONS = {
  /**
   * On top of the burst, so that random variation of the arrivals does not
   * refuse requests within the quota.
   */
  burst: 0.25,
  /** Initial level at a host that has no record of earlier requests. */
  start: 0.25,
  /**
   * For all hosts together if none can reach the quota owner; half of it is
   * available at once.
   */
  outOfTouch: 1,
} as const;

/** Purpose of a part of the tolerance. */
export type TolerancePart = keyof typeof TOLERANCE_FRACTIONS;

/**
 * @param quota - Quota of the account.
 * @param tolerance - Tolerance within which it is enforced.
 * @param part - Purpose that the requests are for.
 * @returns The number of requests per window that are allowed beyond the quota.
 */
export function toleratedExcess(
  {perSecond, burst}: RequestQuota,
  {windowMs, overage, slack}: QuotaTolerance,
  part: TolerancePart,
): number {
  const perWindow = (perSecond * windowMs) / MS_PER_SECOND + burst;
  return (perWindow * overage + slack) * TOLERANCE_FRACTIONS[part];
}

/** Decision on one request of an account. */
export type QuotaVerdict =
  | {readonly kind: 'granted'}
  /** Quota exceeded; capacity is available after `waitMs` milliseconds. */
  | {readonly kind: 'over'; readonly waitMs: number};

const GRANTED: QuotaVerdict = {kind: 'granted'};

/** The requests that an account may still send, kept at its quota owner. */
export class QuotaBucket {
  private level: number;
  /** Times of the scheduled retries that are still to come, in milliseconds. */
  private scheduledRetries: readonly number[] = [];

  /**
   * @param refilledAt - Creation time on a monotonic clock, in milliseconds.
   * @param level - Initial level, in requests.
   */
  constructor(
    private refilledAt: number,
    level: number,
  ) {
    this.level = level;
  }

  /**
   * Takes one request from the bucket if the level permits.
   *
   * @param quota - Current quota of the account.
   * @param tolerance - Tolerance within which it is enforced.
   * @param now - Time on a monotonic clock, in milliseconds.
   * @returns The decision, with the time to wait before a retry if refused.
   */
  take(
    quota: RequestQuota,
    tolerance: QuotaTolerance,
    now: number,
  ): QuotaVerdict {
    this.refill(quota, tolerance, now);
    if (this.level >= 1) {
      this.level -= 1;
      return GRANTED;
    }
    return {kind: 'over', waitMs: this.scheduleRetry(quota, now)};
  }

  /** Refunds a request that did not run. */
  refund(): void {
    this.level += 1;
  }

  private refill(
    quota: RequestQuota,
    tolerance: QuotaTolerance,
    now: number,
  ): void {
    const elapsedMs = Math.max(0, now - this.refilledAt);
    this.refilledAt = now;
    const maxLevel = quota.burst + toleratedExcess(quota, tolerance, 'burst');
    const gained = (quota.perSecond * elapsedMs) / MS_PER_SECOND;
    this.level = Math.min(Math.max(maxLevel, 1), this.level + gained);
  }

  /** Schedules a retry; each refused request gets a separate time. */
  private scheduleRetry({perSecond}: RequestQuota, now: number): number {
    this.scheduledRetries = this.scheduledRetries.filter(at => at > now);
    const earlierRetries = this.scheduledRetries.length;
    const missing = 1 - this.level + earlierRetries;
    const waitMs = Math.ceil((missing / perSecond) * MS_PER_SECOND);
    this.scheduledRetries = [...this.scheduledRetries, now + waitMs];
    return waitMs;
  }
}
