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
  readonly overload: Pick<ServiceOverload, 'isFull' | 'recordFull'>;
  readonly promises: Pick<
    ReturnPromises,
    'isPromisedToOthers' | 'promise' | 'recordPlaced'
  >;
  /** Returns the monotonic time, in milliseconds. */
  readonly now: () => number;
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
    // What an item avoids is not reported: it avoids the targets that failed it
    // for as long as it waits, and may itself be the reason why they did.
    const mustNot =
      wish.lane === 'batch' ? [...excluded, ...wish.avoided] : excluded;
    const avoided = new Set([...mustNot, ...this.avoided.avoidedIds()]);
    const target =
      this.choose(service, wish, avoided) ??
      this.choose(service, wish, new Set(mustNot));
    const outcome = this.outcomeOf(service, wish, target);
    if (!target) return {outcome, itemsToPreempt: NO_ITEMS};
    const key = targetKey(target.id);
    const {loads, dataCentre: own} = this.context;
    if (dataCentre === own) loads.addPendingChange(host, key, wish.lane, 1);
    else loads.addPendingRemoteChange(dataCentre, key, wish.lane, 1);
    const itemsToPreempt =
      wish.lane === 'online' ? this.preemptItems(target, key) : NO_ITEMS;
    return {outcome, itemsToPreempt};
  }

  /**
   * Selects a target for an online request of this host.
   *
   * @param service - Service that the target must provide.
   * @param demand - The request.
   * @param tried - IDs of targets that were tried already.
   * @returns The selected target, or why there is none.
   */
  placeOwn(
    service: string,
    demand: WaitDemand,
    tried: ReadonlySet<string>,
  ): PlacementOutcome {
    const wish = {lane: 'online', demand, near: false} as const;
    const target = this.choose(service, wish, tried);
    return this.outcomeOf(service, wish, target);
  }

  private outcomeOf(
    service: string,
    wish: PlacementCriteria,
    target: Target | undefined,
  ): PlacementOutcome {
    const {overload, promises} = this.context;
    if (wish.lane === 'batch') return placementOutcome(target);
    const {demand} = wish;
    if (!target && !demand.late) overload.recordFull(service);
    // The coordinator of the data centre of the request knows its promises.
    if (wish.near) return placementOutcome(target);
    if (target) {
      promises.recordPlaced(service, demand);
      return {kind: 'placed', target};
    }
    const retryAfterMs = promises.promise(service, demand, 'room');
    return {kind: 'full', cause: 'room', retryAfterMs};
  }

  private choose(
    service: string,
    wish: PlacementCriteria,
    excluded: ReadonlySet<string>,
  ): Target | undefined {
    const {chooser, overload, promises} = this.context;
    if (wish.lane === 'batch')
      return chooser.forCoordinatedItem(service, wish.pressure, excluded);
    const {demand} = wish;
    if (demand.late && overload.isFull(service, demand.goalMs, false))
      return undefined;
    if (wish.near) return chooser.forLocalRequest(service, demand, excluded);
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
