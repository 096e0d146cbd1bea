/**
 * Schedules batch items: starts the items with the shortest remaining time on
 * targets that have free slots beside online requests, and preempts running
 * items when a target fills up.
 */
import {DisposableStore, type Random} from '@oathead/core';
import {
  targetKey,
  type BatchPressure,
  type ItemPlacement,
  type Route,
  type RoutingState,
  type Target,
  type TargetChooser,
  type TargetDirectory,
} from '@oathead/gateway';
import type {ItemWork} from './item_work.js';
import {
  compareEstimates,
  ItemDurations,
  type ItemEstimate,
  type Urgency,
} from './item_durations.js';
import {runItem, type ItemRunContext} from './item_runner.js';
import {idleTimeoutMs} from './item_idle_timeout.js';
import type {OwnedJob} from './owned_job.js';
import {WaitingReport} from './waiting_report.js';

/** Dependencies of a {@link BatchScheduler}. */
export interface SchedulerContext extends ItemRunContext {
  readonly chooser: TargetChooser;
  readonly placement: ItemPlacement;
  readonly directory: TargetDirectory;
  readonly routing: RoutingState;
  readonly random: Random;
  /** Member ID of this host's incarnation, as in its load reports. */
  readonly self: string;
  /**
   * The store's monotonic clock, in milliseconds; undefined until it is known.
   */
  readonly storeTimeMs: () => number | undefined;
}

/**
 * Interval at which the scheduler looks for free slots, in milliseconds. A slot
 * that stays free for one interval is negligible against an item of five
 * seconds.
 */
const SCHEDULING_INTERVAL_MS = 25;
/**
 * Interval at which partial texts are stored, in milliseconds. It bounds the
 * work that each running item loses with its host: a fifth of an item of five
 * seconds.
 */
const CHECKPOINT_INTERVAL_MS = 1000;
/** Interval of the log line about waiting items, in milliseconds. */
const REPORT_INTERVAL_MS = 1000;
/**
 * Maximum number of items started per scheduling interval. Load reports of
 * other hosts are as old as their last message, so hosts that fill every slot
 * they see free would overload the same targets.
 */
const MAX_STARTS_PER_TICK = 3;
/** How long a route without a free slot is skipped, in milliseconds. */
const FULL_ROUTE_BACKOFF_MS = {
  /**
   * The local load table changes with the next load report, so the route is
   * tried again in the next interval.
   */
  localView: SCHEDULING_INTERVAL_MS / 2,
  /** Each attempt sends a placement request to another host. */
  coordinator: 50,
} as const;
/**
 * How long a route must be missing before its items fail, in milliseconds:
 * twice the time within which a configuration takes effect on all hosts.
 */
const ROUTE_MISSING_TIMEOUT_MS = 5000;

interface Candidate {
  readonly job: OwnedJob;
  readonly work: ItemWork;
  readonly estimate: ItemEstimate;
}

/** Items that are already late only use slots that nothing else needs. */
const PRESSURE: Readonly<Record<Urgency, BatchPressure>> = {
  pressed: 'pressed',
  relaxed: 'relaxed',
  late: 'relaxed',
};

/**
 * Key of the backoff of a route. It includes the pressure, since slots are
 * reserved for urgent items: a route that is full for relaxed items may have
 * slots for urgent ones.
 */
function fullRouteKey({name}: Route, {estimate}: Candidate): string {
  return `${PRESSURE[estimate.urgency]} ${name}`;
}

function byPriority(a: Candidate, b: Candidate): number {
  return compareEstimates(a.estimate, b.estimate);
}

/** Starts and preempts runs of items until it is disposed. */
export class BatchScheduler implements Disposable {
  private readonly disposables = new DisposableStore();
  /** Time since which no configuration had a route for an item. */
  private readonly routeMissingSince = new WeakMap<ItemWork, number>();
  private readonly durations = new ItemDurations();
  private readonly waitingReport: WaitingReport;
  /** Time until which a route is considered full, by {@link fullRouteKey}. */
  private readonly routeFullUntil = new Map<string, number>();
  private paused = false;
  private starting = false;

