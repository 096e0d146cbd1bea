/** Keeps the lease of this entry renewed, and tells when it could not be. */
import {sleep} from '@oathead/core';
import type {Clock, Random} from '@oathead/core';
import type {OwnLease, Renewal} from './own_lease.js';

/** Told what becomes of the lease. */
export interface LeaseListener {
  renewed(): void;
  /** It has run out by this entry's clock; nobody may have taken over yet. */
  lapsed(): void;
  /** Another entry ended it. */
  gone(): void;
}

const JITTER = 0.2;
const RETRY_MS = 1_000;

/** Keeps the lease of this entry renewed. */
export class LeaseKeeper implements Disposable {
  private readonly stopped = new AbortController();
  private kept = false;
  private leaving = false;
  private timer: Disposable | undefined;

  /**
   * @param deps - Clock and randomness.
   * @param lease - The lease.
   * @param renewMs - How often to renew, in milliseconds.
   * @param listener - Told what becomes of the lease.
   */
  constructor(
    private readonly deps: {readonly clock: Clock; readonly random: Random},
    private readonly lease: OwnLease,
    private readonly renewMs: number,
    private readonly listener: LeaseListener,
  ) {
    void this.loop();
  }

  /** Whether there is a lease to keep. */
  get keeping(): boolean {
    return this.kept;
  }

  /** Keeps the lease that was just created. */
  async begin(): Promise<void> {
    this.kept = true;
    this.take(await this.lease.renew(this.leaving));
  }

  /** Writes from now on that this entry is on its way out. */
  leave(): void {
    this.leaving = true;
  }

  /** Keeps the lease no more: another entry ended it. */
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
      this.take(renewal);
      const pauseMs = renewal === 'kept' ? this.renewMs : RETRY_MS;
      const jitter = 1 + JITTER * (random.float() - 0.5);
      await sleep(clock, pauseMs * jitter, signal);
    }
  }

  private take(renewal: Renewal): void {
    if (!this.kept || this.stopped.signal.aborted) return;
    if (renewal === 'gone') {
      this.listener.gone();
      return;
    }
    if (this.lease.valid()) this.listener.renewed();
    this.watchEnd();
  }

  private watchEnd(): void {
    const {clock} = this.deps;
    this.timer?.[Symbol.dispose]();
    const left = Math.max(0, this.lease.until - clock.now());
    this.timer = clock.after(left, () => {
      if (!this.lease.valid()) this.listener.lapsed();
    });
  }
}
