/** Time that passes only when a test says so. */
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
