/**
 * Enforces the quotas of the client accounts whose quota owner is this host, on
 * behalf of all hosts.
 */
import type {RequestQuota} from '../version/client_account.js';
import {
  QuotaBucket,
  toleratedExcess,
  type QuotaTolerance,
  type QuotaVerdict,
} from './quota_bucket.js';

/**
 * Time after which an unused bucket is removed, in milliseconds. The bucket is
 * full by then.
 */
const IDLE_TIMEOUT_MS = 60_000;
/** Interval between removals of unused buckets, in milliseconds. */
const SWEEP_INTERVAL_MS = 10_000;

interface CountedAccount {
  readonly bucket: QuotaBucket;
  lastUsedAt: number;
}

/** Token buckets by account. */
export class QuotaEnforcer {
  private readonly accounts = new Map<string, CountedAccount>();
  private sweptAt = -Infinity;

  /**
   * @param tolerance - Returns the current tolerance of quotas.
   * @param since - Time since which this host counts, on a monotonic clock in
   *     milliseconds.
   */
  constructor(
    private readonly tolerance: () => QuotaTolerance,
    private since: number,
  ) {}

  /**
   * @param account - Name of the account.
   * @param quota - Current quota of the account.
   * @param now - Time on a monotonic clock, in milliseconds.
   * @returns The decision on one more request of the account.
   */
  take(account: string, quota: RequestQuota, now: number): QuotaVerdict {
    const tolerance = this.tolerance();
    const counted = this.accountFor(account, quota, now);
    counted.lastUsedAt = now;
    return counted.bucket.take(quota, tolerance, now);
  }

  /** @param account - Name of an account, one of whose requests did not run. */
  refund(account: string): void {
    this.accounts.get(account)?.bucket.refund();
  }

  /**
   * Applies a new assignment of accounts to quota owners.
   *
   * @param counts - Whether this host is the quota owner of an account; the
   *     buckets of others are removed.
   * @param now - Time on a monotonic clock, in milliseconds.
   */
  retain(counts: (account: string) => boolean, now: number): void {
    this.since = now;
    for (const account of this.accounts.keys())
      if (!counts(account)) this.accounts.delete(account);
  }

  private accountFor(
    account: string,
    quota: RequestQuota,
    now: number,
  ): CountedAccount {
    this.sweep(now);
    const existing = this.accounts.get(account);
    if (existing) return existing;
    // Requests counted earlier by another host are unknown; starting with the
    // full burst could grant it twice.
    const level = Math.max(
      1,
      toleratedExcess(quota, this.tolerance(), 'start'),
    );
    const counted = {
      bucket: new QuotaBucket(this.since, level),
      lastUsedAt: now,
    };
    this.accounts.set(account, counted);
    return counted;
  }

  private sweep(now: number): void {
    if (now - this.sweptAt < SWEEP_INTERVAL_MS) return;
    this.sweptAt = now;
    for (const [name, {lastUsedAt}] of this.accounts)
      if (now - lastUsedAt > IDLE_TIMEOUT_MS) this.accounts.delete(name);
  }
}
