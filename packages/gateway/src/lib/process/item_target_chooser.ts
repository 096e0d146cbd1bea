/** Selects the least loaded target for a batch item. */
import type {Target} from '../connection/target.js';
import type {LoadTable} from './load_table.js';
import type {PreferredTargets} from './preferred_targets.js';
import type {ServiceOverload} from './service_overload.js';
import type {TargetDirectory} from './target_directory.js';
import {
  lowestScored,
  slowsWhenNearlyFull,
  type BatchPressure,
  type HasCapacity,
  type TargetScore,
} from './target_score.js';
import type {TargetSuspensions} from './target_suspensions.js';

/** Dependencies of {@link ItemTargetChooser}. */
export interface ItemChooserContext {
  readonly dataCentre: string;
  readonly directory: TargetDirectory;
  readonly suspensions: TargetSuspensions;
  readonly loads: LoadTable;
  readonly preferredTargets: PreferredTargets;
  readonly overload: ServiceOverload;
}

/** Selects targets based on the loads of all hosts. */
export class ItemTargetChooser {
  /**
   * @param context - State of the targets.
   * @param score - Compares them.
   * @param startShare - Share of a target's slots up to which items start.
   */
  constructor(
    private readonly context: ItemChooserContext,
    private readonly score: TargetScore,
    private readonly startShare: Readonly<Record<BatchPressure, number>>,
  ) {}

  /**
   * Considers the targets that this host prefers, and all for an urgent item.
   *
   * @param service - Service that the target must provide.
   * @param pressure - Whether the item is urgent.
   * @param excluded - IDs of targets that must not be selected.
   * @returns The target with the lowest score; undefined if none has a free
   *     slot.
   */
  forItem(
    service: string,
    pressure: BatchPressure,
    excluded: ReadonlySet<string>,
  ): Target | undefined {
    const {directory, preferredTargets: preferred, suspensions} = this.context;
    const all = directory.ofService(service);
    const candidates =
      pressure === 'relaxed'
        ? preferred.select(all, ({id}) => !suspensions.isFailing(id))
        : all;
    return this.best(service, candidates, pressure, excluded);
  }

  /**
   * Selects a target for an item of any host; used by the coordinator. One that
   * is not urgent gets only targets of the coordinator's data centre.
   *
   * @param service - Service that the target must provide.
   * @param pressure - Whether the item is urgent.
   * @param excluded - IDs of targets that must not be selected.
   * @returns The target with the lowest score; undefined if none has a free
   *     slot.
   */
  forCoordinatedItem(
    service: string,
    pressure: BatchPressure,
    excluded: ReadonlySet<string>,
  ): Target | undefined {
    const {directory, dataCentre} = this.context;
    const all = directory.ofService(service);
    const local = all.filter(target => target.dataCentre === dataCentre);
    const candidates = pressure === 'relaxed' ? local : all;
    return this.best(service, candidates, pressure, excluded);
  }

  private best(
    service: string,
    targets: readonly Target[],
    pressure: BatchPressure,
    excluded: ReadonlySet<string>,
  ): Target | undefined {
    const {suspensions, loads, overload} = this.context;
    const {speeds} = overload;
    const share = this.startShare[pressure];
    const available = targets.filter(
      ({id}) => !excluded.has(id) && !suspensions.isSuspended(id),
    );
    const hasCapacity: HasCapacity = (target, load) =>
      load.online + load.batch < target.slots * share &&
      !slowsWhenNearlyFull(target, load, speeds.slownessOf(target));
    const scoreOf = this.score.scorer(service, {lane: 'batch', pressure});
    return lowestScored(available, {loads, scoreOf, hasCapacity});
  }
}
