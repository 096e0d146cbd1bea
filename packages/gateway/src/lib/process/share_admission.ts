/**
 * Applies fair shares of client accounts to the search for a target.
 *
 * The host that places the requests of a data centre divides the slots of that
 * data centre only. A request that it sends elsewhere is counted by the host
 * that places requests there. Without such hosts, each host divides what its
 * own requests get of all slots.
 */
import {
  AccountShares,
  type Counters,
  type EventLog,
  type ShareAsk,
  type ShareFigures,
  type WaitDemand,
} from '@oathead/core';
import type {Target} from '../connection/target.js';
import {placementOutcome, type PlacementOutcome} from './placement_outcome.js';
import type {ServiceOverload} from './service_overload.js';
import {
  ServiceRooms,
  type ServiceRoomsContext,
  type UsableRoom,
} from './service_rooms.js';

/** Dependencies of {@link ShareAdmission}. */
export interface ShareAdmissionContext extends ServiceRoomsContext {
  readonly dataCentre: string;
  readonly overload: Pick<ServiceOverload, 'latencyOf' | 'maxQueued'>;
  readonly counters: Counters;
  readonly log: EventLog;
  /**
   * @returns Weight of an account in this host's configuration; undefined if it
   *     has none.
   */
  readonly weightOf: (account: string) => number | undefined;
  /** @returns Whether one host of each data centre places its requests. */
  readonly hasCoordinators: () => boolean;
}

/**
 * Searches for a target.
 *
 * @param demand - Determines how many requests may be queued at the target.
 * @param excluded - IDs of targets that must not be selected.
 * @returns The selected target; undefined if none has free capacity.
 */
export type FindTarget = (
  demand: WaitDemand,
  excluded: ReadonlySet<string>,
) => Target | undefined;

/** A request that needs a target. */
export interface ShareRequest {
  /** Service that the target must provide. */
  readonly service: string;
  readonly demand: WaitDemand;
  /** IDs of targets that must not be selected. */
  readonly excluded: ReadonlySet<string>;
  /** Whether this host decides because the one that should does not reply. */
  readonly isSubstitute: boolean;
}

/**
 * Interval of the log line about a contended service, in milliseconds.
 */
const REPORT_INTERVAL_MS = 2000;
/** Number of accounts in that line. */
const REPORTED_ACCOUNTS = 10;

/** Shares of the client accounts in the services of this host's scope. */
export class ShareAdmission {
  private readonly rooms: ServiceRooms;
  private readonly services = new Map<string, AccountShares>();
  private readonly reportedAt = new Map<string, number>();

  /** @param context - Targets, loads and weights. */
  constructor(private readonly context: ShareAdmissionContext) {
    this.rooms = new ServiceRooms(context);
  }

  /**
   * Selects a target unless the account of the request is over its share.
   *
   * @param request - The request.
   * @param search - Searches for a target.
   * @returns The outcome.
   */
  place(request: ShareRequest, search: FindTarget): PlacementOutcome {
    const {service, demand, excluded} = request;
    const {account} = demand;
    if (account === undefined)
      return placementOutcome(search(demand, excluded));
    const {now} = this.context;
    const shares = this.sharesOf(service);
    const ask = this.askOf(service, account, demand);
    const room = this.rooms.of(service, this.scope);
    const verdict = shares.ask(ask, room, now());
    const target =
      verdict.kind === 'in-share'
        ? searchInShare(request, verdict.isContended, search)
        : this.searchOverShare(request, room, verdict.reserve, search);
    this.recordGrant(service, ask, target);
    if (verdict.kind === 'in-share') {
      if (verdict.isContended) this.countDecision('below', target);
      return placementOutcome(target);
    }
    this.countDecision('over', target);
    this.report(service, shares);
    if (target) return placementOutcome(target);
    const figures = rounded(verdict.figures);
    return {kind: 'full', cause: 'share', retryAfterMs: undefined, figures};
  }

  private searchOverShare(
    {demand, excluded}: ShareRequest,
    {targets, free}: UsableRoom,
    reserve: number,
    search: FindTarget,
  ): Target | undefined {
    const {overload} = this.context;
    const preferred = asPreferred(demand);
    // Free slots are only kept for requests that cannot wait for one.
    const mayOthersQueue = targets.some(
      target => overload.maxQueued(target, preferred) > 0,
    );
    const without =
      mayOthersQueue || free > reserve
        ? excluded
        : new Set([...excluded, ...targets.map(({id}) => id)]);
    return search({...demand, mustNotQueue: true}, without);
  }

  private countDecision(share: string, target: Target | undefined): void {
    const outcome = target ? 'placed' : 'full';
    this.context.counters.count('share_decisions', {share, outcome});
  }

  private sharesOf(service: string): AccountShares {
    const known = this.services.get(service);
    if (known) return known;
    const shares = new AccountShares();
    this.services.set(service, shares);
    return shares;
  }

  private askOf(
    service: string,
    account: string,
    {priority, isRepeated = false, returning: isReturning}: WaitDemand,
  ): ShareAsk {
    const {overload, weightOf} = this.context;
    const costMs = overload.latencyOf(service)?.runMs ?? NaN;
    const weight = weightOf(account);
    return {account, priority, weight, costMs, isRepeated, isReturning};
  }

  /** Data centre whose slots are divided; undefined for all of them. */
  private get scope(): string | undefined {
    const {hasCoordinators, dataCentre} = this.context;
    return hasCoordinators() ? dataCentre : undefined;
  }

  private recordGrant(
    service: string,
    ask: ShareAsk,
    target: Target | undefined,
  ): void {
    if (!target) return;
    const now = this.context.now();
    const shares = this.sharesOf(service);
    const {scope} = this;
    if (scope !== undefined && target.dataCentre !== scope) {
      shares.passOn(ask, now);
      return;
    }
    shares.grant(ask, now);
    this.rooms.addPlaced(service);
  }

  private report(service: string, shares: AccountShares): void {
    const {log, now} = this.context;
    const at = now();
    const before = this.reportedAt.get(service) ?? -Infinity;
    if (at - before < REPORT_INTERVAL_MS) return;
    this.reportedAt.set(service, at);
    const {demand, use} = shares.total(at);
    const largest = shares.largest(REPORTED_ACCOUNTS, at);
    const restUse = largest.reduce((left, one) => left - one.use, use);
    log.event('account-shares', {
      service,
      demand: Math.round(demand),
      use: Math.round(use),
      restUse: Math.round(Math.max(0, restUse)),
      accounts: shares.size,
      largest: largest.map(({account, ...one}) => ({
        account,
        demand: Math.round(one.demand),
        use: Math.round(one.use),
      })),
    });
  }
}

/**
 * Accounts over their share join no queue, so it may be as long for a new
 * request of the others as for one that was refused before. A substitute knows
 * too little of the queues for that.
 */
function searchInShare(
  {demand, excluded, isSubstitute}: ShareRequest,
  isContended: boolean,
  search: FindTarget,
): Target | undefined {
  const mayQueueLonger = isContended && !isSubstitute;
  return search(mayQueueLonger ? asPreferred(demand) : demand, excluded);
}

function asPreferred(demand: WaitDemand): WaitDemand {
  return {...demand, returning: true};
}

function rounded({use, share, room}: ShareFigures): ShareFigures {
  return {
    use: Math.round(use),
    share: Math.round(share),
    room: Math.round(room),
  };
}
