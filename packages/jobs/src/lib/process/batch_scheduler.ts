/**
 * Schedules batch items: starts the items with the shortest remaining time on
 * targets that have free slots beside online requests, and preempts running
 * items when a target fills up.
 */
import {DisposableStore} from '@oathead/core';
import type {TargetChooser, TargetDirectory} from '@oathead/gateway';
import {inAccountTurns, runningByAccount} from './account_turns.js';
import type {ItemWork} from './item_work.js';
import {
  byPriority,
  isDelayedByFailure,
  type ItemCandidate,
} from './item_candidate.js';
import {ItemDurations} from './item_durations.js';
import type {ItemRunContext} from './item_runner.js';
import {idleTimeoutMs} from './item_idle_timeout.js';
import {ItemPreemption} from './item_preemption.js';
import {ItemRoutes, type ItemRoutesContext} from './item_routes.js';
import {ItemStarter} from './item_starter.js';
import {
  ItemTargetSearch,
  type ItemSearchContext,
} from './item_target_search.js';
import {NeglectClaim} from './neglect_claim.js';
import {NeglectReport} from './neglect_report.js';
import type {OwnedJob} from './owned_job.js';
import {longestWait, WaitExplainer} from './wait_explainer.js';
import {WaitingReport} from './waiting_report.js';

/** Dependencies of a {@link BatchScheduler}. */
export interface SchedulerContext
  extends ItemRunContext, ItemSearchContext, ItemRoutesContext {
  readonly chooser: TargetChooser;
  readonly directory: TargetDirectory;
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

/** Starts and preempts runs of items until it is disposed. */
export class BatchScheduler implements Disposable {
  private readonly disposables = new DisposableStore();
  private readonly durations = new ItemDurations();
  private readonly waitingReport: WaitingReport;
  private readonly neglectReport: NeglectReport;
  private readonly routes: ItemRoutes;
  private readonly search: ItemTargetSearch;
  private readonly explainer: WaitExplainer;
  private readonly starter: ItemStarter;
  private readonly claim = new NeglectClaim();
  private readonly preemption: ItemPreemption;
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
    this.neglectReport = new NeglectReport(context);
    this.routes = new ItemRoutes(context);
    this.search = new ItemTargetSearch(context);
    this.starter = new ItemStarter({
      ...context,
      durations: this.durations,
      search: this.search,
      waitingReport: this.waitingReport,
      isPaused: () => this.paused,
    });
    this.preemption = new ItemPreemption(context, {
      running: () => this.runningItems(),
      isLast: ({work}) => this.claim.isHeldBy(work),
    });
    this.explainer = new WaitExplainer({
      ...context,
      routes: this.routes,
      search: this.search,
      isPaused: () => this.paused,
    });
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
      () => this.reportWaiting(),
      REPORT_INTERVAL_MS,
    );
    this.disposables.defer(() => clearInterval(reportTimer));
    this.context.loads.onChange(() => this.preemption.preemptExcess());
    this.context.routing.onAdopted(() =>
      this.routes.forgetReturned(this.jobs()),
    );
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
    this.preemption.preempt(targetId, count);
  }

  /** Stops scheduling. Running items continue until their jobs are disposed. */
  [Symbol.dispose](): void {
    this.disposables[Symbol.dispose]();
  }

  private reportWaiting(): void {
    const items = this.unfinishedItems();
    const waits = this.explainer.explain(items);
    this.neglectReport.write(waits, REPORT_INTERVAL_MS);
    this.waitingReport.write(items, longestWait(waits));
  }

  private checkpoint(): void {
    for (const job of this.jobs()) void job.checkpoint();
  }

  private tick(): void {
    this.routes.checkConfigAge();
    this.endIdleRuns();
    this.preemption.preemptExcess();
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
      const route = this.routes.resolve(candidate);
      if (!route || this.search.isFull(route, candidate)) continue;
      const outcome = await this.starter.start(candidate, route);
      if (candidate.hasClaim) this.noteClaim(candidate);
      // A few items that wait for certain targets must not hold back all that
      // come after them.
      if (outcome === 'selective') continue;
      if (++started >= MAX_STARTS_PER_TICK) return;
    }
  }

  private noteClaim({job, work}: ItemCandidate): void {
    const {stage} = work;
    if (stage.kind !== 'running') return;
    this.claim.take(work);
    this.context.log.event('neglected-item-placed', {
      job: job.head.id,
      item: work.item.id,
      target: stage.targetId,
      preemptions: work.preemptions,
    });
  }

  /** @returns The items that may start now, in order of priority. */
  private candidates(): readonly ItemCandidate[] {
    const now = this.context.clock.now();
    const candidates: ItemCandidate[] = [];
    for (const job of this.jobs()) {
      this.failExpiredItems(job);
      for (const work of job.work) {
        const {stage} = work;
        if (stage.kind !== 'waiting' || stage.notBefore > now) continue;
        const candidate = this.candidate(job, work);
        if (!isDelayedByFailure(candidate, now)) candidates.push(candidate);
      }
    }
    const inTurns = inAccountTurns(
      candidates.sort(byPriority),
      runningByAccount(this.jobs()),
      name => this.context.routing.weightOf(name),
    );
    const next = this.claim.next(inTurns, now);
    if (!next) return inTurns;
    const others = inTurns.filter(candidate => candidate !== next);
    return [{...next, hasClaim: true}, ...others];
  }

  private unfinishedItems(): readonly ItemCandidate[] {
    return [...this.jobs()].flatMap(job =>
      job.work
        .filter(({stage}) => stage.kind !== 'finished')
        .map(work => this.candidate(job, work)),
    );
  }

  private candidate(job: OwnedJob, work: ItemWork): ItemCandidate {
    const untilDueMs = job.dueAtMs - (this.context.storeTimeMs() ?? 0);
    const estimate = this.durations.estimate(job.head, work, untilDueMs);
    const isLate = estimate.urgency === 'late';
    const {account} = job.head;
    const untilExpiryMs = this.untilExpiryMs(job);
    return {job, work, estimate, account, isLate, untilExpiryMs};
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

  private runningItems(): readonly ItemCandidate[] {
    return [...this.jobs()].flatMap(job =>
      job.work
        .filter(({stage}) => stage.kind === 'running')
        .map(work => this.candidate(job, work)),
    );
  }
}
