/**
 * Decides how long a failed item waits before it is run again. A target that
 * fails its runs at once has free slots at once, so without a delay an item
 * would use all its attempts within a tenth of a second, while it is due only
 * many seconds later. Called for each waiting item that has failed, in each
 * scheduling interval.
 */

/** A waiting item that has failed. */
export interface FailedItem {
  /** Number of attempts left. */
  readonly attemptsLeft: number;
  /** Time since the last failed run, in milliseconds. */
  readonly sinceFailureMs: number;
  /** Remaining time on a target, in milliseconds. */
  readonly remainingMs: number;
  /** Time until the item is due, in milliseconds; negative if overdue. */
  readonly untilDueMs: number;
  /** Time until the job is no longer kept, in milliseconds. */
  readonly untilExpiryMs: number;
}

/**
 * Share of the spare time that the last attempt waits. Each attempt before it
 * waits the same share of the delay of the next one, so that the delays grow
 * and most of the time is left for the attempts to run.
 */
const DELAY_SHARE = 1 / 3;
/**
 * Maximum delay, in milliseconds: longer than most failures of a target last.
 */
const MAX_DELAY_MS = 5000;

/**
 * @param item - A waiting item that has failed.
 * @returns How long the item has yet to wait, in milliseconds; at most zero if
 *   it may run now.
 */
export function retryDelayMs(item: FailedItem): number {
  const {attemptsLeft, sinceFailureMs} = item;
  const spareMs = spareTimeMs(item) + sinceFailureMs;
  const share = DELAY_SHARE ** Math.max(1, attemptsLeft);
  const delayMs = Math.min(spareMs * share, MAX_DELAY_MS);
  return delayMs - sinceFailureMs;
}

/**
 * The less time an item can spare before it is due, the sooner it runs; one
 * that is late already has until its job expires.
 */
function spareTimeMs({
  remainingMs,
  untilDueMs,
  untilExpiryMs,
}: FailedItem): number {
  const untilMs = untilDueMs < remainingMs ? untilExpiryMs : untilDueMs;
  return Math.max(0, untilMs - remainingMs);
}
