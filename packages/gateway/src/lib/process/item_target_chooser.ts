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
import {
  ANY_VERSION,
  hasWantedVersion,
  type WantedVersion,
} from './wanted_version.js';

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
   * @param wanted - Software version that the target must have, if any.
   * @returns The target with the lowest score; undefined if none has a free
   *     slot.
   */
  forItem(
    service: string,
    pressure: BatchPressure,
    excluded: ReadonlySet<string>,
    wanted = ANY_VERSION,
  ): Target | undefined {
    const {preferredTargets: preferred, suspensions} = this.context;
    const all = this.targetsOf(service, wanted);
    const candidates =
      pressure === 'relaxed'
        ? preferred.select(all, ({id}) => !suspensions.isFailing(id))
        : all;
    const available = candidates.filter(({id}) => !suspensions.isSuspended(id));
    return this.best(service, available, pressure, excluded);
  }

  /**
   * Selects a target for an item of any host; used by the coordinator. One that
   * is not urgent gets only targets of the coordinator's data centre.
   *
   * @param service - Service that the target must provide.
   * @param pressure - Whether the item is urgent.
   * @param excluded - IDs of targets that must not be selected.
   * @param wanted - Software version that the target must have, if any.
   * @returns The target with the lowest score; undefined if none has a free
   *     slot.
   */
  forCoordinatedItem(
    service: string,
    pressure: BatchPressure,
    excluded: ReadonlySet<string>,
    wanted = ANY_VERSION,
  ): Target | undefined {
    const {dataCentre, suspensions} = this.context;
    const all = this.targetsOf(service, wanted);
    const local = all.filter(target => target.dataCentre === dataCentre);
    const candidates = pressure === 'relaxed' ? local : all;
    const usable = candidates.filter(({id}) => !suspensions.isSuspended(id));
    // If all have failed the coordinator lately, the cause may be its own path
    // to them. The asking hosts name the targets that fail them.
    const failing = candidates.filter(({id}) => suspensions.isFailing(id));
    const asked = usable.length > 0 ? usable : failing;
    return this.best(service, asked, pressure, excluded);
  }

  /**
   * @returns Whether a target of this data centre, full or not, is listed for a
   *     service, has the wanted version, and has not just failed this host.
   */
  hasLocal(service: string, wanted = ANY_VERSION): boolean {
    const {dataCentre, suspensions} = this.context;
    const isLocal = (target: Target) => target.dataCentre === dataCentre;
    return this.targetsOf(service, wanted).some(
      target => isLocal(target) && !suspensions.isFailing(target.id),
    );
  }

  private targetsOf(service: string, wanted: WantedVersion): readonly Target[] {
    const all = this.context.directory.ofService(service);
    return wanted.softwareVersion === undefined
      ? all
      : all.filter(target => hasWantedVersion(target, wanted));
  }

  private best(
    service: string,
    targets: readonly Target[],
    pressure: BatchPressure,
    excluded: ReadonlySet<string>,
  ): Target | undefined {
    const {loads, overload} = this.context;
    const {speeds} = overload;
    const share = this.startShare[pressure];
    const available = targets.filter(({id}) => !excluded.has(id));
    const hasCapacity: HasCapacity = (target, load) =>
      load.online + load.batch < Math.round(target.slots * share) &&
      !slowsWhenNearlyFull(target, load, speeds.slownessOf(target));
    const scoreOf = this.score.scorer(service, {lane: 'batch', pressure});
    return lowestScored(available, {loads, scoreOf, hasCapacity});
  }
}
