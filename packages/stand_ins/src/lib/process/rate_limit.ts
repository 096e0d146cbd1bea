/** A token bucket, for the rates of the stand-ins. */
import type {Clock} from '@oathead/core';

const MS_PER_SECOND = 1000;

/** Lets a rate pass, and bursts of one second's worth. */
export class RateLimit {
  private available: number;
  private updatedAt: number;

  /**
   * @param clock - Time for the rate.
   * @param perSecond - The rate; `Infinity` for none.
   */
  constructor(
    private readonly clock: Clock,
    private readonly perSecond: number,
  ) {
    this.available = perSecond;
    this.updatedAt = clock.now();
  }

  /**
   * @param cost - How much of the rate is wanted. More than a second's worth
   *     passes when the bucket is full.
   * @returns 0 when it passes, else the milliseconds until it can.
   */
  take(cost: number): number {
    if (this.perSecond === Infinity) return 0;
    this.refill();
    const missing = Math.min(cost, this.perSecond) - this.available;
    if (missing > 0)
      return Math.ceil((missing * MS_PER_SECOND) / this.perSecond);
    this.available -= cost;
    return 0;
  }

  private refill(): void {
    const now = this.clock.now();
    const gained = ((now - this.updatedAt) * this.perSecond) / MS_PER_SECOND;
    this.available = Math.min(this.perSecond, this.available + gained);
    this.updatedAt = now;
  }
}