  /**
   * @param context - Targets, loads and routes.
   * @param jobs - Returns the jobs that this host owns now.
   */
  constructor(
    private readonly context: SchedulerContext,
    private readonly jobs: () => Iterable<OwnedJob>,
  ) {
    this.waitingReport = new WaitingReport(context);
  }

  /** Starts scheduling. */
  start(): void {
    const schedulingTimer = setInterval(
      () => this.tick(),
      SCHEDULING_INTERVAL_MS,
    );
    this.disposables.defer(() => clearInterval(schedulingTimer));
    const checkpointTimer = setInterval(
      () => this.checkpoint(),
      CHECKPOINT_INTERVAL_MS,
    );
    this.disposables.defer(() => clearInterval(checkpointTimer));
    const reportTimer = setInterval(
      () => this.waitingReport.write(this.unfinishedItems()),
      REPORT_INTERVAL_MS,
    );
    this.disposables.defer(() => clearInterval(reportTimer));
    this.context.loads.onChange(() => this.preemptExcessItems());
    this.context.routing.onAdopted(() => this.forgetRoutesThatCameBack());
  }

  /** Starts no further items, for a graceful shutdown. */
  pause(): void {
    this.paused = true;
  }

  /**
   * Preempts items without waiting for load reports, because an online request
   * was placed on their target.
   *
   * @param targetId - Target on which the request was placed.
   * @param count - Number of items of this host to preempt.
   */
  preemptItems(targetId: string, count: number): void {
    const running = this.runningByTarget().get(targetId);
    if (running) this.preemptLeastUrgent(running, count);
  }

  /** Stops scheduling. Running items continue until their jobs are disposed. */
  [Symbol.dispose](): void {
    this.disposables[Symbol.dispose]();
  }

  private checkpoint(): void {
    for (const job of this.jobs()) void job.checkpoint();
  }

  private tick(): void {
    this.endIdleRuns();
    this.preemptExcessItems();
    if (!this.paused) void this.startItems();
  }

  private endIdleRuns(): void {
    const now = this.context.clock.now();
    for (const job of this.jobs()) {
      for (const {stage, idleTimeouts} of job.work) {
        if (stage.kind !== 'running') continue;
        const idleMs = stage.control.silentMs(now);
        if (idleMs > idleTimeoutMs(idleTimeouts)) stage.control.end('silent');
      }
    }
  }

  private async startItems(): Promise<void> {
    if (this.starting) return;
    this.starting = true;
    try {
      await this.startMostUrgent();
    } finally {
      this.starting = false;
    }
  }

  /**
   * Starts items one after another, so that each placement takes the previous
   * ones into account.
   */
  private async startMostUrgent(): Promise<void> {
    let started = 0;
    for (const candidate of this.candidates()) {
      const route = this.resolveRoute(candidate);
      if (!route || this.isFull(route, candidate)) continue;
      if (this.context.crashSuspects.isItemBlocked(candidate.work.fingerprint))
        continue;
      await this.startItem(candidate, route);
      if (++started >= MAX_STARTS_PER_TICK) return;
    }
  }

  private isFull(route: Route, candidate: Candidate): boolean {
    const until = this.routeFullUntil.get(fullRouteKey(route, candidate));
    return until !== undefined && until > this.context.clock.now();
  }

  private async startItem(candidate: Candidate, route: Route): Promise<void> {
    const {clock, crashSuspects, placement} = this.context;
    const {job, work} = candidate;
    const {stage} = work;
    const target = await this.targetFor(route, candidate);
    const {urgency} = candidate.estimate;
    this.waitingReport.countPlacement(urgency, target ? 'placed' : 'full');
    if (!target) {
      const backoffMs =
        FULL_ROUTE_BACKOFF_MS[
          placement.usesPeerCoordinator ? 'coordinator' : 'localView'
        ];
      this.routeFullUntil.set(
        fullRouteKey(route, candidate),
        clock.now() + backoffMs,
      );
      return;
    }
    // While the placement was pending, the item may have failed, or its job may
    // have been cancelled or handed over.
    if (work.stage !== stage || job.closed || this.paused) return;
    crashSuspects.recordItemStart(work.fingerprint);
    runItem(this.context, job, work, route, target, run => {
      this.durations.addRun(job.head, run);
      if (run.isComplete) this.durations.add(job.head, work);
    });
  }

