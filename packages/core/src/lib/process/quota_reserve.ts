/**
 * Requests that are admitted for an account whose quota owner is out of reach:
 * by one other host, the reserve keeper, and by each host that cannot reach
 * that one either.
 *
 * Guards against a network partition that refuses all requests of an account,
 * and against one in which each host grants the whole quota. All unreachable
 * hosts together use a part of the tolerance, each an equal share of it.
 */
import type {RequestQuota} from '../version/client_account.js';
import type {Random} from './random.js';
import {toleratedExcess, type QuotaTolerance} from './quota_tolerance.js';

/** Inputs of a {@link QuotaReserve}. */
export interface ReserveContext {
  readonly quota: RequestQuota;
  readonly tolerance: QuotaTolerance;
  /** The part of the tolerance that is used. */
  readonly part: 'keeper' | 'outOfTouch';
  /**
   * Number of hosts, including this one, that may be unreachable at the same
   * time.
   */
  readonly hosts: number;
}

interface Reserve {
  level: number;
  refilledAt: number;
}

/** Reserves of one host, by account. */
export class QuotaReserve {
  private readonly reserves = new Map<string, Reserve>();

  /**
   * @param random - Randomly rounds shares that are not a whole number of
   *     requests.
   */
  constructor(private readonly random: Random) {}

  /**
   * @param account - Name of the account.
   * @param context - Quota of the account and the number of hosts that share
   *     the reserve.
   * @param now - Time on a monotonic clock, in milliseconds.
   * @returns Whether one more request of the account may run without being
   *     counted.
   */
  take(account: string, context: ReserveContext, now: number): boolean {
    const {quota, tolerance, part, hosts} = context;
    const perWindow = toleratedExcess(quota, tolerance, part) / hosts;
    // Half of the share is available at once, and half accrues over a window.
    const halfShare = perWindow / 2;
    const reserve =
      this.reserves.get(account) ?? this.initialReserve(halfShare, now);
    const gained =
      (halfShare * (now - reserve.refilledAt)) / tolerance.windowMs;
    const level = Math.min(reserve.level + gained, halfShare + 1);
    const granted = level >= 1;
    this.reserves.set(account, {
      level: granted ? level - 1 : level,
      refilledAt: now,
    });
    return granted;
  }

  /**
   * Rounds randomly: a share of 0.4 requests is one request at 40 % of the
   * hosts.
   */
  private initialReserve(halfShare: number, now: number): Reserve {
    return {level: halfShare + this.random.float(), refilledAt: now};
  }
}
