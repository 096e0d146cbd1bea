/** Virtual time for tests, demos and benches. */
import type {Clock} from '@oathead/core';
import {createClock} from '@sinonjs/fake-timers';

const EPOCH_MS = Date.UTC(2030, 0, 1);

/**
 * A clock that moves only when told. Between two timers it lets all promises
 * settle, so that `await`s behave as on the wall.
 */
export class VirtualClock implements Clock {
  private readonly timers = createClock(0);
  private fired = 0;

  now(): number {
    return this.timers.now;
  }

  wallTime(): number {
    return EPOCH_MS + this.timers.now;
  }

  after(delayMs: number, callback: () => void): Disposable {
    const fire = () => {
      this.fired++;
      callback();
    };
    const timer = this.timers.setTimeout(fire, delayMs);
    return {[Symbol.dispose]: () => this.timers.clearTimeout(timer)};
  }

  /**
   * Moves on and fires all timers that are due, each at its own time. Only one
   * call of this or of {@link until} may be under way.
   *
   * @param ms - How far, in milliseconds.
   */
  async advance(ms: number): Promise<void> {
    await settle();
    // Keeps `next` from going further than the end.
    let reached = false;
    this.timers.setTimeout(() => (reached = true), ms);
    while (!reached) {
      this.timers.next();
      await settle();
    }
    await this.fireRest();
  }

  /**
   * Moves on until a promise has settled.
   *
   * @param promise - What to wait for.
   * @param limitMs - The longest wait, in milliseconds of this clock.
   * @returns What the promise resolves to.
   * @throws What it rejects with, or an error at the limit.
   */
  async until<T>(promise: Promise<T>, limitMs = 3_600_000): Promise<T> {
    let over = false;
    const end = () => (over = true);
    promise.then(end, end);
    await settle();
    const limit = this.timers.setTimeout(end, limitMs);
    while (!over) {
      this.timers.next();
      await settle();
    }
    this.timers.clearTimeout(limit);
    const late = `not settled after ${limitMs} ms, at ${this.now()}`;
    const unsettled = Promise.reject(new Error(late));
    return Promise.race([promise, unsettled]);
  }

  /** Fires what has become due at this very time, again and again. */
  private async fireRest(): Promise<void> {
    let before: number;
    do {
      before = this.fired;
      this.timers.tick(0);
      await settle();
    } while (this.fired > before);
  }
}

/** Lets promises settle, however long their chains are. */
function settle(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
