/**
 * Deterministic subsetting: selects the targets that an entry process keeps
 * connections to when there are too many for a full mesh. Each entry computes
 * its subset from the lists of entries and targets, without coordination.
 *
 * Each target is assigned to the `entriesPerTarget` entries that rank highest
 * for it by rendezvous hashing. Every target is thus covered, the control
 * traffic per target is constant, and when an entry leaves, each of its targets
 * moves to exactly one other entry.
 */
import {ranksWithin} from '../process/hash.js';

/**
 * @param entry - ID of the entry whose subset is computed.
 * @param entries - IDs of all entries, including `entry`.
 * @param targets - IDs of all targets of a pool.
 * @param entriesPerTarget - Number of entries that connect to each target.
 * @returns The targets that the entry connects to; all of them if there are no
 *     more than `entriesPerTarget` entries.
 */
export function subsetOf(
  entry: string,
  entries: readonly string[],
  targets: readonly string[],
  entriesPerTarget: number,
): readonly string[] {
  if (entries.length <= entriesPerTarget) return targets;
  return targets.filter(target =>
    ranksWithin(entriesPerTarget, target, entry, entries),
  );
}
