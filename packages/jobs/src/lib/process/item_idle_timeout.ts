/**
 * Idle timeout for the run of an item, after which the run ends and the item is
 * scheduled again on any target.
 *
 * Guards against items of an accepted job that never complete although targets
 * have capacity: a target stops responding, or the connection stays open
 * without data, and nothing else ends the run. During bursts on fully loaded
 * engines, an item waits for a slot behind online requests and receives nothing
 * meanwhile; ending its run loses its place in the queue. Doubling the timeout
 * ensures that an item on a slow engine is not ended repeatedly.
 */

/**
 * Idle timeout of an item's first run, in milliseconds: longer than the wait
 * for a slot on a fully loaded engine, and short against the time within which
 * items are due.
 */
const INITIAL_IDLE_TIMEOUT_MS = 4000;
/** Upper bound of the idle timeout, in milliseconds. */
const MAX_IDLE_TIMEOUT_MS = 60_000;

/**
 * Computes the timeout with exponential backoff.
 *
 * @param idleTimeouts - Number of runs of the item that ended by idle timeout.
 * @returns Idle timeout of the next run, in milliseconds.
 */
export function idleTimeoutMs(idleTimeouts: number): number {
  return Math.min(
    INITIAL_IDLE_TIMEOUT_MS * 2 ** idleTimeouts,
    MAX_IDLE_TIMEOUT_MS,
  );
}
