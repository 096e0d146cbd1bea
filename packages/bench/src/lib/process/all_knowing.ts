/**
 * A router that looks into every engine's cache at the moment of the choice:
 * what entries, who learn late and in part, are measured against.
 */
import type {Router} from './policy_run.js';

/** Load that a cached prefix is worth at most, in online requests. */
const WORTH = 8;

/**
 * @param ask - What a target is wanted for.
 * @param targets - All targets.
 * @returns The least loaded of those that have the prefix cached; of all, when
 *     none has it or those are much busier.
 */
export const allKnowing: Router = (ask, targets) => {
  const open = targets.filter(({id}) => !ask.tried.has(id));
  const loads = new Map(open.map(target => [target, target.onlineLoad()]));
  const byLoad = [...open].sort((a, b) => loads.get(a)! - loads.get(b)!);
  const idlest = byLoad[0];
  const cached = byLoad.find(
    target => ask.prefix !== undefined && target.hasCached(ask.prefix),
  );
  if (idlest === undefined || cached === undefined) return idlest?.id;
  const extra = loads.get(cached)! - loads.get(idlest)!;
  return extra > WORTH ? idlest.id : cached.id;
};
