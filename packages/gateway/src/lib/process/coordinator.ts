/**
 * Places the requests of all hosts of a data centre one after another, based on
 * a single view of the loads.
 *
 * Without a coordinator, the hosts of a large data centre (15, for example)
 * know each other's load as of a tenth of a second ago. In a burst they all
 * choose the target that was free then, and callers queue there while other
 * targets are idle. The coordinator accounts for its own placements at once.
 * Any host can act as coordinator: it needs only the load reports that every
 * host receives, and the hosts that send the placed requests report them as
 * part of their load.
 */
import type {WaitDemand} from '@oathead/core';
import type {Target} from '../connection/target.js';
import {targetKey} from '../connection/load_message.js';
import type {
  PlacementRequest,
  PlacementCriteria,
} from '../connection/placement_message.js';
import {AvoidedTargets} from './avoided_targets.js';
import type {LoadTable} from './load_table.js';
import {placementOutcome, type PlacementOutcome} from './placement_outcome.js';
import type {ReturnPromises} from './return_promises.js';
import type {ServiceOverload} from './service_overload.js';
import type {
  ShareAdmission,
  ShareRequest,
  FindTarget,
} from './share_admission.js';
import type {TargetChooser} from './target_chooser.js';

/** Batch items that another host has to preempt. */
export interface ItemsToPreempt {
  readonly host: string;
  readonly items: number;
}

/** Outcome of a placement request. */
export interface PlacementDecision {
  /** The selected target, or why there is none. */
  readonly outcome: PlacementOutcome;
  /**
   * Items that occupy the slot and belong to hosts other than this one. This
   * host preempts its own items when it sees the load.
   */
  readonly itemsToPreempt: readonly ItemsToPreempt[];
}

/** Dependencies of {@link Coordinator}. */
export interface CoordinatorContext {
  /** ID of this host's process incarnation, as used in load reports. */
  readonly self: string;
  readonly dataCentre: string;
  readonly chooser: TargetChooser;
  readonly loads: LoadTable;
  readonly overload: Pick<ServiceOverload, 'isFull' | 'recordNotPlaced'>;
  /** Shares of the client accounts; undefined to place without them. */
  readonly shares?: ShareAdmission | undefined;
  readonly promises: Pick<
    ReturnPromises,
    'isPromisedToOthers' | 'promise' | 'recordPlaced'
  >;
  /** Returns the monotonic time, in milliseconds. */
  readonly now: () => number;
}

/** How a host searches for a target itself. */
export interface OwnPlacement {
  /** Whether the target must be in its data centre. */
  readonly near: boolean;
  /** IDs of targets that must not be selected. */
  readonly tried: ReadonlySet<string>;
  /** Whether the host that should search for it does not reply. */
  readonly isSubstitute: boolean;
}

const NO_ITEMS: readonly ItemsToPreempt[] = [];

/** Selects targets on behalf of other hosts. */
export class Coordinator {
  private readonly avoided: AvoidedTargets;

  /** @param context - Target selection and loads. */
  constructor(private readonly context: CoordinatorContext) {
    this.avoided = new AvoidedTargets(context.now);
  }

  /**
   * Selects a target and adds the request to the load immediately.
   *
   * @param request - The placement request.
   * @param dataCentre - Data centre of the requesting host.
   * @returns The target and the items to preempt there.
   */
  place(
    {host, service, wish, excluded}: PlacementRequest,
    dataCentre: string,
  ): PlacementDecision {
    this.avoided.report(host, excluded);
    const outcome = this.search(service, wish, excluded);
    if (outcome.kind === 'full') return {outcome, itemsToPreempt: NO_ITEMS};
    const {target} = outcome;
    const key = targetKey(target.id);
    const {loads, dataCentre: own} = this.context;
    if (dataCentre === own) loads.addPendingChange(host, key, wish.lane, 1);
    else loads.addPendingRemoteChange(dataCentre, key, wish.lane, 1);
    const itemsToPreempt =
      wish.lane === 'online' ? this.preemptItems(target, key) : NO_ITEMS;
    return {outcome, itemsToPreempt};
  }

