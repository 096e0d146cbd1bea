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

/** A run that has ended, as far as the next idle timeout depends on it. */
export interface IdleEvidence {
  /** Whether the run ended by idle timeout. */
  readonly isSilent: boolean;
  /**
   * Whether the target has sent anything to this host in the second half of the
   * run: one that fell silent early in it is silent for all.
   */
  readonly isTargetActive: boolean;
  /** Whether the item has received an event. */
  readonly hasEvents: boolean;
}

/**
 * Guards against an item that is left at a target that has lost it, because
 * other targets have fallen silent under it before: only a target that sends
 * something to others shows that the item needs more time.
 *
 * @param idleTimeouts - Number of runs that lengthened the timeout before.
 * @param run - The run that has ended.
 * @returns The number from now on.
 */
export function idleTimeoutsAfter(
  idleTimeouts: number,
  {isSilent, isTargetActive, hasEvents}: IdleEvidence,
): number {
  if (isSilent) return isTargetActive ? idleTimeouts + 1 : idleTimeouts;
  return hasEvents ? 0 : idleTimeouts;
}

/**
 * Computes the timeout with exponential backoff.
 *
 * @param idleTimeouts - Number of runs that lengthen the timeout.
 * @returns Idle timeout of the next run, in milliseconds.
 */
export function idleTimeoutMs(idleTimeouts: number): number {
  return Math.min(
    INITIAL_IDLE_TIMEOUT_MS * 2 ** idleTimeouts,
    MAX_IDLE_TIMEOUT_MS,
  );
}
