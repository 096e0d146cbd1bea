/**
 * What a host lets through of an account whose count it can't ask for.
 *
 * Guards against a cut that refuses all of an account's requests, and against one
 * that lets each host count a whole quota for itself: all hosts out of touch together
 * use a part of the tolerance, each an equal share of it.
 */
import type {RequestQuota} from '../version/client_account.js';
import type {Random} from './random.js';
import {tolerated, type QuotaTolerance} from './quota_bucket.js';

/** What a {@link QuotaReserve} goes by. */
export interface ReserveView {
  readonly quota: RequestQuota;
  readonly tolerance: QuotaTolerance;
  /** Hosts that may be out of touch at the same time, this one included. */
  readonly hosts: number;
}

interface Reserve {
  level: number;
  filledAt: number;
}

/** The reserves of one host, by account. */
export class QuotaReserve {
  private readonly reserves = new Map<string, Reserve>();

  /** @param random - Shares of less than one request are drawn. */
  constructor(private readonly random: Random) {}

  /**
   * @param account - Its name.
   * @param view - Its quota, and who shares it.
   * @param now - A steady clock, in milliseconds.
   * @returns Whether one more of its requests may run without being counted.
   */
  take(account: string, view: ReserveView, now: number): boolean {
    const {quota, tolerance, hosts} = view;
    const inWindow = tolerated(quota, tolerance, 'outOfTouch') / hosts;
    // Half of it in the beginning, and half over the length of a window.
    const most = inWindow / 2;
    const known = this.reserves.get(account) ?? this.first(most, now);
    const gained = (most * (now - known.filledAt)) / tolerance.windowMs;
    const level = Math.min(known.level + gained, most + 1);
    const may = level >= 1;
    this.reserves.set(account, {level: may ? level - 1 : level, filledAt: now});
    return may;
  }

  /** A share of 0.4 requests is one request at 0.4 of the hosts. */
  private first(most: number, now: number): Reserve {
    return {level: most + this.random.float(), filledAt: now};
  }
}
