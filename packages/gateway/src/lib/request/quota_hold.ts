/**
 * The part of an account's quota that one request holds.
 *
 * A grant counts at the time of sending. A request that has waited long since
 * its grant must not be sent with it: an account could otherwise save up grants
 * and send more at once than its quota permits.
 */
import type {ClientAccount, Clock} from '@oathead/core';
import type {CallerAdmission} from '../process/caller_admission.js';

/**
 * Age of a grant up to which the request is sent with it, in milliseconds:
 * longer than the wait of a request that is sent within its latency objective,
 * and a small fraction of the windows in which quotas are counted.
 */
const GRANT_LIFETIME_MS = 300;

/** Dependencies of {@link QuotaHold}. */
export interface QuotaHoldContext {
  readonly clock: Clock;
  readonly admission: Pick<CallerAdmission, 'refundQuota' | 'takeQuota'>;
}

/** Whether a request may be sent, and with which grant. */
export type QuotaRenewal = 'kept' | 'renewed' | 'over';

/** Holds the quota of one request. */
export class QuotaHold {
  private isHeld = true;

  /**
   * @param context - Time, and the quotas of accounts.
   * @param account - Account of the request, whose quota was granted.
   * @param grantedAt - When it was granted, in monotonic milliseconds.
   */
  constructor(
    private readonly context: QuotaHoldContext,
    private readonly account: ClientAccount | undefined,
    private grantedAt: number,
  ) {}

  /**
   * Replaces a grant that is too old, right before the request is sent.
   *
   * @returns Whether it may be sent; after `over` it holds no quota.
   */
  async renew(): Promise<QuotaRenewal> {
    const {admission, clock} = this.context;
    if (!this.account?.quota) return 'kept';
    if (clock.now() - this.grantedAt <= GRANT_LIFETIME_MS) return 'kept';
    this.refund();
    const verdict = await admission.takeQuota(this.account);
    this.isHeld = verdict.kind === 'granted';
    this.grantedAt = clock.now();
    return this.isHeld ? 'renewed' : 'over';
  }

  /** Refunds the grant, because the request was not sent. */
  refund(): void {
    if (this.isHeld) this.context.admission.refundQuota(this.account);
    this.isHeld = false;
  }
}
