/**
 * Requests of this host that can no longer be answered within their latency
 * objective and wait for a slot that nothing else needs.
 *
 * Only the first request of each service looks for a slot, at an interval that
 * grows while there is none, so that many waiting requests cause no more
 * placement requests than one. `late_slots.ts` in core decides who waits and in
 * which order.
 */
import {
  expectedRunMs,
  lateSlotIntervalMs,
  latestStart,
  orderLate,
  sleep,
  type Clock,
  type Counters,
  type EventLog,
  type LateRequest,
  type LateRoom,
  type WaitDemand,
} from '@oathead/core';
import type {Target} from '../connection/target.js';
import type {Placement} from './placement.js';
import type {LoadPeer} from './load_reporter.js';
import type {ServiceOverload} from './service_overload.js';
import type {TargetChooser} from './target_chooser.js';
import type {TargetDirectory} from './target_directory.js';

/** Dependencies of {@link LateQueue}. */
export interface LateQueueContext {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly counters: Counters;
  readonly chooser: Pick<TargetChooser, 'forRequest'>;
  readonly directory: Pick<TargetDirectory, 'slotsOf'>;
  readonly overload: Pick<ServiceOverload, 'latencyOf' | 'isFull'>;
  readonly placement: Pick<
    Placement<LoadPeer>,
    'forRequest' | 'usesPeerCoordinator'
  >;
  /** @returns Number of live hosts, including this one. */
  readonly hosts: () => number;
  /** @returns Whether requests may wait here at all. */
  readonly isEnabled: () => boolean;
}

/** A request that asks to wait. */
export interface LateDemand {
  /** Identifies the request in the log. */
  readonly requestId: string | undefined;
  readonly service: string;
  readonly demand: WaitDemand;
  /** When the caller gives up, in monotonic milliseconds. */
  readonly deadlineAt: number;
  /** IDs of targets that were tried already. */
  readonly tried: ReadonlySet<string>;
}

/** How a wait ends. */
export type LateWaitEnd =
  | {readonly kind: 'placed'; readonly target: Target}
  /** The request cannot be served before its deadline any more. */
  | {readonly kind: 'too-late'}
  /** The caller has left, or its deadline has passed. */
  | {readonly kind: 'left'}
  /** This host is about to stop, or its requests do not wait. */
  | {readonly kind: 'closed'};

/** A request that waits. */
export interface LateWait {
  /** Resolves when the wait ends; never rejects. */
  readonly end: Promise<LateWaitEnd>;
  /** Ends the wait, because the caller has left or its deadline has passed. */
  leave(): void;
}

/** Shortest and longest interval between searches, in milliseconds. */
const MIN_SEARCH_INTERVAL_MS = 10;
const MAX_SEARCH_INTERVAL_MS = 80;
/** Growth of that interval after each search without a result. */
const SEARCH_INTERVAL_GROWTH = 1.5;

interface Waiting extends LateRequest {
  readonly asked: LateDemand;
  readonly since: number;
  readonly settle: (end: LateWaitEnd) => void;
}

/** The waiting requests of this host, by service. */
export class LateQueue {
  private readonly queues = new Map<string, readonly Waiting[]>();
  /** Services whose queue is being served. */
  private readonly served = new Set<string>();
  private isClosed = false;

  /** @param context - Target selection, and what is known of the service. */
  constructor(private readonly context: LateQueueContext) {}

  /**
   * @param asked - A request for which no target has free capacity.
   * @returns Its wait, which may have ended already.
   */
  wait(asked: LateDemand): LateWait {
    const {clock} = this.context;
    const {promise, resolve} = withResolver();
    const since = clock.now();
    const waiting: Waiting = {
      asked,
      since,
      priority: asked.demand.priority,
      startBy: this.latestStart(asked),
      settle: end => {
        this.report(waiting, end);
        resolve(end);
      },
    };
    if (this.isClosed || !this.context.isEnabled()) resolve({kind: 'closed'});
    else this.add(waiting);
    return {end: promise, leave: () => this.remove(waiting, {kind: 'left'})};
  }

  /**
   * Takes no more requests. Those that wait keep waiting if they can end before
   * this host stops; the others are refused at once.
   *
   * @param stopsAt - When this host stops, in monotonic milliseconds.
   */
  close(stopsAt: number): void {
    this.isClosed = true;
    for (const [service, queue] of this.queues) {
      const shortened = queue.map(waiting => {
        const until = this.latestStart({...waiting.asked, deadlineAt: stopsAt});
        return {...waiting, startBy: Math.min(waiting.startBy, until)};
      });
      this.queues.set(service, shortened);
      this.reorder(service);
    }
  }

