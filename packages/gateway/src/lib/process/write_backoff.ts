/** Delays between the writes of rows that the store does not take. */
import {sleep, type Clock} from '@oathead/core';

/** Maximum number of writes of one row, conflicts included. */
export const MAX_WRITES = 24;
/**
 * Delay after the first failed write, in milliseconds, and the largest one: all
 * writes end within a minute and a half, by when crashes do not count any more.
 */
const FIRST_DELAY_MS = 250;
const MAX_DELAY_MS = 4000;

/** Waits longer from one failed write to the next. */
export class WriteBackoff {
  private delayMs = FIRST_DELAY_MS;

  /** @param clock - Waits. */
  constructor(private readonly clock: Clock) {}

  /** Waits until the next write may be made. */
  async wait(): Promise<void> {
    await sleep(this.clock, this.delayMs);
    this.delayMs = Math.min(2 * this.delayMs, MAX_DELAY_MS);
  }
}
