/**
 * Searches for targets with free slots for items, and skips routes that have
 * had none a moment ago.
 */
import type {Clock, Random} from '@oathead/core';
import {
  ANY_VERSION,
  pickService,
  type BatchPressure,
  type ItemPlacement,
  type ItemPlacementOutcome,
  type Route,
  type Target,
  type TargetChooser,
  type WantedVersion,
} from '@oathead/gateway';
import {avoidedItemTargets, mayRunAnywhere} from './avoided_item_targets.js';
import {avoidsTargets, type ItemCandidate} from './item_candidate.js';
import type {Urgency} from './item_durations.js';

/** Dependencies of {@link ItemTargetSearch}. */
export interface ItemSearchContext {
  readonly clock: Clock;
  readonly chooser: Pick<
    TargetChooser,
    'available' | 'hasSeveralVersions' | 'hasSuitable'
  >;
  readonly placement: ItemPlacement;
  readonly random: Random;
}

/** Outcome of a search. */
export type ItemSearchOutcome =
  | {readonly kind: 'placed'; readonly target: Target}
  /** No target has a free slot; the next search is due at `until`. */
  | {
      readonly kind: 'full';
      readonly until: number;
      /** Whether there may be free slots at targets that the item avoids. */
      readonly isSelective: boolean;
    };

/** Who has found no free slot; see `ItemPlacementOutcome`. */
type RefusedBy = Extract<ItemPlacementOutcome, {kind: 'full'}>['by'];

/** How long a route without a free slot is skipped, in milliseconds. */
const FULL_ROUTE_BACKOFF_MS = {
  /**
   * The local load table changes with the next load report, so the route is
   * tried again in the next scheduling interval.
   */
  localView: 12.5,
  /** Each attempt sends a placement request to another host. */
  coordinator: 50,
} as const;

/**
 * How long an item waits for a target that can go on with its text before it
 * starts afresh elsewhere, in milliseconds.
 */
const MAX_VERSION_WAIT_MS = 1000;

/**
 * Items that are already late only use slots that nothing else needs, unless
 * their job has been neglected.
 */
const PRESSURE: Readonly<Record<Urgency, BatchPressure>> = {
  pressed: 'pressed',
  relaxed: 'relaxed',
  late: 'relaxed',
};

const NO_TARGETS: ReadonlySet<string> = new Set();

function pressureOf({estimate, hasClaim}: ItemCandidate): BatchPressure {
  return hasClaim ? 'pressed' : PRESSURE[estimate.urgency];
}

/**
 * Key of the backoff of a route. It includes the pressure, since slots are
 * reserved for urgent items: a route that is full for relaxed items may have
 * slots for urgent ones.
 */
function fullRouteKey({name}: Route, candidate: ItemCandidate): string {
  return `${pressureOf(candidate)} ${name}`;
}

/** Searches one after another, for all items of this host. */
export class ItemTargetSearch {
  /** Time until which a route is considered full, by {@link fullRouteKey}. */
  private readonly fullUntil = new Map<string, number>();
  /** Who refused the last search, by {@link fullRouteKey}. */
  private readonly refusals = new Map<string, RefusedBy>();
  private pendingSince: number | undefined;

  /** @param context - Target selection and placement. */
  constructor(private readonly context: ItemSearchContext) {}

  /**
   * @param route - Route of the item.
   * @param candidate - The item.
   * @returns Whether the route has had no free slot for such an item a moment
   *     ago.
   */
  isFull(route: Route, candidate: ItemCandidate): boolean {
    const until = this.fullUntil.get(fullRouteKey(route, candidate));
    return until !== undefined && until > this.context.clock.now();
  }

