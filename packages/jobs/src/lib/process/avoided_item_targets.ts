/**
 * Decides on which targets a failed item should not run again. Called whenever
 * a target is selected for such an item.
 */
import type {ItemEstimate} from './item_durations.js';

/**
 * An item runs where it failed before it is late or its job expires, if the
 * time until then is less than this multiple of its remaining time.
 */
const DURATION_FACTOR = 2;

/**
 * Leaves at least one target. If all have failed the item, the one that failed
 * it the longest time ago is the most likely to have recovered.
 *
 * @param failedTargets - IDs of the targets that failed the item, the latest
 *   last.
 * @param available - IDs of the targets of its service that could run it, now
 *   or when they have a free slot.
 * @returns IDs of the targets to avoid.
 */
export function avoidedItemTargets(
  failedTargets: readonly string[],
  available: readonly string[],
): ReadonlySet<string> {
  const known = new Set(available);
  const failed = failedTargets.filter(id => known.has(id));
  const keepsOne = failed.length < known.size;
  return new Set(keepsOne ? failed : failed.slice(1));
}

/**
 * @param estimate - Estimate of an item for which none of the other targets has
 *   a free slot.
 * @param untilExpiryMs - Time until its job is no longer kept, in milliseconds.
 * @returns Whether it should run on a target that failed it rather than wait.
 */
export function mayRunAnywhere(
  {urgency, remainingMs}: Pick<ItemEstimate, 'urgency' | 'remainingMs'>,
  untilExpiryMs: number,
): boolean {
  return urgency === 'pressed' || untilExpiryMs < remainingMs * DURATION_FACTOR;
}
