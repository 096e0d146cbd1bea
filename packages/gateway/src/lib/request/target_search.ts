/**
 * Finds the target of one online request: the best one with free capacity, and,
 * for a caller that does not come back a second time, one that becomes free
 * after the latency objective.
 */
import {
  maxQueueWaitMs,
  sleep,
  type Clock,
  type WaitDemand,
} from '@oathead/core';
import type {Target} from '../connection/target.js';
import type {LateQueue, LateWait} from '../process/late_queue.js';
import type {RequestPlacement} from '../process/placement.js';
import type {FullCause} from '../connection/placement_message.js';
import {NO_ROOM, type NotPlaced} from '../process/placement_outcome.js';
import type {ServiceOverload} from '../process/service_overload.js';
import type {TargetChooser} from '../process/target_chooser.js';
import {ClaimedDemand} from './claimed_demand.js';
import type {TargetProtocol} from './target_protocol.js';

/** Dependencies of {@link TargetSearch}. */
export interface TargetSearchContext {
  readonly clock: Clock;
  readonly chooser: Pick<TargetChooser, 'hasUntried' | 'hasSuitable'>;
  readonly placement: RequestPlacement;
  readonly overload: Pick<ServiceOverload, 'returnAfterMs' | 'recordNotPlaced'>;
  readonly protocol: Pick<TargetProtocol, 'maxRetryAfterMs'>;
  readonly lateQueue: Pick<LateQueue, 'wait'>;
  /** @returns Whether coordinators schedule the returns of callers. */
  readonly schedulesReturns: () => boolean;
}

/** The request that needs a target. */
export interface SearchedRequest {
  readonly requestId: string | undefined;
  readonly service: string;
  readonly demand: WaitDemand;
  /** When its headers were received, in monotonic milliseconds. */
  readonly startedAt: number;
  /** When its caller gives up, in monotonic milliseconds. */
  readonly deadlineAt: number;
}

/** When the caller of a refused request should retry. */
export interface RetryAdvice {
  readonly delayMs: number;
  /** Whether the coordinator has promised room at that time. */
  readonly isPromised: boolean;
  readonly cause: FullCause;
}

/**
 * Interval at which a waiting request looks for a free target, in milliseconds.
 */
const POLL_INTERVAL_MS = 10;
/**
 * How long a request whose run was interrupted waits for another target, in
 * milliseconds, and a stream that is bound to a software version for one of its
 * targets. What has run can no longer be refused as not run, what has begun
 * cannot begin elsewhere, and targets are usually available again within a
 * second.
 */
const RETRY_WAIT_MS = 1500;

/** Searches targets for one request until it is finished. */
export class TargetSearch {
  /** IDs of targets that are not selected again while there are others. */
  readonly tried = new Set<string>();
  private latestNotPlaced: NotPlaced | undefined;
  private lateWait: LateWait | undefined;
  private isStopped = false;
  private softwareVersion: string | undefined;
  private readonly claimed: ClaimedDemand;

  /**
   * @param context - Target selection.
   * @param request - The request.
   */
  constructor(
    private readonly context: TargetSearchContext,
    private readonly request: SearchedRequest,
  ) {
    this.claimed = new ClaimedDemand(request.demand);
  }

  /** Outcome of the latest search that found no target. */
  get notPlaced(): NotPlaced | undefined {
    return this.latestNotPlaced;
  }

  /**
   * @param hasRun - Whether the request may have run at a target.
   * @returns The selected target; undefined if there is none in time. Never
   *     rejects.
   */
  async find(hasRun: boolean): Promise<Target | undefined> {
    const target = await this.findInTime(hasRun);
    if (!target && this.latestNotPlaced)
      this.context.overload.recordNotPlaced(
        this.request.service,
        this.latestNotPlaced,
      );
    const mayWait = this.request.demand.returning && !hasRun;
    return target || this.isStopped || !mayWait ? target : this.findLate();
  }

  /**
   * Restricts the search to targets of one software version.
   *
   * @param softwareVersion - The version that began the stream of the request.
   */
  restrictTo(softwareVersion: string): void {
    this.softwareVersion = softwareVersion;
  }

  /** Whether no target is left of the version that it is restricted to. */
  get isVersionGone(): boolean {
    const {softwareVersion} = this;
    if (softwareVersion === undefined) return false;
    const {service} = this.request;
    return !this.context.chooser.hasSuitable(service, {softwareVersion});
  }

  /** Stops the search, because the request has been aborted. */
  stop(): void {
    this.isStopped = true;
    this.lateWait?.leave();
  }

  /** @returns When the caller of this request should retry, and why. */
  retry(): RetryAdvice {
    const maxDelayMs = this.maxRetryDelayMs();
    const {cause, retryAfterMs: promisedMs} = this.latestNotPlaced ?? NO_ROOM;
    const isPromised = promisedMs !== undefined;
    const delayMs = isPromised
      ? Math.min(promisedMs, maxDelayMs)
      : this.context.overload.returnAfterMs(this.request.service, maxDelayMs);
    return {delayMs, isPromised, cause};
  }

  private async findInTime(hasRun: boolean): Promise<Target | undefined> {
    const {chooser, placement, clock} = this.context;
    const {service, startedAt} = this.request;
    // With few targets, all of them may have been tried. The runs there have
    // ended, so they may be tried again.
    const {softwareVersion} = this;
    if (!chooser.hasUntried(service, this.tried, {softwareVersion}))
      this.tried.clear();
    const isContinued = hasRun || softwareVersion !== undefined;
    const until = isContinued
      ? clock.now() + RETRY_WAIT_MS
      : startedAt + maxQueueWaitMs(this.request.demand);
    let isRefused = false;
    for (;;) {
      if (this.isVersionGone) return undefined;
      const isLast = isRefused || clock.now() >= until;
      const demand = this.nextDemand();
      const asked = isLast && !hasRun ? this.withReturn(demand) : demand;
      const outcome = await placement.forRequest(service, asked, this.tried);
      // The search after that one is only for a time to return.
      isRefused = this.claimed.endsAfter(outcome);
      if (outcome.kind === 'placed') return outcome.target;
      this.latestNotPlaced = outcome;
      if (this.isStopped || isLast) return undefined;
      if (isRefused) continue;
      if (clock.now() >= until && !this.mayReturn) return undefined;
      await sleep(clock, POLL_INTERVAL_MS);
    }
  }

  private nextDemand(): WaitDemand {
    const demand = this.claimed.nextDemand();
    const {softwareVersion} = this;
    return softwareVersion === undefined
      ? demand
      : {...demand, softwareVersion};
  }

  /** Whether the caller can be promised room for a return. */
  private get mayReturn(): boolean {
    return !this.request.demand.returning && this.context.schedulesReturns();
  }

  /** @returns The demand, with what a promise of room needs to know. */
  private withReturn(demand: WaitDemand): WaitDemand {
    if (!this.mayReturn) return demand;
    return {...demand, returnWithinMs: this.maxRetryDelayMs()};
  }

  private maxRetryDelayMs(): number {
    const {protocol, clock} = this.context;
    const leftMs = this.request.deadlineAt - clock.now();
    return Math.max(0, protocol.maxRetryAfterMs(leftMs));
  }

  private async findLate(): Promise<Target | undefined> {
    const {tried, request} = this;
    const demand = this.nextDemand();
    this.lateWait = this.context.lateQueue.wait({...request, demand, tried});
    const end = await this.lateWait.end;
    return end.kind === 'placed' ? end.target : undefined;
  }
}
