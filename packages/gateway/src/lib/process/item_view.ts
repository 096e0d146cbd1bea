/** Counts what a waiting item finds among the targets of its service. */
import {targetKey} from '../connection/load_message.js';
import type {LoadTable} from './load_table.js';
import type {TargetDirectory} from './target_directory.js';
import type {TargetSuspensions} from './target_suspensions.js';

/** Targets of a service from the point of view of a waiting item. */
export interface ItemView {
  readonly targets: number;
  /** Targets that have failed this host a moment ago. */
  readonly suspended: number;
  /**
   * Targets that are not suspended and have less than half of their slots in
   * use.
   */
  readonly underHalf: number;
}

/** Dependencies of {@link itemView}. */
export interface ItemViewContext {
  readonly directory: Pick<TargetDirectory, 'ofService'>;
  readonly suspensions: Pick<TargetSuspensions, 'isSuspended'>;
  readonly loads: Pick<LoadTable, 'totalAt'>;
}

/** Share of its slots below which a target clearly has free ones. */
const HALF = 0.5;

/**
 * @param context - State of the targets as this host knows it.
 * @param service - A service.
 * @returns What an item finds among its targets.
 */
export function itemView(
  {directory, suspensions, loads}: ItemViewContext,
  service: string,
): ItemView {
  const targets = directory.ofService(service);
  const usable = targets.filter(({id}) => !suspensions.isSuspended(id));
  const underHalf = usable.filter(({id, slots}) => {
    const {online, batch} = loads.totalAt(targetKey(id));
    return online + batch < slots * HALF;
  });
  return {
    targets: targets.length,
    suspended: targets.length - usable.length,
    underHalf: underHalf.length,
  };
}
