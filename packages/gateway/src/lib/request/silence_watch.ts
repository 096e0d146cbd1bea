/** Detects targets that send nothing for too long during a request. */
import type {ExchangeControl} from './exchange.js';

/**
 * How long a target may send nothing before a request that can be retried is
 * moved to another target, in milliseconds. Well above the pauses of an engine
 * under load.
 */
const TARGET_SILENCE_TIMEOUT_MS = 1200;

/**
 * Ends a run as silent if its target has sent nothing for too long.
 *
 * @param movableRun - Returns the current run; undefined if there is none, or
 *     if the request cannot be retried elsewhere.
 * @param now - Returns the monotonic time, in milliseconds.
 * @returns Stops the watch when disposed.
 */
export function watchSilence(
  movableRun: () => ExchangeControl | undefined,
  now: () => number,
): Disposable {
  const timer = setInterval(() => {
    const run = movableRun();
    if (run && run.silentMs(now()) > TARGET_SILENCE_TIMEOUT_MS)
      run.end('silent');
  }, TARGET_SILENCE_TIMEOUT_MS / 4);
  return {[Symbol.dispose]: () => clearInterval(timer)};
}