  /**
   * @param route - Route of the item.
   * @param candidate - The item.
   * @returns A target with a free slot for it, if there is one.
   */
  async search(
    route: Route,
    candidate: ItemCandidate,
  ): Promise<ItemSearchOutcome> {
    const {clock} = this.context;
    this.pendingSince = clock.now();
    const placed = await this.targetFor(route, candidate);
    this.pendingSince = undefined;
    const key = fullRouteKey(route, candidate);
    if (placed.kind === 'placed') {
      this.refusals.delete(key);
      return placed;
    }
    this.refusals.set(key, placed.by);
    const until = this.backoffEnd();
    // The route may have slots for items that avoid no target.
    const isSelective = this.isSelective(candidate, placed.service);
    if (!isSelective) this.fullUntil.set(key, until);
    return {kind: 'full', until, isSelective};
  }

  /**
   * @param route - Route of an item.
   * @param candidate - The item.
   * @returns Who found no free slot for such an item last; undefined if a
   *     target was found, or none was searched for.
   */
  refusedBy(route: Route, candidate: ItemCandidate): RefusedBy | undefined {
    return this.refusals.get(fullRouteKey(route, candidate));
  }

  /**
   * @returns How long the current search has taken, in milliseconds; 0 if there
   *     is none.
   */
  pendingMs(): number {
    const {pendingSince} = this;
    return pendingSince === undefined
      ? 0
      : this.context.clock.now() - pendingSince;
  }

  private backoffEnd(): number {
    const {clock, placement} = this.context;
    const by = placement.usesPeerCoordinator ? 'coordinator' : 'localView';
    return clock.now() + FULL_ROUTE_BACKOFF_MS[by];
  }

  private async targetFor(
    route: Route,
    candidate: ItemCandidate,
  ): Promise<ItemPlacementOutcome & {readonly service: string}> {
    const service = pickService(route, this.context.random);
    const bound = await this.targetOfItsVersion(service, candidate);
    if (bound) return {...bound, service};
    const placed = await this.place(service, candidate, ANY_VERSION);
    return {...placed, service};
  }

  /**
   * Searches among the targets that can go on with the text of an item.
   *
   * @returns The outcome; undefined if the item should rather start afresh.
   */
  private async targetOfItsVersion(
    service: string,
    candidate: ItemCandidate,
  ): Promise<ItemPlacementOutcome | undefined> {
    const {work, estimate} = candidate;
    if (!this.isBoundToVersion(service, candidate)) return undefined;
    const {softwareVersion} = work;
    const placed = await this.place(service, candidate, {softwareVersion});
    if (placed.kind === 'placed') return placed;
    const now = this.context.clock.now();
    work.versionFullSinceMs ??= now;
    const isUrgent = estimate.urgency === 'pressed';
    const hasWaited = now - work.versionFullSinceMs >= MAX_VERSION_WAIT_MS;
    return isUrgent || hasWaited ? undefined : placed;
  }

  private async place(
    service: string,
    candidate: ItemCandidate,
    wanted: WantedVersion,
  ): Promise<ItemPlacementOutcome> {
    const {placement} = this.context;
    const pressure = pressureOf(candidate);
    const avoided = this.avoidedTargets(service, candidate);
    const placed = await placement.forItem(service, pressure, avoided, wanted);
    if (placed.kind === 'placed' || avoided.size === 0) return placed;
    return mayRunAnywhere(candidate.estimate, candidate.untilExpiryMs)
      ? placement.forItem(service, pressure, NO_TARGETS, wanted)
      : placed;
  }

  private isSelective(candidate: ItemCandidate, service: string): boolean {
    return (
      avoidsTargets(candidate) || this.isBoundToVersion(service, candidate)
    );
  }

  private isBoundToVersion(service: string, {work}: ItemCandidate): boolean {
    const {softwareVersion, lastEventId} = work;
    if (softwareVersion === undefined || lastEventId === undefined)
      return false;
    const {chooser} = this.context;
    return (
      chooser.hasSeveralVersions(service) &&
      chooser.hasSuitable(service, {softwareVersion})
    );
  }

  private avoidedTargets(
    service: string,
    {work: {failedTargets}}: ItemCandidate,
  ): ReadonlySet<string> {
    if (failedTargets.length === 0) return NO_TARGETS;
    const available = this.context.chooser.available(service);
    return avoidedItemTargets(failedTargets, available);
  }
}
