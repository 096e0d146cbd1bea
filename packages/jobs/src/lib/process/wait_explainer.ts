/** Finds the item that has waited longest, and why it is not running. */
import type {Clock} from '@oathead/core';
import {
  itemView,
  type ItemView,
  type ItemViewContext,
  type RoutingState,
} from '@oathead/gateway';
import {
  isDelayedByFailure,
  waitedMs,
  type ItemCandidate,
} from './item_candidate.js';
import type {ItemRoutes} from './item_routes.js';
import type {ItemTargetSearch} from './item_target_search.js';
import {waitReason, type WaitReason} from './wait_reason.js';

/** Dependencies of {@link WaitExplainer}. */
export interface WaitExplainerContext extends ItemViewContext {
  readonly clock: Clock;
  readonly routing: Pick<RoutingState, 'current'>;
  readonly routes: Pick<ItemRoutes, 'routeOf'>;
  readonly search: Pick<ItemTargetSearch, 'refusedBy' | 'pendingMs'>;
  readonly isPaused: () => boolean;
}

/** The item that has waited longest. */
export interface LongestWait extends ItemView {
  readonly job: string;
  readonly item: string;
  /** How long it has received nothing, in milliseconds. */
  readonly waitedMs: number;
  readonly urgency: string;
  readonly reason: WaitReason;
  /** Number of its runs under this owner. */
  readonly runs: number;
  readonly service: string | undefined;
}

/**
 * Shorter waits are not explained, in milliseconds: a fifth of the time after
 * which an item that lies beside free slots counts as forgotten.
 */
const LONG_WAIT_MS = 1000;

const NO_VIEW: ItemView = {targets: 0, suspended: 0, underHalf: 0};

/** Explains the longest wait on this host. */
export class WaitExplainer {
  /** @param context - What decides on the start of an item. */
  constructor(private readonly context: WaitExplainerContext) {}

  /**
   * @param items - The unfinished items of this host.
   * @returns The longest wait; undefined if no item waits for long.
   */
  longest(items: readonly ItemCandidate[]): LongestWait | undefined {
    const now = this.context.clock.now();
    let longest: ItemCandidate | undefined;
    let longestMs = LONG_WAIT_MS;
    for (const candidate of items) {
      const {kind} = candidate.work.stage;
      if (kind !== 'waiting' && kind !== 'recording') continue;
      const ms = waitedMs(candidate, now);
      if (ms <= longestMs) continue;
      longest = candidate;
      longestMs = ms;
    }
    return longest && this.explain(longest, longestMs, now);
  }

  private explain(
    candidate: ItemCandidate,
    forMs: number,
    now: number,
  ): LongestWait {
    const {routing, routes, search, isPaused} = this.context;
    const {job, work, estimate} = candidate;
    const {stage} = work;
    const route = routes.routeOf(job, work);
    const service = route?.services[0]?.service;
    const view =
      service === undefined ? NO_VIEW : itemView(this.context, service);
    const reason = waitReason({
      isRecording: stage.kind === 'recording',
      isPaused: isPaused(),
      isAfterRun: stage.kind === 'waiting' && stage.notBefore > now,
      isAfterFailure: isDelayedByFailure(candidate, now),
      hasConfiguration: routing.current !== undefined,
      hasRoute: route !== undefined,
      searchMs: search.pendingMs(),
      refusedBy: route && search.refusedBy(route, candidate),
      ...view,
    });
    return {
      job: job.head.id,
      item: work.item.id,
      waitedMs: Math.round(forMs),
      urgency: estimate.urgency,
      reason,
      runs: work.runs,
      service,
      ...view,
    };
  }
}
