/** Counts the requests of those client accounts that this host counts for all. */
import type {RequestQuota} from '../version/client_account.js';
import {
  QuotaBucket,
  tolerated,
  type QuotaTolerance,
  type QuotaVerdict,
} from './quota_bucket.js';

/** Accounts that are kept without a request, in milliseconds: a bucket is full then. */
const IDLE_MS = 60_000;
/** How often idle accounts are looked for, in milliseconds. */
const SWEEP_MS = 10_000;

interface CountedAccount {
  readonly bucket: QuotaBucket;
  askedAt: number;
}

/** Buckets by account. */
export class QuotaKeeper {
  private readonly accounts = new Map<string, CountedAccount>();
  private sweptAt = -Infinity;

  /**
   * @param tolerance - How exactly quotas are kept now.
   * @param since - From when on this host counts, on a steady clock in milliseconds.
   */
  constructor(
    private readonly tolerance: () => QuotaTolerance,
    private since: number,
  ) {}

  /**
   * @param account - Its name.
   * @param quota - What is allowed now.
   * @param now - A steady clock, in milliseconds.
   * @returns Whether one more of its requests may run.
   */
  take(account: string, quota: RequestQuota, now: number): QuotaVerdict {
    const tolerance = this.tolerance();
    const counted = this.of(account, quota, now);
    counted.askedAt = now;
    return counted.bucket.take(quota, tolerance, now);
  }

  /** @param account - One of its requests did not run. */
  giveBack(account: string): void {
    this.accounts.get(account)?.bucket.giveBack();
  }

  /**
   * Other accounts are this host's from now on.
   *
   * @param counts - Whether this host still counts an account; others are forgotten.
   * @param now - A steady clock, in milliseconds.
   */
  retain(counts: (account: string) => boolean, now: number): void {
    this.since = now;
    for (const account of this.accounts.keys())
      if (!counts(account)) this.accounts.delete(account);
  }

  private of(
    account: string,
    quota: RequestQuota,
    now: number,
  ): CountedAccount {
    this.sweep(now);
    const known = this.accounts.get(account);
    if (known) return known;
    // What ran before at another host is not known: not the whole burst again.
    const level = Math.max(1, tolerated(quota, this.tolerance(), 'start'));
    const counted = {bucket: new QuotaBucket(this.since, level), askedAt: now};
    this.accounts.set(account, counted);
    return counted;
  }

  private sweep(now: number): void {
    if (now - this.sweptAt < SWEEP_MS) return;
    this.sweptAt = now;
    for (const [name, {askedAt}] of this.accounts)
      if (now - askedAt > IDLE_MS) this.accounts.delete(name);
  }
}
