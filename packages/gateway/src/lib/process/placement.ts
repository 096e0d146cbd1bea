/**
 * Selects the target of each request or item of this host, either by the host's
 * local view of the loads or by requesting a placement from the coordinator of
 * the data centre.
 *
 * The local view is sufficient while there are plenty of free slots, and in
 * small fleets, where load reports are recent. In case the coordinator fails,
 * hangs or is unreachable, each placement request has a short timeout, after
 * which the local view decides; after several timeouts in a row the coordinator
 * gets no requests for a while.
 */
import type {Clock, Counters, EventLog, WaitDemand} from '@oathead/core';
import type {Target} from '../connection/target.js';
import type {
  PlacementRequest,
  PlacementMessage,
} from '../connection/placement_message.js';
import type {Coordinator, OwnPlacement} from './coordinator.js';
import {ItemPlacer} from './item_placer.js';
import type {LoadPeer} from './load_reporter.js';
import {PlacementAsker} from './placement_asker.js';
import {
  placementOutcome,
  type ItemPlacementOutcome,
  type PlacementOutcome,
} from './placement_outcome.js';
import type {TargetChooser} from './target_chooser.js';
import type {TargetDirectory} from './target_directory.js';
import type {BatchPressure} from './target_score.js';
import {ANY_VERSION, type WantedVersion} from './wanted_version.js';

/**
 * A local target with less than this share of its slots in use is selected by
 * the local view: requests that other hosts have sent in the meantime fit
 * beside the new one.
 */
const LOCAL_VIEW_LOAD_SHARE = 0.5;

/** Dependencies of {@link Placement}. */
export interface PlacementContext<P extends LoadPeer> {
  readonly self: LoadPeer;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly counters: Counters;
  readonly chooser: TargetChooser;
  readonly directory: TargetDirectory;
  readonly localCoordinator: Coordinator;
  /**
   * @returns The coordinator; undefined if it is this host or there is none.
   */
  readonly coordinator: () => P | undefined;
  /**
   * @returns The coordinator of another data centre; undefined if there is
   *     none.
   */
  readonly coordinatorOf: (dataCentre: string) => P | undefined;
  /** @returns The host with this ID; undefined if it is not known. */
  readonly peer: (id: string) => P | undefined;
  readonly send: (message: PlacementMessage, to: P) => void;
  /** Called when items of this host must be preempted at a target. */
  readonly onPreempt: (targetId: string, items: number) => void;
}

/** Placement of online requests. */
export type RequestPlacement = Pick<Placement<LoadPeer>, 'forRequest'>;

/** Placement of batch items. */
export type ItemPlacement = Pick<
  Placement<LoadPeer>,
  'forItem' | 'usesPeerCoordinator'
>;

/** Sends placement requests, and replies to those of other hosts. */
export class Placement<P extends LoadPeer> {
  private readonly asker: PlacementAsker<P>;
  private readonly items: ItemPlacer<P>;

  /** @param context - Target selection on this host, and the coordinators. */
  constructor(private readonly context: PlacementContext<P>) {
    this.asker = new PlacementAsker(context);
    this.items = new ItemPlacer({
      ...context,
      asker: this.asker,
      coordinator: () => this.coordinator(),
    });
  }

  /** Whether placement requests currently go to another host. */
  get usesPeerCoordinator(): boolean {
    return this.coordinator() !== undefined;
  }

  /**
   * @param service - Service that the target must provide.
   * @param demand - Determines how many requests may be queued at the target.
   * @param tried - IDs of targets that were tried already.
   * @returns The selected target, or why there is none. Never rejects.
   */
  async forRequest(
    service: string,
    demand: WaitDemand,
    tried: ReadonlySet<string>,
  ): Promise<PlacementOutcome> {
    const first = await this.placeInOwnDataCentre(service, demand, tried);
    return first.kind === 'placed'
      ? this.placeRemotely(first.target, service, demand, tried)
      : first;
  }

