/** Time that passes only when a test says so, and hosts that can be paused. */
import {createClock} from '@sinonjs/fake-timers';
import type {Clock} from '@oathead/core';

export interface VirtualClock extends Clock {
  /** Lets time pass, and all that happens in it. */
  pass(ms: number): Promise<void>;
}

export function virtualClock(): VirtualClock {
  const timers = createClock();
  return {
    now: () => timers.now,
    wallTime: () => timers.now,
    after(delayMs, callback) {
      const id = timers.setTimeout(callback, Math.max(0, delayMs));
      return {[Symbol.dispose]: () => timers.clearTimeout(id)};
    },
    pass: async ms => {
      await timers.tickAsync(ms);
    },
  };
}

/**
 * What a process sees of the world: while it is paused, time goes on and
 * answers arrive, but it notices nothing.
 */
export class FakeHost {
  private paused = false;
  private dead = false;
  private waiting: (() => void)[] = [];

  readonly clock: Clock;

  constructor(private readonly world: Clock) {
    this.clock = {
      now: () => world.now(),
      wallTime: () => world.wallTime(),
      after: (delayMs, callback) => {
        let cancelled = false;
        const timer = world.after(delayMs, () =>
          this.enter(() => {
            if (!cancelled) callback();
          }),
        );
        return {
          [Symbol.dispose]: () => {
            cancelled = true;
            timer[Symbol.dispose]();
          },
        };
      },
    };
  }

  pause(): void {
    this.paused = true;
  }

  resume(): void {
    this.paused = false;
    const waiting = this.waiting;
    this.waiting = [];
    for (const callback of waiting) callback();
  }

  kill(): void {
    this.dead = true;
    this.waiting = [];
  }

  /** Lets an answer from outside in, once the process runs. */
  async hear<T>(answer: Promise<T>): Promise<T> {
    const value = await answer;
    await new Promise<void>(resolve => this.enter(resolve));
    return value;
  }

  private enter(callback: () => void): void {
    if (this.dead) return;
    if (this.paused) this.waiting.push(callback);
    else callback();
  }
}