  private targetFor(
    route: Route,
    {estimate}: Candidate,
  ): Promise<Target | undefined> {
    const {placement, random} = this.context;
    const services = route.services.map(({service}) => service);
    const first = random.int(services.length);
    return placement.forItem(services[first]!, PRESSURE[estimate.urgency]);
  }

  /** @returns The items that may start now, in order of priority. */
  private candidates(): readonly Candidate[] {
    const now = this.context.clock.now();
    const candidates: Candidate[] = [];
    for (const job of this.jobs()) {
      this.failExpiredItems(job);
      for (const work of job.work) {
        const {stage} = work;
        if (stage.kind === 'waiting' && stage.notBefore <= now)
          candidates.push(this.candidate(job, work));
      }
    }
    return candidates.sort(byPriority);
  }

  private unfinishedItems(): readonly Candidate[] {
    return [...this.jobs()].flatMap(job =>
      job.work
        .filter(({stage}) => stage.kind !== 'finished')
        .map(work => this.candidate(job, work)),
    );
  }

  private candidate(job: OwnedJob, work: ItemWork): Candidate {
    const untilDueMs = job.dueAtMs - (this.context.storeTimeMs() ?? 0);
    const estimate = this.durations.estimate(job.head, work, untilDueMs);
    return {job, work, estimate};
  }

  private failExpiredItems(job: OwnedJob): void {
    const {acceptedAtMs, retentionMs} = job.head;
    const now = this.context.storeTimeMs() ?? 0;
    if (now < acceptedAtMs + retentionMs) return;
    for (const work of job.work)
      if (work.stage.kind === 'waiting') job.giveUp(work, 'retention');
  }

  /**
   * Resolves the route of an item. The item fails if its route has been missing
   * for {@link ROUTE_MISSING_TIMEOUT_MS}. Until a host has a configuration, it
   * cannot tell whether a route is missing.
   *
   * @returns The route; undefined if there is none or no configuration.
   */
  private resolveRoute({job, work}: Candidate): Route | undefined {
    const {routing, clock} = this.context;
    if (!routing.current) return undefined;
    const route = this.routeOf(job, work);
    if (route) {
      this.routeMissingSince.delete(work);
      return route;
    }
    const since = this.routeMissingSince.get(work) ?? clock.now();
    this.routeMissingSince.set(work, since);
    if (clock.now() - since < ROUTE_MISSING_TIMEOUT_MS) return undefined;
    job.giveUp(work, 'no-route');
    return undefined;
  }

  private routeOf(job: OwnedJob, {item}: ItemWork): Route | undefined {
    return this.context.routing.current?.match(job.head.hostName, item.path);
  }

  /**
   * Restarts the time of the items whose route is there again. An item that is
   * running or far back in the queue is not looked at under each version.
   */
  private forgetRoutesThatCameBack(): void {
    for (const job of this.jobs())
      for (const work of job.work)
        if (this.routeMissingSince.has(work) && this.routeOf(job, work))
          this.routeMissingSince.delete(work);
  }

  private preemptExcessItems(): void {
    const running = this.runningByTarget();
    for (const [targetId, candidates] of running) {
      const target = this.context.directory.get(targetId);
      if (!target) continue;
      const {chooser, loads, self} = this.context;
      const nearlyDone = candidates.filter(
        candidate => candidate.estimate.nearlyDone,
      );
      loads.markNearlyDone(targetKey(targetId), nearlyDone.length);
      const excess = chooser.itemsToPreempt(target, self);
      if (excess > 0) this.preemptLeastUrgent(candidates, excess);
    }
  }

  private runningByTarget(): ReadonlyMap<string, Candidate[]> {
    const running = new Map<string, Candidate[]>();
    for (const job of this.jobs()) {
      for (const work of job.work) {
        if (work.stage.kind !== 'running') continue;
        const {targetId} = work.stage;
        const atTarget = running.get(targetId) ?? [];
        running.set(targetId, atTarget);
        atTarget.push(this.candidate(job, work));
      }
    }
    return running;
  }

  private preemptLeastUrgent(candidates: Candidate[], count: number): void {
    candidates.sort((a, b) => byPriority(b, a));
    for (const {work} of candidates.slice(0, count))
      if (work.stage.kind === 'running') work.stage.control.end('yield');
  }
}
