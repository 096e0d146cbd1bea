/**
 * How many runs may try again whether a part of prompts that is held still crashes
 * targets. Each trial of a guilty part costs a target and all that runs there, so
 * that a part may crash a few targets in all, whenever it was found.
 */
import type {PartCrash} from './service_history.js';

/** Crashes by which a part is usually found. */
const USUAL_CRASHES = 5;
/** Runs with the part that targets bear after these. */
const RUNS_BORNE = 3;
/** Crashes this soon after the last of the usual ones were under way, in ms. */
const UNDER_WAY_MS = 2000;
/** A sound part must have a chance to show it. */
const MIN_TRIALS = 1;

/**
 * @param crashes - The crashes of which a part is found guilty, by time.
 * @returns Number of trials.
 */
export function trialsAllowed(crashes: readonly PartCrash[]): number {
  const usual = crashes[USUAL_CRASHES - 1];
  // One more crash may not have been heard of yet.
  if (!usual) return RUNS_BORNE + USUAL_CRASHES - crashes.length - 1;
  const isLate = ({atMs}: PartCrash) => atMs - usual.atMs > UNDER_WAY_MS;
  return Math.max(MIN_TRIALS, RUNS_BORNE - crashes.filter(isLate).length);
}
