/**
 * Looks up the routes of items, and gives up the items that have had none for
 * some time.
 */
import type {Clock, FreshnessLease} from '@oathead/core';
import type {Route, RoutingState} from '@oathead/gateway';
import type {ItemWork} from './item_work.js';
import type {OwnedJob} from './owned_job.js';

/** Dependencies of {@link ItemRoutes}. */
export interface ItemRoutesContext {
  readonly clock: Clock;
  readonly routing: RoutingState;
  /** Tracks whether the configuration is the newest. */
  readonly freshness: Pick<FreshnessLease, 'ageMs'>;
}

/** An item with its job. */
export interface JobItemWork {
  readonly job: OwnedJob;
  readonly work: ItemWork;
}

/**
 * How long a route must be missing before its items fail, in milliseconds:
 * twice the time within which a configuration takes effect on all hosts.
 */
const ROUTE_MISSING_TIMEOUT_MS = 5000;
/**
 * Maximum age of the configuration while the time without a route counts, in
 * milliseconds: the time within which a host knows of a change.
 */
const MAX_CONFIG_AGE_MS = 2000;
/**
 * Maximum interval between two looks while the time without a route counts, in
 * milliseconds. After a longer one, this host was stopped.
 */
const MAX_LOOK_INTERVAL_MS = 1000;

/** Routes of the items of this host. */
export class ItemRoutes {
  /** Time since which no configuration had a route for an item. */
  private readonly routeMissingSince = new WeakMap<ItemWork, number>();
  /** Time since which this host has known the newest configuration. */
  private configKnownSince = Infinity;
  private lastLookAt = -Infinity;

  /** @param context - The configuration, and how old it is. */
  constructor(private readonly context: ItemRoutesContext) {}

  /**
   * Restarts the time without a route, for all items, while this host cannot
   * know the newest configuration.
   */
  checkConfigAge(): void {
    const {clock, freshness} = this.context;
    const now = clock.now();
    const wasStopped = now - this.lastLookAt > MAX_LOOK_INTERVAL_MS;
    this.lastLookAt = now;
    if (wasStopped || freshness.ageMs > MAX_CONFIG_AGE_MS)
      this.configKnownSince = now;
  }

  /**
   * Resolves the route of an item. The item fails if its route has been missing
   * for {@link ROUTE_MISSING_TIMEOUT_MS}, during all of which this host has
   * known the newest configuration. Until a host has a configuration, it cannot
   * tell whether a route is missing. The result is only written if no newer
   * configuration is stored by then.
   *
   * @param item - A waiting item.
   * @returns The route; undefined if there is none or no configuration.
   */
  resolve({job, work}: JobItemWork): Route | undefined {
    const {routing, clock} = this.context;
    if (!routing.current) return undefined;
    const route = this.routeOf(job, work);
    if (route) {
      this.routeMissingSince.delete(work);
      return route;
    }
    const since = this.routeMissingSince.get(work) ?? clock.now();
    this.routeMissingSince.set(work, since);
    const countFrom = Math.max(since, this.configKnownSince);
    if (clock.now() - countFrom < ROUTE_MISSING_TIMEOUT_MS) return undefined;
    const {row} = routing;
    if (!row) return undefined;
    const {version} = routing.current.table;
    const {ageMs} = this.context.freshness;
    job.giveUp(work, 'no-route', {row, version, ageMs});
    return undefined;
  }

  /** @returns The route of an item in the current configuration. */
  routeOf({head}: OwnedJob, {item}: ItemWork): Route | undefined {
    return this.context.routing.current?.match(head.hostName, item.path);
  }

  /**
   * Restarts the time of the items whose route is there again. An item that is
   * running or far back in the queue is not looked at under each version.
   *
   * @param jobs - The jobs that this host owns now.
   */
  forgetReturned(jobs: Iterable<OwnedJob>): void {
    for (const job of jobs)
      for (const work of job.work)
        if (this.routeMissingSince.has(work) && this.routeOf(job, work))
          this.routeMissingSince.delete(work);
  }
}
