/**
 * Whose request it is, and whether this host may say so now.
 *
 * Guards against a key that was withdrawn and goes on being served by a host that has
 * not heard of it: by key this host admits only while it knows that its configuration
 * was the newest a short while ago. A host that does not know refuses at once, so that
 * callers go elsewhere.
 */
import type {
  ClientAccount,
  Counters,
  FreshnessLease,
  QuotaVerdict,
} from '@oathead/core';
import type {RoutingState} from '../version/routing_state.js';
import type {Route} from '../version/routing_table.js';
import type {AccountQuotas} from './account_quotas.js';

/** Why a caller is not admitted. */
export type AdmissionRefusal =
  /** The route needs a key, and there is none that could be one. */
  | 'no-key'
  /** No account holds the key. */
  | 'unknown-key'
  /** This host has not heard from the store for too long to say. */
  | 'stale';

/** What came of looking at a caller's key. */
export type Admission =
  /** `account` is undefined for routes that need none. */
  | {readonly kind: 'admitted'; readonly account: ClientAccount | undefined}
  | {readonly kind: 'refused'; readonly reason: AdmissionRefusal};

/** What a {@link CallerAdmission} needs. */
export interface AdmissionContext {
  readonly routing: RoutingState;
  readonly freshness: FreshnessLease;
  readonly quotas: AccountQuotas;
  readonly counters: Counters;
}

const OPEN: Admission = {kind: 'admitted', account: undefined};
const WITHIN: QuotaVerdict = {kind: 'granted'};

/** Admits callers of one host. */
export class CallerAdmission {
  /** @param context - Accounts, quotas, and how recent the configuration is. */
  constructor(private readonly context: AdmissionContext) {}

  /** Whether the configuration has client accounts. */
  get inForce(): boolean {
    return this.context.routing.current?.table.accounts !== undefined;
  }

  /** Whether callers with keys can be admitted here now. */
  get isOpen(): boolean {
    return !this.inForce || this.context.freshness.isValid;
  }

  /**
   * @param key - As the caller sent it; undefined: none, or no key at all.
   * @param route - Where the request goes; undefined: to a batch job.
   * @returns Whose request it is, by what is known at this moment.
   */
  admit(key: string | undefined, route: Route | undefined): Admission {
    const admission = this.decide(key, route?.isPublic ?? false);
    const outcome =
      admission.kind === 'refused' ? admission.reason : admission.kind;
    this.context.counters.count('caller_admissions', {outcome});
    return admission;
  }

  /**
   * @param account - Whose request is about to run.
   * @returns Whether it is within the account's quota.
   */
  async takeQuota(account: ClientAccount | undefined): Promise<QuotaVerdict> {
    if (!account?.quota) return WITHIN;
    return this.context.quotas.take(account.name, account.quota);
  }

  /** @param account - Whose request was within the quota and did not run. */
  giveBackQuota(account: ClientAccount | undefined): void {
    if (account?.quota) this.context.quotas.giveBack(account.name);
  }

  /** What has to be known for a log line. */
  get view() {
    const {freshness, routing} = this.context;
    const ageMs = freshness.ageMs;
    return {
      configVersion: routing.current?.table.version,
      configAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
    };
  }

  private decide(key: string | undefined, isPublic: boolean): Admission {
    const accounts = this.context.routing.current?.table.accounts;
    if (!accounts) return OPEN;
    if (key === undefined)
      return isPublic ? OPEN : {kind: 'refused', reason: 'no-key'};
    // Whether a key is unknown is a question of freshness, too: it may be new.
    const isFresh = this.context.freshness.isValid;
    const account = isFresh ? accounts.ofKey(key) : undefined;
    if (account || isPublic) return {kind: 'admitted', account};
    return {kind: 'refused', reason: isFresh ? 'unknown-key' : 'stale'};
  }
}
