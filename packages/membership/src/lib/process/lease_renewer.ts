/** Renews the lease of this entry, and reports when it expires or ends. */
import {sleep} from '@oathead/core';
import type {Clock, Random} from '@oathead/core';
import type {OwnLease, Renewal} from './own_lease.js';

/** Receives the changes of the lease's state. */
export interface LeaseListener {
  /** Called after each attempt to renew if the lease is valid then. */
  renewed(): void;
  /**
   * The lease has expired by this entry's clock. Another entry may or may not
   * have taken over already.
   */
  expired(): void;
  /** Another entry ended the lease. */
  gone(): void;
}

/** Width of the random variation of the renewal interval, as a fraction. */
const JITTER = 0.2;
const RETRY_MS = 1_000;

/** Renews the lease of this entry periodically. */
export class LeaseRenewer implements Disposable {
  private readonly stopped = new AbortController();
  private kept = false;
  private leaving = false;
  private timer: Disposable | undefined;

  /**
   * @param deps - Clock and randomness.
   * @param lease - The lease.
   * @param renewMs - Interval between renewals, in milliseconds.
   * @param listener - Receives the changes of the lease's state.
   */
  constructor(
    private readonly deps: {readonly clock: Clock; readonly random: Random},
    private readonly lease: OwnLease,
    private readonly renewMs: number,
    private readonly listener: LeaseListener,
  ) {
    void this.loop();
  }

  /** Whether there is a lease to renew; it may have expired. */
  get active(): boolean {
    return this.kept;
  }

  /** Starts to renew the lease that was just created. */
  async begin(): Promise<void> {
    this.kept = true;
    this.handleRenewal(await this.lease.renew(this.leaving));
  }

  /** Marks this entry as draining in all further renewals. */
  announceLeaving(): void {
    this.leaving = true;
  }

  /**
   * Stops renewals after another entry ended the lease, and resets the lease so
   * that a new one can be created.
   */
  end(): void {
    this.kept = false;
    this.lease.restart();
    this.timer?.[Symbol.dispose]();
  }

  [Symbol.dispose](): void {
    this.stopped.abort();
    this.timer?.[Symbol.dispose]();
  }

  private async loop(): Promise<void> {
    const {clock, random} = this.deps;
    const {signal} = this.stopped;
    while (!signal.aborted) {
      const renewal = this.kept
        ? await this.lease.renew(this.leaving)
        : 'unsure';
      this.handleRenewal(renewal);
      const pauseMs = renewal === 'kept' ? this.renewMs : RETRY_MS;
      const jitter = 1 + JITTER * (random.float() - 0.5);
      await sleep(clock, pauseMs * jitter, signal);
    }
  }

  private handleRenewal(renewal: Renewal): void {
    if (!this.kept || this.stopped.signal.aborted) return;
    if (renewal === 'gone') {
      this.listener.gone();
      return;
    }
    if (this.lease.valid()) this.listener.renewed();
    this.scheduleExpiry();
  }

  private scheduleExpiry(): void {
    const {clock} = this.deps;
    this.timer?.[Symbol.dispose]();
    const remainingMs = Math.max(0, this.lease.expiresAt - clock.now());
    this.timer = clock.after(remainingMs, () => {
      if (!this.lease.valid()) this.listener.expired();
    });
  }
}
