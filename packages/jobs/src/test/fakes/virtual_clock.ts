import type {Clock} from '@oathead/core';
import {createClock} from '@sinonjs/fake-timers';

/** A clock that only a test advances; promises settle between its timers. */
export class VirtualClock implements Clock {
  private readonly timers = createClock(0);

  now(): number {
    return this.timers.now;
  }

  wallTime(): number {
    return this.timers.now;
  }

  after(delayMs: number, callback: () => void): Disposable {
    const timer = this.timers.setTimeout(callback, delayMs);
    return {[Symbol.dispose]: () => this.timers.clearTimeout(timer)};
  }

  /** @param ms - How far to advance the clock, in milliseconds. */
  async advance(ms: number): Promise<void> {
    await this.timers.tickAsync(ms);
  }
}
