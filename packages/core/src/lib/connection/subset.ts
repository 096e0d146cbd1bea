/**
 * Which targets an entry keeps connections to, when there are too many for all.
 * Every entry works it out by itself from the two lists; nothing is agreed on.
 *
 * Each target is given to the `entriesPerTarget` entries that rank highest for
 * it by rendezvous hashing: so every target is covered, the load of control
 * traffic on a target is constant, and when an entry goes only the targets that
 * had it are given to one other entry each.
 */
import {ranksWithin} from '../process/hash.js';

/**
 * @param entry - The entry that asks.
 * @param entries - All entries, itself among them.
 * @param targets - All targets of a pool.
 * @param entriesPerTarget - Entries that keep a connection to one target.
 * @returns The targets that the entry keeps a connection to.
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
