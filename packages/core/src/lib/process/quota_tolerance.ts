/** Tolerances of request quotas, and the limits that follow from them. */
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
 * How long a granted request may wait before it is sent, in milliseconds. The
 * quota owner counts a grant for this time beyond the window, so that the quota
 * also holds at the times of sending.
 */
export const GRANT_VALIDITY_MS = 300;

/**
 * Fractions of the tolerance by purpose. They add up to one: an account may use
 * up its window, the quota owner may be lost then, all hosts use the reserve,
 * and a new owner starts, all in one window.
 */
const TOLERANCE_FRACTIONS = {
  /**
   * On top of the quota, to compensate for counting grants somewhat longer than
   * a window.
   */
  burst: 0.25,
  /**
   * Allowed in the first window by a quota owner that does not know what was
   * granted before.
   */
  start: 0.25,
  /**
   * Granted by the reserve keeper of an account to hosts that cannot reach its
   * quota owner; half of it is available at once.
   */
  keeper: 0.4,
  /**
   * For all hosts together if they reach neither the quota owner nor the
   * reserve keeper; half of it is available at once.
   */
  outOfTouch: 0.1,
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
  quota: RequestQuota,
  tolerance: QuotaTolerance,
  part: TolerancePart,
): number {
  const {overage, slack} = tolerance;
  const excess = requestsPerWindow(quota, tolerance) * overage + slack;
  return excess * TOLERANCE_FRACTIONS[part];
}

/** Limits on the grants of one quota owner. */
export interface QuotaLimits {
  /** Maximum number of grants in {@link spanMs}. */
  readonly perSpan: number;
  /** Time during which a grant counts, in milliseconds. */
  readonly spanMs: number;
  /** Grants per millisecond at an even pace. */
  readonly perMs: number;
  /** Maximum number of grants ahead of an even pace. */
  readonly evenBurst: number;
  /** Additional grants in the first window of a new quota owner. */
  readonly start: number;
  readonly windowMs: number;
}

/**
 * @param quota - Quota of the account.
 * @param tolerance - Tolerance within which it is enforced.
 * @returns The limits of its quota owner.
 */
export function quotaLimits(
  quota: RequestQuota,
  tolerance: QuotaTolerance,
): QuotaLimits {
  const {windowMs} = tolerance;
  const excess = toleratedExcess(quota, tolerance, 'burst');
  return {
    perSpan: Math.max(1, requestsPerWindow(quota, tolerance) + excess),
    spanMs: windowMs + GRANT_VALIDITY_MS,
    perMs: quota.perSecond / MS_PER_SECOND,
    evenBurst: Math.max(1, quota.burst + excess),
    start: toleratedExcess(quota, tolerance, 'start'),
    windowMs,
  };
}

function requestsPerWindow(
  {perSecond, burst}: RequestQuota,
  {windowMs}: QuotaTolerance,
): number {
  return (perSecond * windowMs) / MS_PER_SECOND + burst;
}

/**
 * @param grantedAt - Time of a grant; undefined if the account had no quota.
 * @param now - Time on the same monotonic clock, in milliseconds.
 * @returns Whether its request may still be sent.
 */
export function isGrantGood(
  grantedAt: number | undefined,
  now: number,
): boolean {
  return grantedAt !== undefined && now - grantedAt <= GRANT_VALIDITY_MS;
}

/** A request for one more grant. */
export interface QuotaDemand {
  /** Whether the caller returns after a refusal. */
  readonly returning?: boolean | undefined;
  /**
   * Longest time after which the caller would return if told to, in
   * milliseconds; a whole window if undefined.
   */
  readonly maxWaitMs?: number | undefined;
  /**
   * Tells the request apart from others of its account, the same when its
   * caller returns; undefined if unknown.
   */
  readonly key?: number | undefined;
}

/** Return of a caller whose request was granted and did not run. */
export interface QuotaReturn {
  /** On a monotonic clock, in milliseconds. */
  readonly at: number;
  /** As in its {@link QuotaDemand}. */
  readonly key?: number | undefined;
}

/** Decision on one request of an account. */
export type QuotaVerdict =
  | {
      readonly kind: 'granted';
      /**
       * Time on this host's monotonic clock from which the grant is good for
       * {@link GRANT_VALIDITY_MS}, in milliseconds; undefined if the account
       * has no quota.
       */
      readonly grantedAt?: number | undefined;
    }
  | {
      readonly kind: 'over';
      /** Time until the quota allows another request, in milliseconds. */
      readonly waitMs: number;
      /**
       * Whether room is reserved for the caller if it returns then. It is not
       * if there is none within the demand's `maxWaitMs`.
       */
      readonly isReserved: boolean;
    };
