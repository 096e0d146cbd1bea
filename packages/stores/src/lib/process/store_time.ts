/** Estimates the store's monotonic clock from its responses. */
import type {Clock} from '@oathead/core';

/** Estimate of the store's clock, kept by one host. */
export class StoreTime {
  /** The store's clock at a time of this host's clock, in milliseconds. */
  private estimate: {readonly ms: number; readonly at: number} | undefined;

  /** @param clock - The monotonic clock of this host. */
  constructor(private readonly clock: Clock) {}

  /** The store's time in milliseconds; undefined before the first response. */
  get currentMs(): number | undefined {
    if (!this.estimate) return undefined;
    return this.estimate.ms + this.clock.now() - this.estimate.at;
  }

  /**
   * Corrects the estimate with a response. The store's clock has gone on since
   * the response by the duration of the call at most, so that a delayed one
   * hardly changes the estimate. Guards against clocks of hosts that run ahead
   * of the store's.
   *
   * @param ms - The store's time in the response.
   * @param startedAt - When the call was started, on this host's clock.
   */
  record(ms: number, startedAt: number): void {
    const at = this.clock.now();
    const latestMs = ms + at - startedAt;
    const currentMs = this.currentMs ?? ms;
    this.estimate = {ms: Math.min(Math.max(currentMs, ms), latestMs), at};
  }
}
