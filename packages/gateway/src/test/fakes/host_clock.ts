/** Clocks of simulated hosts, which may stand still. */
import type {Clock} from '@oathead/core';
import {FakeClock} from './fake_clock.js';

/** A clock whose time of day advances with it. */
export class VirtualClock extends FakeClock {
  override wallTime(): number {
    return this.now();
  }
}

/** The clock of one host, whose timers wait while it is frozen. */
export class HostClock implements Clock {
  /** What is to run when the host wakes; undefined if it is not frozen. */
  deferred: (() => void)[] | undefined;

  constructor(private readonly shared: Clock) {}

  now(): number {
    return this.shared.now();
  }

  wallTime(): number {
    return this.shared.wallTime();
  }

  after(delayMs: number, callback: () => void): Disposable {
    return this.shared.after(delayMs, () => this.run(callback));
  }

  run(callback: () => void): void {
    if (this.deferred) this.deferred.push(callback);
    else callback();
  }
}
