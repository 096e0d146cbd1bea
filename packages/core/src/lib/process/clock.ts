/**
 * Time source for the decision logic. Production passes {@link SYSTEM_CLOCK};
 * tests pass a virtual clock, so that no decision depends on real time.
 */

/** A source of time and timers. */
export interface Clock {
  /** Monotonic time in milliseconds since an arbitrary origin. */
  now(): number;
  /** Milliseconds since the Unix epoch, for display and for stored rows. */
  wallTime(): number;
  /**
   * Calls `callback` once, after `delayMs` milliseconds.
   *
   * @returns A disposable that cancels the call.
   */
  after(delayMs: number, callback: () => void): Disposable;
}

/**
 * The clock of the operating system. Its timers do not keep the process alive.
 */
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
 * @param delayMs - Delay in milliseconds.
 * @param signal - Ends the wait early when aborted.
 * @returns A promise that resolves after the delay or on abort; it never
 *     rejects.
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
 * Calls `task` repeatedly, each time `periodMs` after the previous call has
 * settled, so that calls never overlap.
 *
 * @param clock - The clock to wait on.
 * @param periodMs - Pause between calls, in milliseconds.
 * @param task - The task. It must handle its own errors and not reject.
 * @returns A disposable that stops the repetition.
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
