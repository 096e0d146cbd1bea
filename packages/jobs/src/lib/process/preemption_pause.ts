/**
 * Decides how long an item waits after a preemption. Answers an overload in
 * which slots are free for some milliseconds at a time: an item that starts
 * there is preempted before it receives an event, and each of its runs reads
 * the prompt for nothing, at the cost of the online requests beside it.
 */

/**
 * Pause after a preemption, in milliseconds: until the next requests of the
 * burst have been placed.
 */
const FIRST_PAUSE_MS = 250;
/** Number of fruitless runs in a row after which the pauses grow. */
const FREE_RUNS = 4;
/** Growth of the pause with each further fruitless run. */
const PAUSE_GROWTH = 2;
/**
 * Longest pause, in milliseconds. An item that no target has had for five
 * seconds beside free slots counts as forgotten.
 */
const MAX_PAUSE_MS = 2000;

/**
 * @param fruitlessRuns - Number of runs in a row that ended by preemption
 *   before the item received an event.
 * @returns How long the next run waits, in milliseconds.
 */
export function preemptionPauseMs(fruitlessRuns: number): number {
  const growth = PAUSE_GROWTH ** Math.max(0, fruitlessRuns - FREE_RUNS);
  return Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * growth);
}
