/**
 * Selects the least loaded target for a request, with a preference for local
 * ones.
 */
import type {WaitDemand} from '@oathead/core';
import {targetKey} from '../connection/load_message.js';
import type {Target} from '../connection/target.js';
import {ItemTargetChooser} from './item_target_chooser.js';
import type {PreferredTargets} from './preferred_targets.js';
import type {LoadTable} from './load_table.js';
import type {TargetDirectory} from './target_directory.js';
import {
  lowestScored,
  TargetScore,
  type BatchPressure,
  type HasCapacity,
  type RemotePenalties,
  type TargetScoreContext,
} from './target_score.js';
import type {TargetSuspensions} from './target_suspensions.js';
import {preemptionsByHost} from './preemption_order.js';
import {hasWantedVersion, type WantedVersion} from './wanted_version.js';

/** Weights and limits of target selection. */
export interface ChoiceWeights extends RemotePenalties {
  /**
   * Share of a target's slots up to which batch items are started. The
   * remaining slots are free for the first requests of a burst.
   */
  readonly batchStartShare: Readonly<Record<BatchPressure, number>>;
  /** Share of a target's slots beyond which batch items are preempted. */
  readonly batchPreemptionShare: number;
}

/**
 * Batch items that can wait fill seven of eight slots, and urgent ones fill
 * all. Items are preempted when an online request would otherwise have to wait.
 */
export const DEFAULT_CHOICE_WEIGHTS: ChoiceWeights = {
  remotePenalty: {online: 1.5, batch: 3},
  batchStartShare: {relaxed: 0.875, pressed: 1},
  batchPreemptionShare: 1,
};

/** State on which a selection is based, for the log. */
export interface ChoiceView {
  readonly targets: number;
  readonly suspended: number;
  /**
   * Lowest number of online requests in flight at any of the targets; undefined
   * if there are no targets.
   */
  readonly leastOnline: number | undefined;
}

/** Dependencies of {@link TargetChooser}. */
export interface TargetChooserContext extends TargetScoreContext {
  readonly directory: TargetDirectory;
  readonly suspensions: TargetSuspensions;
  readonly loads: LoadTable;
  readonly preferredTargets: PreferredTargets;
}

const NO_TARGETS: ReadonlySet<string> = new Set();

/** Selects targets based on the loads of all hosts. */
export class TargetChooser {
  /** Selects targets for batch items. */
  readonly items: ItemTargetChooser;
  private readonly score: TargetScore;

  /**
   * @param context - State of the targets.
   * @param weights - Weights and limits of the selection.
   */
  constructor(
    private readonly context: TargetChooserContext,
    private readonly weights: ChoiceWeights = DEFAULT_CHOICE_WEIGHTS,
  ) {
    this.score = new TargetScore(context, weights);
    this.items = new ItemTargetChooser(
      context,
      this.score,
      weights.batchStartShare,
    );
  }

  /**
   * @param service - Service that the target must provide.
   * @param demand - Determines how many requests may be queued at the target.
   * @param tried - IDs of targets that were tried already.
   * @returns The target with the lowest score; undefined if none has free
   *     capacity.
   */
  forRequest(
    service: string,
    demand: WaitDemand,
    tried: ReadonlySet<string>,
  ): Target | undefined {
    const {overload, loads} = this.context;
    const hasCapacity: HasCapacity = (target, {online}) =>
      online < target.slots + overload.maxQueued(target, demand);
    const isAvailable = ({id}: Target) =>
      !this.context.suspensions.isSuspended(id);
    const targets = this.context.directory
      .ofService(service)
      .filter(({id}) => !tried.has(id))
      .filter(target => hasWantedVersion(target, demand));
    // If all targets have failed lately, the cause may be the network path to
    // them. Waiting for their suspensions to end would refuse requests that
    // they could serve.
    const available = targets.some(isAvailable)
      ? targets.filter(isAvailable)
      : targets;
    const scoreOf = this.score.scorer(service, {lane: 'online'});
    return lowestScored(available, {loads, scoreOf, hasCapacity});
  }

