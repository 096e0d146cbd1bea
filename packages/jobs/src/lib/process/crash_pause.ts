/**
 * Decides how long items wait after targets have crashed under them. Answers a
 * burst of crashes in which an item happens to run on one target after another.
 * An item never crashes targets by itself, so that it is owed however many have
 * crashed; the pauses bound the damage of one that does all the same.
 */

/** Number of crashes in a row after which the pauses grow. */
const FREE_CRASHES = 2;
/** The first pause that grows, and its growth with each further crash. */
const FIRST_PAUSE_MS = 500;
const PAUSE_GROWTH = 2;
/**
 * Longest pause, in milliseconds. An item that no target has had for five
 * seconds beside free slots counts as forgotten.
 */
const MAX_PAUSE_MS = 2000;

/**
 * @param crashes - Number of targets that have crashed in a row.
 * @returns How long the next run waits, in milliseconds.
 */
export function crashPauseMs(crashes: number): number {
  if (crashes <= FREE_CRASHES) return 0;
  const growth = PAUSE_GROWTH ** (crashes - FREE_CRASHES - 1);
  return Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * growth);
}
