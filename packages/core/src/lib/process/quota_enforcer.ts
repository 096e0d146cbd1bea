/**
 * Enforces the quotas of the client accounts whose quota owner is this host, on
 * behalf of all hosts.
 */
import type {RequestQuota} from '../version/client_account.js';
import {QuotaLedger, type EarlierGrants} from './quota_ledger.js';
import {
  quotaLimits,
  type QuotaDemand,
  type QuotaLimits,
  type QuotaReturn,
  type QuotaTolerance,
  type QuotaVerdict,
} from './quota_tolerance.js';

/**
 * Time after which an unused ledger is removed, in milliseconds. All grants
 * have left the window by then.
 */
const IDLE_TIMEOUT_MS = 60_000;
/** Interval between removals of unused ledgers, in milliseconds. */
const SWEEP_INTERVAL_MS = 10_000;

interface CountedAccount {
  readonly ledger: QuotaLedger;
  limits: QuotaLimits;
  lastUsedAt: number;
}

/** Dependencies of a {@link QuotaEnforcer}. */
export interface QuotaEnforcerContext {
  /** @returns The current tolerance of quotas. */
  readonly tolerance: () => QuotaTolerance;
  /**
   * @returns The time since which this host has been the quota owner of an
   *     account, on a monotonic clock in milliseconds.
   */
  readonly since: (account: string) => number;
}

/** What an account needs so that fewer of its requests are refused. */
export type QuotaNeed = 'knowledge' | 'ahead' | undefined;

/** Ledgers by account. */
export class QuotaEnforcer {
  private readonly accounts = new Map<string, CountedAccount>();
  private sweptAt = -Infinity;
  private lapsed = 0;

  /** @param context - Tolerance and ownership of accounts. */
  constructor(private readonly context: QuotaEnforcerContext) {}

  /**
   * @param account - Name of the account.
   * @param quota - Current quota of the account.
   * @param demand - The request.
   * @param now - Time on a monotonic clock, in milliseconds.
   * @returns The decision on one more request of the account.
   */
  take(
    account: string,
    quota: RequestQuota,
    demand: QuotaDemand,
    now: number,
  ): QuotaVerdict {
    const counted = this.accountFor(account, quota, now);
    counted.lastUsedAt = now;
    const verdict = counted.ledger.take(counted.limits, demand, now);
    this.lapsed += counted.ledger.takeLapsed();
    return verdict;
  }

  /**
   * Refunds a request that did not run.
   *
   * @param account - Name of the account.
   * @param grantedAt - Time of the grant on a monotonic clock, in milliseconds;
   *     undefined if unknown.
   * @param returning - When its caller returns; undefined if it does not.
   */
  refund(
    account: string,
    grantedAt: number | undefined,
    returning?: QuotaReturn,
  ): void {
    this.accounts.get(account)?.ledger.refund(grantedAt, returning);
  }

  /**
   * @param account - Name of the account.
   * @param renewMs - How long before its end a permission to go ahead is to be
   *     renewed, in milliseconds.
   * @param now - Time on a monotonic clock, in milliseconds.
   * @returns What the account needs.
   */
  needOf(account: string, renewMs: number, now: number): QuotaNeed {
    const counted = this.accounts.get(account);
    if (!counted) return undefined;
    const {ledger, limits} = counted;
    if (ledger.needsKnowledge(limits, now)) return 'knowledge';
    return ledger.needsAhead(limits, renewMs, now) ? 'ahead' : undefined;
  }

  /**
   * Learns about the grants of earlier owners.
   *
   * @param earlierGrants - What is known, by account; it must have been read
   *     when the account needed it.
   * @param now - Time at which it was asked for, on a monotonic clock in
   *     milliseconds.
   */
  learn(earlierGrants: (account: string) => EarlierGrants, now: number): void {
    for (const [name, {ledger, limits}] of this.accounts)
      if (ledger.needsKnowledge(limits, now))
        ledger.learn(earlierGrants(name), limits);
  }

  /**
   * @param account - Account that may go ahead of the even pace.
   * @param until - Time at which this ends, on a monotonic clock in
   *     milliseconds.
   */
  allowAhead(account: string, until: number): void {
    this.accounts.get(account)?.ledger.allowAhead(until);
  }

  /**
   * Applies a new assignment of accounts to quota owners.
   *
   * @param counts - Whether this host is the quota owner of an account; the
   *     ledgers of others are removed.
   */
  retain(counts: (account: string) => boolean): void {
    for (const account of this.accounts.keys())
      if (!counts(account)) this.accounts.delete(account);
  }

  /**
   * Makes no assumption about other owners any more, as after a suspension of
   * this host.
   *
   * @param now - Time on a monotonic clock, in milliseconds.
   */
  distrust(now: number): void {
    for (const {ledger} of this.accounts.values()) ledger.distrust(now);
  }

  /** @returns The number of lapsed reservations since the last call. */
  takeLapsed(): number {
    const {lapsed} = this;
    this.lapsed = 0;
    return lapsed;
  }

  private accountFor(
    account: string,
    quota: RequestQuota,
    now: number,
  ): CountedAccount {
    this.sweep(now);
    const limits = quotaLimits(quota, this.context.tolerance());
    const existing = this.accounts.get(account);
    if (existing) {
      existing.limits = limits;
      return existing;
    }
    const since = this.context.since(account);
    const ledger = new QuotaLedger(since, limits, now);
    const counted = {ledger, limits, lastUsedAt: now};
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
