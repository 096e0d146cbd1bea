/**
 * Authenticates callers by API key and checks their quotas.
 *
 * A revoked key must not be served by a host that has missed the revocation. A
 * host therefore admits requests by key only while it knows that its
 * configuration was the latest one a short time ago. Otherwise it refuses them
 * at once, so that callers go to another host.
 */
import type {
  ClientAccount,
  Counters,
  FreshnessLease,
  QuotaDemand,
  QuotaVerdict,
} from '@oathead/core';
import type {RoutingState} from '../version/routing_state.js';
import type {Route} from '../version/routing_table.js';
import type {AccountQuotas, CallerReturn} from './account_quotas.js';

/** Reason for which a caller is not admitted. */
export type AdmissionRefusal =
  /** The route requires a key, and the request has none that is well-formed. */
  | 'no-key'
  /** No account has this key. */
  | 'unknown-key'
  /**
   * The configuration may be outdated, because the store has been unreachable
   * for too long.
   */
  | 'stale';

/** Result of checking a caller's key. */
export type Admission =
  /** `account` is undefined for routes that do not require one. */
  | {readonly kind: 'admitted'; readonly account: ClientAccount | undefined}
  | {readonly kind: 'refused'; readonly reason: AdmissionRefusal};

/** Dependencies of {@link CallerAdmission}. */
export interface AdmissionContext {
  readonly routing: RoutingState;
  readonly freshness: FreshnessLease;
  readonly quotas: AccountQuotas;
  readonly counters: Counters;
}

const ADMITTED_WITHOUT_ACCOUNT: Admission = {
  kind: 'admitted',
  account: undefined,
};
const WITHIN_QUOTA: QuotaVerdict = {kind: 'granted'};

/** Admits the callers of one host. */
export class CallerAdmission {
  /**
   * @param context - Accounts, quotas and the freshness of the configuration.
   */
  constructor(private readonly context: AdmissionContext) {}

  /** Whether the configuration has client accounts. */
  get hasAccounts(): boolean {
    return this.context.routing.current?.table.accounts !== undefined;
  }

  /** Whether this host can currently admit callers by key. */
  get canAdmitByKey(): boolean {
    return !this.hasAccounts || this.context.freshness.isValid;
  }

  /**
   * @param key - The key that the caller sent; undefined if it is missing or
   *     malformed.
   * @param route - Route of the request; undefined for requests of the batch
   *     API.
   * @returns The account of the request, or why it is refused.
   */
  admit(key: string | undefined, route: Route | undefined): Admission {
    const admission = this.decide(key, route?.isPublic ?? false);
    const outcome =
      admission.kind === 'refused' ? admission.reason : admission.kind;
    this.context.counters.count('caller_admissions', {outcome});
    return admission;
  }

  /**
   * Consumes one request of an account's quota. The grant is good while
   * `isGrantGood` says so; a request that is sent later needs a new one.
   *
   * @param account - Account of a request that is about to run.
   * @param demand - What the quota owner has to know of the request.
   * @returns Whether the request is within the account's quota.
   */
  async takeQuota(
    account: ClientAccount | undefined,
    demand?: QuotaDemand,
  ): Promise<QuotaVerdict> {
    if (!account?.quota) return WITHIN_QUOTA;
    return this.context.quotas.take(account.name, account.quota, demand);
  }

  /**
   * Refunds the quota of a request that was granted and did not run.
   *
   * @param account - Account of the request.
   * @param grantedAt - Time of its grant; undefined if unknown.
   * @param returning - When its caller returns; undefined if it does not.
   */
  refundQuota(
    account: ClientAccount | undefined,
    grantedAt?: number,
    returning?: CallerReturn,
  ): void {
    if (!account?.quota) return;
    this.context.quotas.refund(account.name, grantedAt, returning);
  }

  /** Configuration version and age, for log lines. */
  get logFields() {
    const {freshness, routing} = this.context;
    const ageMs = freshness.ageMs;
    return {
      configVersion: routing.current?.table.version,
      configAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
    };
  }

  private decide(key: string | undefined, isPublic: boolean): Admission {
    const accounts = this.context.routing.current?.table.accounts;
    if (!accounts) return ADMITTED_WITHOUT_ACCOUNT;
    if (key === undefined)
      return isPublic
        ? ADMITTED_WITHOUT_ACCOUNT
        : {kind: 'refused', reason: 'no-key'};
    // An unknown key may be a new one, so a host with a stale configuration
    // must not report it as unknown.
    const isFresh = this.context.freshness.isValid;
    const account = isFresh ? accounts.findByKey(key) : undefined;
    if (account || isPublic) return {kind: 'admitted', account};
    return {kind: 'refused', reason: isFresh ? 'unknown-key' : 'stale'};
  }
}
