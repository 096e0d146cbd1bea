/**
 * Schedules batch items: starts the items with the shortest remaining time on
 * targets that have free slots beside online requests, and preempts running
 * items when a target fills up.
 */
import {DisposableStore, type FreshnessLease, type Random} from '@oathead/core';
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
import {
  inAccountTurns,
  runningByAccount,
  type AccountItem,
} from './account_turns.js';
import {avoidedItemTargets, mayRunAnywhere} from './avoided_item_targets.js';
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
import {retryDelayMs} from './retry_delay.js';
import {WaitingReport} from './waiting_report.js';

/** Dependencies of a {@link BatchScheduler}. */
export interface SchedulerContext extends ItemRunContext {
  readonly chooser: TargetChooser;
  readonly placement: ItemPlacement;
  readonly directory: TargetDirectory;
  readonly routing: RoutingState;
  /** Tracks whether the configuration is the newest. */
  readonly freshness: Pick<FreshnessLease, 'ageMs'>;
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

const NO_TARGETS: ReadonlySet<string> = new Set();

interface Candidate extends AccountItem {
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

function hasFailed({work}: Candidate): boolean {
  return work.failedTargets.length > 0;
}

function byPriority(a: Candidate, b: Candidate): number {
  return compareEstimates(a.estimate, b.estimate);
}

/** Starts and preempts runs of items until it is disposed. */
export class BatchScheduler implements Disposable {
  private readonly disposables = new DisposableStore();
  /** Time since which no configuration had a route for an item. */
  private readonly routeMissingSince = new WeakMap<ItemWork, number>();
  /** Time since which this host has known the newest configuration. */
  private configKnownSince = Infinity;
  private lastLookAt = -Infinity;
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
    this.checkConfigAge();
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
      const isPlaced = await this.startItem(candidate, route);
      // Otherwise a few items that wait for other targets than those that
      // failed them would hold back all that come after them.
      if (!isPlaced && hasFailed(candidate)) continue;
      if (++started >= MAX_STARTS_PER_TICK) return;
    }
  }

  private isFull(route: Route, candidate: Candidate): boolean {
    const until = this.routeFullUntil.get(fullRouteKey(route, candidate));
    return until !== undefined && until > this.context.clock.now();
  }

  /** @returns Whether a target has a free slot for the item. */
  private async startItem(
    candidate: Candidate,
    route: Route,
  ): Promise<boolean> {
    const {crashSuspects} = this.context;
    const {job, work} = candidate;
    const {stage} = work;
    const target = await this.targetFor(route, candidate);
    const {urgency} = candidate.estimate;
    this.waitingReport.countPlacement(urgency, target ? 'placed' : 'full');
    // While the placement was pending, the item may have failed, or its job may
    // have been cancelled or handed over.
    const isStale = work.stage !== stage || job.closed || this.paused;
    if (!target) {
      const until = this.fullUntil();
      // The route may have slots for items that avoid no target.
      if (!hasFailed(candidate))
        this.routeFullUntil.set(fullRouteKey(route, candidate), until);
      else if (!isStale) work.stage = {kind: 'waiting', notBefore: until};
      return false;
    }
    if (isStale) return true;
    crashSuspects.recordItemStart(work.fingerprint);
    runItem(this.context, job, work, route, target, run => {
      this.durations.addRun(job.head, run);
      if (run.isComplete) this.durations.add(job.head, work);
    });
    return true;
  }

  private fullUntil(): number {
    const {clock, placement} = this.context;
    const by = placement.usesPeerCoordinator ? 'coordinator' : 'localView';
    return clock.now() + FULL_ROUTE_BACKOFF_MS[by];
  }

  private async targetFor(
    route: Route,
    candidate: Candidate,
  ): Promise<Target | undefined> {
    const {placement, random} = this.context;
    const services = route.services.map(({service}) => service);
    const service = services[random.int(services.length)]!;
    const pressure = PRESSURE[candidate.estimate.urgency];
    const avoided = this.avoidedTargets(service, candidate);
    const target = await placement.forItem(service, pressure, avoided);
    if (target || avoided.size === 0) return target;
    return mayRunAnywhere(candidate.estimate, this.untilExpiryMs(candidate.job))
      ? placement.forItem(service, pressure, NO_TARGETS)
      : undefined;
  }

  private avoidedTargets(
    service: string,
    {work: {failedTargets}}: Candidate,
  ): ReadonlySet<string> {
    if (failedTargets.length === 0) return NO_TARGETS;
    const available = this.context.chooser.available(service);
    return avoidedItemTargets(failedTargets, available);
  }

  /** @returns The items that may start now, in order of priority. */
  private candidates(): readonly Candidate[] {
    const now = this.context.clock.now();
    const candidates: Candidate[] = [];
    for (const job of this.jobs()) {
      this.failExpiredItems(job);
      for (const work of job.work) {
        const {stage} = work;
        if (stage.kind !== 'waiting' || stage.notBefore > now) continue;
        const candidate = this.candidate(job, work);
        if (!this.isDelayed(candidate, now)) candidates.push(candidate);
      }
    }
    return inAccountTurns(
      candidates.sort(byPriority),
      runningByAccount(this.jobs()),
      name => this.context.routing.weightOf(name),
    );
  }

  private isDelayed({job, work, estimate}: Candidate, now: number): boolean {
    const {failures, doubts, incompleteFailures, lastFailureAtMs} = work;
    if (lastFailureAtMs === undefined) return false;
    const used = failures + doubts + incompleteFailures;
    const item = {
      ...estimate,
      attemptsLeft: job.head.maxAttempts - used,
      sinceFailureMs: now - lastFailureAtMs,
      untilExpiryMs: this.untilExpiryMs(job),
    };
    return retryDelayMs(item) > 0;
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
    const isLate = estimate.urgency === 'late';
    return {job, work, estimate, account: job.head.account, isLate};
  }

  private untilExpiryMs({head}: OwnedJob): number {
    const now = this.context.storeTimeMs() ?? 0;
    return head.acceptedAtMs + head.retentionMs - now;
  }

  private failExpiredItems(job: OwnedJob): void {
    if (this.untilExpiryMs(job) > 0) return;
    for (const work of job.work)
      if (work.stage.kind === 'waiting') job.giveUp(work, 'retention');
  }

  /**
   * Restarts the time without a route, for all items, while this host cannot
   * know the newest configuration.
   */
  private checkConfigAge(): void {
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
    const countFrom = Math.max(since, this.configKnownSince);
    if (clock.now() - countFrom < ROUTE_MISSING_TIMEOUT_MS) return undefined;
    const {row} = routing;
    if (!row) return undefined;
    const {version} = routing.current.table;
    const {ageMs} = this.context.freshness;
    job.giveUp(work, 'no-route', {row, version, ageMs});
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