  private async placeInOwnDataCentre(
    service: string,
    demand: WaitDemand,
    tried: ReadonlySet<string>,
  ): Promise<PlacementOutcome> {
    const {chooser, localCoordinator} = this.context;
    const coordinator = this.coordinator();
    const view = this.ownView(tried, false);
    if (!coordinator) return localCoordinator.placeOwn(service, demand, view);
    const own = chooser.forRequest(service, demand, tried);
    if (own && chooser.isLoadBelow(own, LOCAL_VIEW_LOAD_SHARE))
      return placementOutcome(own);
    const wish = {lane: 'online', demand, near: false} as const;
    const answer = await this.asker.request(coordinator, service, wish, tried);
    return answer === 'silent'
      ? localCoordinator.placeOwn(service, demand, view)
      : answer;
  }

  /**
   * If the selected target is remote, sends a placement request to the
   * coordinator of its data centre, which knows its own placements at once.
   * Without it, several data centres would fill the same remote targets,
   * because each knows what the others have sent there only as of a fifth of a
   * second ago.
   */
  private async placeRemotely(
    first: Target,
    service: string,
    demand: WaitDemand,
    tried: ReadonlySet<string>,
  ): Promise<PlacementOutcome> {
    const {self, coordinatorOf} = this.context;
    const {dataCentre} = first;
    const other =
      dataCentre === self.dataCentre ? undefined : coordinatorOf(dataCentre);
    if (!other || this.asker.isPaused(other)) return placementOutcome(first);
    const wish = {lane: 'online', demand, near: true} as const;
    const answer = await this.asker.request(other, service, wish, tried);
    if (answer === 'silent') return placementOutcome(first);
    if (answer.kind === 'placed') return answer;
    const local = await this.placeNear(service, demand, tried);
    return local.kind === 'placed' || demand.account !== undefined
      ? local
      : answer;
  }

  /**
   * Searches for a target of this data centre. A request of a client account
   * gets only what the coordinator grants it there.
   */
  private async placeNear(
    service: string,
    demand: WaitDemand,
    tried: ReadonlySet<string>,
  ): Promise<PlacementOutcome> {
    const again = {...demand, isRepeated: true};
    const wish = {lane: 'online', demand: again, near: true} as const;
    const coordinator = this.coordinator();
    const answer =
      coordinator && demand.account !== undefined
        ? await this.asker.request(coordinator, service, wish, tried)
        : 'silent';
    if (answer !== 'silent') return answer;
    const view = this.ownView(tried, true);
    return this.context.localCoordinator.placeOwn(service, again, view);
  }

  private ownView(tried: ReadonlySet<string>, near: boolean): OwnPlacement {
    const isSubstitute = this.context.coordinator() !== undefined;
    return {near, tried, isSubstitute};
  }

  /**
   * @param service - Service that the target must provide.
   * @param pressure - Whether the item is urgent.
   * @param avoided - IDs of targets that must not be selected.
   * @param wanted - Software version that the target must have, if any.
   * @returns The selected target, or who has found none. Never rejects.
   */
  async forItem(
    service: string,
    pressure: BatchPressure,
    avoided: ReadonlySet<string>,
    wanted: WantedVersion = ANY_VERSION,
  ): Promise<ItemPlacementOutcome> {
    return this.items.place(service, pressure, avoided, wanted);
  }

  /** @param message - A message from another host. */
  receive(message: PlacementMessage): void {
    switch (message.kind) {
      case 'ask':
        this.handleRequest(message);
        return;
      case 'grant':
        this.asker.receive(message);
        return;
      case 'yield':
        this.context.onPreempt(message.targetId, message.items);
    }
  }

  private coordinator(): P | undefined {
    const coordinator = this.context.coordinator();
    return coordinator && this.asker.isPaused(coordinator)
      ? undefined
      : coordinator;
  }

  private handleRequest(request: PlacementRequest): void {
    const {localCoordinator: coordinator, peer, send} = this.context;
    const to = peer(request.host);
    // A sender that is not known yet times out and uses its local view.
    if (!to) return;
    const {outcome, itemsToPreempt} = coordinator.place(request, to.dataCentre);
    const {askId} = request;
    if (outcome.kind === 'full') {
      const {cause, retryAfterMs, figures} = outcome;
      send({kind: 'grant', askId, cause, retryAfterMs, figures}, to);
      return;
    }
    const {target} = outcome;
    send({kind: 'grant', askId, targetId: target.id}, to);
    for (const {host, items} of itemsToPreempt) {
      const holder = peer(host);
      if (holder) send({kind: 'yield', targetId: target.id, items}, holder);
    }
  }
}
