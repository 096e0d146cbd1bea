/**
 * Time as the decisions see it. Production passes {@link SYSTEM_CLOCK}; tests
 * pass a virtual clock, so that no decision depends on the wall.
 */

/** A source of time and timers. */
export interface Clock {
  /** Milliseconds since an arbitrary origin that never goes back. */
  now(): number;
  /** Milliseconds since the Unix epoch, for people and for stored rows. */
  wallTime(): number;
  /**
   * Calls `callback` once, after `delayMs`.
   *
   * @returns A disposable that cancels the call.
   */
  after(delayMs: number, callback: () => void): Disposable;
}

/** The clock of the operating system. Its timers do not keep a process up. */
export const SYSTEM_CLOCK: Clock = {
  now: () => performance.now(),
  wallTime: () => Date.now(),
  after(delayMs, callback) {
    const timer = setTimeout(callback, delayMs);
    timer.unref();
    return {[Symbol.dispose]: () => clearTimeout(timer)};
  },
};

/**
 * Waits on a clock.
 *
 * @param clock - The clock to wait on.
 * @param delayMs - How long, in milliseconds.
 * @param signal - Ends the wait early when aborted.
 * @returns Resolves after the delay or on abort; never rejects.
 */
export function sleep(
  clock: Clock,
  delayMs: number,
  signal?: AbortSignal,
): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const done = () => {
      timer[Symbol.dispose]();
      signal?.removeEventListener('abort', done);
      resolve();
    };
    const timer = clock.after(delayMs, done);
    signal?.addEventListener('abort', done, {once: true});
  });
}

/**
 * Calls `task` again and again, each time `periodMs` after the last call has
 * settled, so that a slow call never overlaps itself.
 *
 * @param clock - The clock to wait on.
 * @param periodMs - The pause between calls, in milliseconds.
 * @param task - What to do; it reports its own errors as values.
 * @returns A disposable that ends the repetition.
 */
export function repeat(
  clock: Clock,
  periodMs: number,
  task: () => void | Promise<void>,
): Disposable {
  const stop = new AbortController();
  const run = async () => {
    while (!stop.signal.aborted) {
      await sleep(clock, periodMs, stop.signal);
      if (!stop.signal.aborted) await task();
    }
  };
  void run();
  return {[Symbol.dispose]: () => stop.abort()};
}