  private latestStart({service, demand, deadlineAt}: LateDemand): number {
    const {clock, overload} = this.context;
    const runMs = expectedRunMs(overload.latencyOf(service), demand.goalMs);
    return latestStart(clock.now(), deadlineAt, runMs);
  }

  private add(waiting: Waiting): void {
    const {service} = waiting.asked;
    const queue = this.queues.get(service) ?? [];
    this.queues.set(service, [...queue, waiting]);
    if (!this.reorder(service).includes(waiting)) return;
    this.count('begun');
    if (!this.served.has(service)) void this.serve(service);
  }

  /** Ends the wait of a request that still waits. */
  private remove(waiting: Waiting, end: LateWaitEnd): void {
    const {service} = waiting.asked;
    const queue = this.queues.get(service) ?? [];
    const left = queue.filter(({asked}) => asked !== waiting.asked);
    if (left.length === queue.length) return;
    this.queues.set(service, left);
    waiting.settle(end);
  }

  /** @returns The requests that keep waiting, the next one first. */
  private reorder(service: string): readonly Waiting[] {
    const queue = this.queues.get(service) ?? [];
    const room = this.roomFor(service, queue);
    if (!room) return [];
    const {waiting, refused} = orderLate(queue, room, this.context.clock.now());
    this.queues.set(service, waiting);
    for (const one of refused) one.settle({kind: 'too-late'});
    return waiting;
  }

  private roomFor(
    service: string,
    [first]: readonly Waiting[],
  ): LateRoom | undefined {
    if (!first) return undefined;
    const {overload, directory, hosts} = this.context;
    const {goalMs} = first.asked.demand;
    const runMs = expectedRunMs(overload.latencyOf(service), goalMs);
    return {runMs, slots: directory.slotsOf(service), hosts: hosts()};
  }

  /** Serves the queue of a service until it is empty after a pause. */
  private async serve(service: string): Promise<void> {
    const {clock} = this.context;
    this.served.add(service);
    let intervalMs = MIN_SEARCH_INTERVAL_MS;
    for (;;) {
      const [first] = this.reorder(service);
      if (!first) break;
      const target = await this.search(first);
      if (target) {
        this.remove(first, {kind: 'placed', target});
        intervalMs = this.pauseMs(service, first);
      } else
        intervalMs = Math.min(
          MAX_SEARCH_INTERVAL_MS,
          intervalMs * SEARCH_INTERVAL_GROWTH,
        );
      await sleep(clock, this.untilNextMs(service, intervalMs));
    }
    this.served.delete(service);
    this.queues.delete(service);
  }

  private async search({asked}: Waiting): Promise<Target | undefined> {
    const {chooser, overload, placement} = this.context;
    const {service, tried} = asked;
    const demand: WaitDemand = {...asked.demand, late: true};
    const isAlone = !placement.usesPeerCoordinator;
    if (overload.isFull(service, demand.goalMs, isAlone)) return undefined;
    // Without a free slot in the local view, the coordinator is not asked.
    if (!chooser.forRequest(service, demand, tried)) return undefined;
    const outcome = await placement.forRequest(service, demand, tried);
    return outcome.kind === 'placed' ? outcome.target : undefined;
  }

  /**
   * @returns The pause after a request got a slot, in milliseconds: all hosts
   *     together take only their part of the slots that become free. Without a
   *     coordinator, those that see the same free slot would all take it.
   */
  private pauseMs(service: string, last: Waiting): number {
    const room = this.roomFor(service, [last]);
    const ownPartMs = room ? lateSlotIntervalMs(room) : 0;
    return Math.max(MIN_SEARCH_INTERVAL_MS, ownPartMs);
  }

  /** Shortens a pause so that no request is held when it is too late for it. */
  private untilNextMs(service: string, intervalMs: number): number {
    const queue = this.queues.get(service) ?? [];
    const startBy = Math.min(...queue.map(one => one.startBy));
    const leftMs = Math.max(0, startBy - this.context.clock.now());
    return Math.min(intervalMs, leftMs + 1);
  }

  private report({asked, since}: Waiting, end: LateWaitEnd): void {
    this.count(end.kind);
    this.context.log.event('request-late-wait', {
      request: asked.requestId,
      service: asked.service,
      account: asked.demand.account,
      priority: asked.demand.priority,
      outcome: end.kind,
      waitedMs: Math.round(this.context.clock.now() - since),
      target: end.kind === 'placed' ? end.target.id : undefined,
    });
  }

  private count(outcome: string): void {
    this.context.counters.count('late_waits', {outcome});
  }
}

function withResolver() {
  let resolve: (end: LateWaitEnd) => void = () => {};
  const promise = new Promise<LateWaitEnd>(settle => (resolve = settle));
  return {promise, resolve};
}
