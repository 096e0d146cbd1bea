/** A sum whose parts count less the older they are. */
export class DecayedSum {
  private sum = 0;
  private addedAt = -Infinity;

  /**
   * @param amount - What to add; negative to take it back, down to 0.
   * @param now - Time on a monotonic clock, in milliseconds.
   * @param memoryMs - Age at which a part counts 1/e of its amount.
   */
  add(amount: number, now: number, memoryMs: number): void {
    this.sum = Math.max(0, this.valueAt(now, memoryMs) + amount);
    this.addedAt = now;
  }

  /**
   * @param now - Time on a monotonic clock, in milliseconds.
   * @param memoryMs - Age at which a part counts 1/e of its amount.
   * @returns The sum as of now.
   */
  valueAt(now: number, memoryMs: number): number {
    if (this.sum === 0) return 0;
    return this.sum * Math.exp(-Math.max(0, now - this.addedAt) / memoryMs);
  }
}