  /**
   * Considers only targets of this data centre.
   *
   * @param service - Service that the target must provide.
   * @param demand - Determines how many requests may be queued at the target.
   * @param excluded - IDs of targets that must not be selected.
   * @returns The local target with the lowest score; undefined if none has free
   *     capacity.
   */
  forLocalRequest(
    service: string,
    demand: WaitDemand,
    excluded: ReadonlySet<string>,
  ): Target | undefined {
    const {directory, dataCentre} = this.context;
    const remote = directory
      .ofService(service)
      .filter(target => target.dataCentre !== dataCentre);
    const ids = [...excluded, ...remote.map(({id}) => id)];
    return this.forRequest(service, demand, new Set(ids));
  }

  /**
   * @param target - A target.
   * @param share - Share of its slots, from 0 to 1.
   * @returns Whether it is local and less than that share of its slots is in
   *     use.
   */
  isLoadBelow({id, slots, dataCentre}: Target, share: number): boolean {
    const {online, batch} = this.context.loads.totalAt(targetKey(id));
    const isLocal = dataCentre === this.context.dataCentre;
    return isLocal && online + batch < slots * share;
  }

  /**
   * @returns IDs of the targets of a service that are suspended by this host.
   */
  suspended(service: string): readonly string[] {
    const {directory, suspensions} = this.context;
    const ids = directory.ofService(service).map(({id}) => id);
    return ids.filter(id => suspensions.isSuspended(id));
  }

  /**
   * @returns IDs of the targets of a service that are not suspended by this
   *     host, whether they have free slots or not.
   */
  available(service: string): readonly string[] {
    const {directory, suspensions} = this.context;
    const ids = directory.ofService(service).map(({id}) => id);
    return ids.filter(id => !suspensions.isSuspended(id));
  }

  /**
   * @param service - A service.
   * @param tried - IDs of targets that were tried already.
   * @param demand - Determines which targets are suitable.
   * @returns Whether it has a suitable target, full or not, that was not tried.
   */
  hasUntried(
    service: string,
    tried: ReadonlySet<string>,
    demand: WantedVersion = {},
  ): boolean {
    const targets = this.context.directory.ofService(service);
    return targets.some(
      target => !tried.has(target.id) && hasWantedVersion(target, demand),
    );
  }

  /**
   * @param service - A service.
   * @param demand - Determines which targets are suitable.
   * @returns Whether it has a suitable target, full or not.
   */
  hasSuitable(service: string, demand: WantedVersion): boolean {
    return this.hasUntried(service, NO_TARGETS, demand);
  }

  /** @returns Whether targets of several software versions are listed. */
  hasSeveralVersions(service: string): boolean {
    return this.context.directory.versions.listed(service).size > 1;
  }

  /**
   * @returns State on which a selection among the targets of a service is
   *     based, for the log.
   */
  view(service: string): ChoiceView {
    const {directory, suspensions, loads} = this.context;
    const targets = directory.ofService(service);
    const online = targets.map(({id}) => loads.totalAt(targetKey(id)).online);
    return {
      targets: targets.length,
      suspended: targets.filter(({id}) => suspensions.isSuspended(id)).length,
      leastOnline: online.length > 0 ? Math.min(...online) : undefined,
    };
  }

  /**
   * @param target - A target that runs items of this host.
   * @param host - ID of this host in load reports.
   * @returns Number of this host's batch items that must be preempted there.
   */
  itemsToPreempt(target: Target, host: string): number {
    if (this.context.loads.ownLoadAt(targetKey(target.id)).batch === 0)
      return 0;
    return this.itemsToPreemptByHost(target, host).get(host) ?? 0;
  }

  /**
   * @param target - Target of a new online request.
   * @param self - ID of this host in load reports.
   * @returns Number of items to preempt there, by host of this data centre.
   */
  itemsToPreemptByHost(
    target: Target,
    self: string,
  ): ReadonlyMap<string, number> {
    const key = targetKey(target.id);
    const {loads, dataCentre} = this.context;
    const {online, batch} = loads.totalAt(key);
    const limit = Math.floor(target.slots * this.weights.batchPreemptionShare);
    const excess = online + batch - limit;
    if (excess <= 0) return new Map();
    const hosts = new Map(loads.hostsWithItems(key));
    const own = loads.ownLoadAt(key);
    if (own.batch > 0) hosts.set(self, own);
    const dataCentres = loads.dataCentresWithItems(key);
    return preemptionsByHost(
      target.id,
      {dataCentre, hosts, dataCentres},
      excess,
    );
  }
}
