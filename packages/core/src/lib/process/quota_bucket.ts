/**
 * How much of its quota a client account has left.
 *
 * Answers an account that sends many times its usual: what is within the quota runs,
 * the rest is refused at once and told when there is room.
 */
import type {RequestQuota} from '../version/client_account.js';

const MS_PER_SECOND = 1000;

/** How exactly quotas are kept. */
export interface QuotaTolerance {
  /** A quota holds in each span of this length, in milliseconds. */
  readonly windowMs: number;
  /** By which share of what a window allows it may be exceeded. */
  readonly overage: number;
  /** By how many requests in a window it may be exceeded besides. */
  readonly slack: number;
}

/**
 * Parts of the tolerance, as shares of it. While hosts can't ask who counts, that one
 * grants them nothing: with up to half of the hosts out of touch, or the one that
 * counts lost and started anew, all parts together are one tolerance.
 */
const PART = {
  /** Beside the burst, so that chance does not refuse what is within the quota. */
  burst: 0.25,
  /** What a host begins with that knows nothing of what ran before. */
  start: 0.25,
  /** For all hosts together if none could ask, half of it at once. */
  outOfTouch: 1,
} as const;

/** What a part of the tolerance is for. */
export type TolerancePart = keyof typeof PART;

/**
 * @param quota - Of an account.
 * @param tolerance - How exactly it is kept.
 * @param part - What for.
 * @returns Requests in a window beyond the quota.
 */
export function tolerated(
  {perSecond, burst}: RequestQuota,
  {windowMs, overage, slack}: QuotaTolerance,
  part: TolerancePart,
): number {
  const inWindow = (perSecond * windowMs) / MS_PER_SECOND + burst;
  return (inWindow * overage + slack) * PART[part];
}

/** What came of asking for a request of an account. */
export type QuotaVerdict =
  | {readonly kind: 'granted'}
  /** Beyond the quota; there is room after `waitMs`. */
  | {readonly kind: 'over'; readonly waitMs: number};

const GRANTED: QuotaVerdict = {kind: 'granted'};

/** The requests that an account has saved up, at the host that counts them. */
export class QuotaBucket {
  private level: number;
  /** Returns that were promised and have not come due, as times. */
  private promised: readonly number[] = [];

  /**
   * @param now - A steady clock, in milliseconds.
   * @param level - What it begins with, in requests.
   */
  constructor(
    private filledAt: number,
    level: number,
  ) {
    this.level = level;
  }

  /**
   * Takes one request, if there is room.
   *
   * @param quota - What is allowed now.
   * @param tolerance - How exactly.
   * @param now - A steady clock, in milliseconds.
   */
  take(
    quota: RequestQuota,
    tolerance: QuotaTolerance,
    now: number,
  ): QuotaVerdict {
    this.fill(quota, tolerance, now);
    if (this.level >= 1) {
      this.level -= 1;
      return GRANTED;
    }
    return {kind: 'over', waitMs: this.promise(quota, now)};
  }

  /** Gives back a request that did not run. */
  giveBack(): void {
    this.level += 1;
  }

  private fill(
    quota: RequestQuota,
    tolerance: QuotaTolerance,
    now: number,
  ): void {
    const passedMs = Math.max(0, now - this.filledAt);
    this.filledAt = now;
    const most = quota.burst + tolerated(quota, tolerance, 'burst');
    const gained = (quota.perSecond * passedMs) / MS_PER_SECOND;
    this.level = Math.min(Math.max(most, 1), this.level + gained);
  }

  /** Each caller that is told to come back gets a moment of its own. */
  private promise({perSecond}: RequestQuota, now: number): number {
    this.promised = this.promised.filter(at => at > now);
    const before = this.promised.length;
    const missing = 1 - this.level + before;
    const waitMs = Math.ceil((missing / perSecond) * MS_PER_SECOND);
    this.promised = [...this.promised, now + waitMs];
    return waitMs;
  }
}
