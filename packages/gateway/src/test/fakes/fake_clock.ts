import {SYSTEM_CLOCK, type Clock} from '@oathead/core';

interface Timer {
  readonly at: number;
  readonly callback: () => void;
}

/** A clock that only a test advances. */
export class FakeClock implements Clock {
  private time = 0;
  private readonly timers = new Set<Timer>();

  now(): number {
    return this.time;
  }

  wallTime(): number {
    return SYSTEM_CLOCK.wallTime();
  }

  after(delayMs: number, callback: () => void): Disposable {
    const timer = {at: this.time + delayMs, callback};
    this.timers.add(timer);
    return {[Symbol.dispose]: () => void this.timers.delete(timer)};
  }

  /** @param ms - How far to advance the clock, in milliseconds. */
  advance(ms: number): void {
    this.time += ms;
    for (const timer of [...this.timers]) {
      if (timer.at > this.time) continue;
      this.timers.delete(timer);
      timer.callback();
    }
  }
}