  /**
   * Selects a target for a request of this host, which reports it as part of
   * its own load.
   *
   * @param service - Service that the target must provide.
   * @param demand - Determines how many requests may be queued at the target.
   * @param options - Which targets may be selected.
   * @returns The selected target, or why there is none.
   */
  placeOwn(
    service: string,
    demand: WaitDemand,
    {near, tried, isSubstitute}: OwnPlacement,
  ): PlacementOutcome {
    const search: FindTarget = (searched, without) =>
      this.chooseOnline(service, searched, near, without);
    const request = {service, demand, excluded: tried, isSubstitute};
    return this.placeOnline(request, near, search);
  }

  private search(
    service: string,
    wish: PlacementCriteria,
    excluded: readonly string[],
  ): PlacementOutcome {
    const {chooser} = this.context;
    if (wish.lane === 'batch') {
      // What an item avoids is not reported: it avoids the targets that failed
      // it for as long as it waits, and may itself be the reason why they did.
      const mustNot = new Set([...excluded, ...wish.avoided]);
      return placementOutcome(
        this.preferNotAvoided(mustNot, without =>
          chooser.items.forCoordinatedItem(
            service,
            wish.pressure,
            without,
            wish,
          ),
        ),
      );
    }
    const {demand, near} = wish;
    const search: FindTarget = (searched, mustNot) =>
      this.preferNotAvoided(mustNot, without =>
        this.chooseOnline(service, searched, near, without),
      );
    const without = new Set(excluded);
    const request = {service, demand, excluded: without, isSubstitute: false};
    return this.placeOnline(request, near, search);
  }

  private placeOnline(
    request: ShareRequest,
    near: boolean,
    search: FindTarget,
  ): PlacementOutcome {
    const {shares} = this.context;
    const {service, demand, excluded} = request;
    const outcome = shares
      ? shares.place(request, search)
      : placementOutcome(search(demand, excluded));
    if (outcome.kind === 'full' && !demand.late)
      this.context.overload.recordNotPlaced(service, outcome);
    // The coordinator of the data centre of the request knows its promises.
    return near ? outcome : this.withReturn(service, demand, outcome);
  }

  /** Promises a return to a request without a target. */
  private withReturn(
    service: string,
    demand: WaitDemand,
    outcome: PlacementOutcome,
  ): PlacementOutcome {
    const {promises} = this.context;
    if (outcome.kind === 'placed') {
      promises.recordPlaced(service, demand);
      return outcome;
    }
    const retryAfterMs = promises.promise(service, demand, outcome.cause);
    return {...outcome, retryAfterMs};
  }

  private preferNotAvoided(
    mustNot: ReadonlySet<string>,
    choose: (excluded: ReadonlySet<string>) => Target | undefined,
  ): Target | undefined {
    const avoided = new Set([...mustNot, ...this.avoided.avoidedIds()]);
    return choose(avoided) ?? choose(mustNot);
  }

  private chooseOnline(
    service: string,
    demand: WaitDemand,
    near: boolean,
    excluded: ReadonlySet<string>,
  ): Target | undefined {
    const {chooser, overload, promises} = this.context;
    if (demand.late && overload.isFull(service, demand.goalMs, false))
      return undefined;
    if (near) return chooser.forLocalRequest(service, demand, excluded);
    return promises.isPromisedToOthers(service, demand, excluded)
      ? undefined
      : chooser.forRequest(service, demand, excluded);
  }

  private preemptItems(target: Target, key: string): readonly ItemsToPreempt[] {
    const {chooser, loads, self} = this.context;
    const shares = [...chooser.itemsToPreemptByHost(target, self)];
    const others = shares.filter(([host]) => host !== self);
    for (const [host, items] of others)
      loads.addPendingChange(host, key, 'batch', -items);
    return others.map(([host, items]) => ({host, items}));
  }
}
