/**
 * Checks right before an online request is sent whether it still may be. A key
 * may have been revoked, or the process may have stalled, while the request
 * waited, and a quota grant counts at the time of sending.
 */
import type {
  AdmissionRefusal,
  CallerAdmission,
} from '../process/caller_admission.js';
import type {AdmittedRequest} from './admitted_request.js';
import {QuotaHold, type QuotaHoldContext} from './quota_hold.js';
import type {SenderAccount} from './target_protocol.js';

/** Dependencies of {@link SendAdmission}. */
export interface SendAdmissionContext extends QuotaHoldContext {
  readonly admission: CallerAdmission;
}

/** Why a request must not be sent. */
export type SendRefusal = AdmissionRefusal | 'over-quota';

/** Admission and quota of one request. */
export class SendAdmission {
  private readonly quota: QuotaHold;

  /**
   * @param context - Admission of callers.
   * @param admitted - The request.
   * @param key - The key that its caller sent.
   */
  constructor(
    private readonly context: SendAdmissionContext,
    private readonly admitted: AdmittedRequest,
    private readonly key: string | undefined,
  ) {
    this.quota = new QuotaHold(context, admitted);
  }

  /** Account to state to targets; undefined without client accounts. */
  get senderAccount(): SenderAccount | undefined {
    if (!this.context.admission.hasAccounts) return undefined;
    return {name: this.admitted.account?.name};
  }

  /** @returns Why the caller is not admitted any more; undefined if it is. */
  recheck(): AdmissionRefusal | undefined {
    const {account, route} = this.admitted;
    const now = this.context.admission.admit(this.key, route);
    if (now.kind === 'refused') return now.reason;
    return now.account?.name === account?.name ? undefined : 'unknown-key';
  }

  /**
   * Replaces the quota grant if it is too old.
   *
   * @returns Why the request must not be sent; undefined if it may be.
   */
  async renewQuota(): Promise<SendRefusal | undefined> {
    switch (await this.quota.renew()) {
      case 'kept':
        return undefined;
      case 'over':
        return 'over-quota';
      case 'renewed':
        return this.recheck();
    }
  }

  /**
   * Refunds the quota, because the request was not sent.
   *
   * @param returnsInMs - When its caller was told to return, in milliseconds;
   *     undefined if it was not.
   */
  refundQuota(returnsInMs?: number): void {
    const {returning} = this.admitted;
    this.quota.refund(returning ? undefined : returnsInMs);
  }
}
