/** A clock that runs faster, so that demonstrations are quick. */
import type {Clock} from '@oathead/core';

/** Another clock, sped up. */
export class ScaledClock implements Clock {
  /**
   * @param clock - The clock that runs at normal speed.
   * @param speed - How many times as fast this one runs.
   */
  constructor(
    private readonly clock: Clock,
    private readonly speed: number,
  ) {}

  now(): number {
    return this.clock.now() * this.speed;
  }

  wallTime(): number {
    return this.clock.wallTime();
  }

  after(delayMs: number, callback: () => void): Disposable {
    return this.clock.after(delayMs / this.speed, callback);
  }
}
