/**
 * The part of an account's quota that one request holds.
 *
 * A grant counts at the time of sending. A request that has waited long since
 * its grant must not be sent with it: an account could otherwise save up grants
 * and send more at once than its quota permits.
 */
import {isGrantGood, type Clock} from '@oathead/core';
import type {CallerAdmission} from '../process/caller_admission.js';
import type {AdmittedRequest} from './admitted_request.js';
import {quotaDemand, quotaKey} from './quota_demand.js';
import type {TargetProtocol} from './target_protocol.js';

/** Dependencies of {@link QuotaHold}. */
export interface QuotaHoldContext {
  readonly clock: Clock;
  readonly protocol: TargetProtocol;
  readonly admission: Pick<CallerAdmission, 'refundQuota' | 'takeQuota'>;
}

/** Whether a request may be sent, and with which grant. */
export type QuotaRenewal = 'kept' | 'renewed' | 'over';

/** Holds the quota of one request. */
export class QuotaHold {
  private isHeld = true;
  private grantedAt: number | undefined;

  /**
   * @param context - Time, and the quotas of accounts.
   * @param admitted - The request, whose quota was granted.
   */
  constructor(
    private readonly context: QuotaHoldContext,
    private readonly admitted: AdmittedRequest,
  ) {
    this.grantedAt = admitted.grantedAt;
  }

  /**
   * Replaces a grant that is too old, right before the request is sent.
   *
   * @returns Whether it may be sent; after `over` it holds no quota.
   */
  async renew(): Promise<QuotaRenewal> {
    const {admission, clock} = this.context;
    const {account} = this.admitted;
    if (!account?.quota || isGrantGood(this.grantedAt, clock.now()))
      return 'kept';
    // The room of the old grant is kept for the new one.
    this.refund(0);
    const demand = quotaDemand(this.admitted, this.context);
    const verdict = await admission.takeQuota(account, {
      ...demand,
      returning: true,
    });
    if (verdict.kind === 'over') return 'over';
    this.isHeld = true;
    this.grantedAt = verdict.grantedAt;
    return 'renewed';
  }

  /**
   * Refunds the grant, because the request was not sent.
   *
   * @param returnsInMs - Time until its caller returns, in milliseconds;
   *     undefined if it does not.
   */
  refund(returnsInMs?: number): void {
    const {account, fingerprint} = this.admitted;
    const returning =
      returnsInMs === undefined
        ? undefined
        : {inMs: returnsInMs, key: quotaKey(fingerprint)};
    if (this.isHeld)
      this.context.admission.refundQuota(account, this.grantedAt, returning);
    this.isHeld = false;
  }
}
