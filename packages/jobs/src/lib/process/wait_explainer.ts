/** Finds out why items wait, and which of them has waited longest. */
import type {Clock} from '@oathead/core';
import {
  itemView,
  type ItemView,
  type ItemViewContext,
  type RoutingState,
} from '@oathead/gateway';
import {
  isDelayedByFailure,
  neglectedMs,
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

/** An item that waits, and why. */
export interface ExplainedWait {
  readonly candidate: ItemCandidate;
  /** How long it has received nothing, in milliseconds. */
  readonly waitedMs: number;
  /** How long no target has worked on it, in milliseconds. */
  readonly neglectedMs: number;
  readonly reason: WaitReason;
  readonly service: string | undefined;
  readonly view: ItemView;
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

/**
 * Maximum number of waits that are explained at a time: with a job of tens of
 * thousands of items, the reasons of all would take a share of a core.
 */
const MAX_EXPLAINED = 256;

const NO_VIEW: ItemView = {targets: 0, suspended: 0, underHalf: 0};

/** Explains the waits on this host. */
export class WaitExplainer {
  /** @param context - What decides on the start of an item. */
  constructor(private readonly context: WaitExplainerContext) {}

  /**
   * @param items - The unfinished items of this host.
   * @returns Long waits: the first ones in the order of the items, and the
   *     longest one.
   */
  explain(items: readonly ItemCandidate[]): readonly ExplainedWait[] {
    const now = this.context.clock.now();
    const long = items
      .filter(({work}) => isWaiting(work.stage.kind))
      .filter(
        candidate =>
          waitedMs(candidate, now) > LONG_WAIT_MS ||
          neglectedMs(candidate, now) > LONG_WAIT_MS,
      );
    const explained = new Set(long.slice(0, MAX_EXPLAINED));
    const longest = longestOf(long, now);
    if (longest) explained.add(longest);
    const views = new Map<string, ItemView>();
    return [...explained].map(item => this.explainOne(item, now, views));
  }

  private explainOne(
    candidate: ItemCandidate,
    now: number,
    views: Map<string, ItemView>,
  ): ExplainedWait {
    const {routing, routes, search, isPaused} = this.context;
    const {job, work} = candidate;
    const {stage} = work;
    const route = routes.routeOf(job, work);
    const service = route?.services[0]?.service;
    const view = this.viewOf(service, views);
    const reason = waitReason({
      isRecording: stage.kind === 'recording',
      isPaused: isPaused(),
      isBehindTrial: stage.kind === 'waiting' && stage.isBehindTrial === true,
      isAfterRun: stage.kind === 'waiting' && stage.notBefore > now,
      isAfterFailure: isDelayedByFailure(candidate, now),
      hasConfiguration: routing.current !== undefined,
      hasRoute: route !== undefined,
      searchMs: search.pendingMs(),
      refusedBy: route && search.refusedBy(route, candidate),
      ...view,
    });
    return {
      candidate,
      waitedMs: waitedMs(candidate, now),
      neglectedMs: neglectedMs(candidate, now),
      reason,
      service,
      view,
    };
  }

  private viewOf(
    service: string | undefined,
    views: Map<string, ItemView>,
  ): ItemView {
    if (service === undefined) return NO_VIEW;
    const view = views.get(service) ?? itemView(this.context, service);
    views.set(service, view);
    return view;
  }
}

/**
 * @param waits - Explained waits.
 * @returns The longest; undefined if no item has received nothing for long.
 */
export function longestWait(
  waits: readonly ExplainedWait[],
): LongestWait | undefined {
  let longest: ExplainedWait | undefined;
  for (const wait of waits)
    if (wait.waitedMs > (longest?.waitedMs ?? LONG_WAIT_MS)) longest = wait;
  if (!longest) return undefined;
  const {candidate, reason, service, view} = longest;
  const {job, work, estimate} = candidate;
  return {
    job: job.head.id,
    item: work.item.id,
    waitedMs: Math.round(longest.waitedMs),
    urgency: estimate.urgency,
    reason,
    runs: work.runs,
    service,
    ...view,
  };
}

function longestOf(
  items: readonly ItemCandidate[],
  now: number,
): ItemCandidate | undefined {
  let longest: ItemCandidate | undefined;
  for (const item of items)
    if (!longest || waitedMs(item, now) > waitedMs(longest, now))
      longest = item;
  return longest;
}

function isWaiting(kind: string): boolean {
  return kind === 'waiting' || kind === 'recording';
}
