/**
 * Decides which items run: those that are done soonest, where targets have room
 * beside online requests; and which give way when a target fills up.
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
  compareOutlooks,
  ItemDurations,
  type ItemOutlook,
  type Urgency,
} from './item_durations.js';
import {runItem, type ItemRunContext} from './item_runner.js';
import {silenceLimitMs} from './item_silence.js';
import type {OwnedJob} from './owned_job.js';

/** What a {@link BatchScheduler} needs. */
export interface SchedulerContext extends ItemRunContext {
  readonly chooser: TargetChooser;
  readonly placement: ItemPlacement;
  readonly directory: TargetDirectory;
  readonly routing: RoutingState;
  readonly random: Random;
  /** This host's run, as other hosts know it from its loads. */
  readonly self: string;
  /** The store's steady clock, in milliseconds. */
  readonly storeTimeMs: () => number | undefined;
}

/** How often places are looked for, in milliseconds: a place that is free for a
 * tick costs an item of five seconds nothing. */
const TICK_MS = 25;
/** How often the texts so far are kept, in milliseconds: what a lost host costs
 * of each of its items at the most, a fifth of an item of five seconds. */
const CHECKPOINT_MS = 1000;
/** Items that are started at one tick at the most. Other hosts' loads are as
 * old as their last message; a host that filled all it sees free would meet
 * others that do the same. */
const STARTS_PER_TICK = 3;
/** A route for which there was no place is left alone for so long, in milliseconds. */
const FULL_MS = {
  /** The own view changes with the next loads: to the next tick. */
  ownView: TICK_MS / 2,
  /** A try is a question to another host. */
  coordinator: 50,
} as const;
/** How long a route must be missing before its items are given up, in ms: the
 * time within which a configuration is in force everywhere, doubled. */
const ROUTE_MISSING_MS = 5000;

interface Candidate {
  readonly job: OwnedJob;
  readonly work: ItemWork;
  readonly outlook: ItemOutlook;
}

/** What is late already waits for places that nothing else needs. */
const PRESSURE: Readonly<Record<Urgency, BatchPressure>> = {
  pressed: 'pressed',
  relaxed: 'relaxed',
  late: 'relaxed',
};

/** Items that are due soon have places which others may not take. */
function fullKey({name}: Route, {outlook}: Candidate): string {
  return `${PRESSURE[outlook.urgency]} ${name}`;
}

function moreUrgentFirst(a: Candidate, b: Candidate): number {
  return compareOutlooks(a.outlook, b.outlook);
}

/** Starts and ends runs of items until disposed. */
export class BatchScheduler implements Disposable {
  private readonly held = new DisposableStore();
  private readonly missingSince = new Map<string, number>();
  private readonly durations = new ItemDurations();
  /** Until when a route is taken to have no place, by pressure and its name. */
  private readonly fullUntil = new Map<string, number>();
  private paused = false;
  private starting = false;

  /**
   * @param context - Targets, loads and routes.
   * @param jobs - The jobs that this host works on now.
   */
  constructor(
    private readonly context: SchedulerContext,
    private readonly jobs: () => Iterable<OwnedJob>,
  ) {}

  /** Begins to run items. */
  start(): void {
    const timer = setInterval(() => this.tick(), TICK_MS);
    this.held.defer(() => clearInterval(timer));
    const keep = setInterval(() => this.checkpoint(), CHECKPOINT_MS);
    this.held.defer(() => clearInterval(keep));
    this.context.loads.onChange(() => this.yieldItems());
  }

  /** Starts nothing more: a planned stop is under way. */
  pause(): void {
    this.paused = true;
  }

  /**
   * Ends items before loads tell that they have to: an online request was placed at
   * their target.
   *
   * @param targetId - Where.
   * @param items - How many of this host's.
   */
  giveWay(targetId: string, items: number): void {
    const running = this.runningByTarget().get(targetId);
    if (running) this.endLeastUrgent(running, items);
  }

  /** Ends the decisions; runs go on until their jobs are closed. */
  [Symbol.dispose](): void {
    this.held[Symbol.dispose]();
  }

  private checkpoint(): void {
    for (const job of this.jobs()) void job.checkpoint();
  }

  private tick(): void {
    this.endSilentRuns();
    this.yieldItems();
    if (!this.paused) void this.startItems();
  }

  private endSilentRuns(): void {
    const now = this.context.clock.now();
    for (const job of this.jobs()) {
      for (const {stage, silentRuns} of job.work) {
        if (stage.kind !== 'running') continue;
        const silentMs = stage.control.silentMs(now);
        if (silentMs > silenceLimitMs(silentRuns)) stage.control.end('silent');
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

  /** One after another: each place that is taken counts for the next. */
  private async startMostUrgent(): Promise<void> {
    let started = 0;
    for (const candidate of this.candidates()) {
      const route = this.routeOf(candidate);
      if (!route || this.isFull(route, candidate)) continue;
      if (this.context.crashes.isItemBlocked(candidate.work.print)) continue;
      await this.startItem(candidate, route);
      if (++started >= STARTS_PER_TICK) return;
    }
  }

  private isFull(route: Route, candidate: Candidate): boolean {
    const until = this.fullUntil.get(fullKey(route, candidate));
    return until !== undefined && until > this.context.clock.now();
  }

  private async startItem(candidate: Candidate, route: Route): Promise<void> {
    const {clock, crashes, placement} = this.context;
    const {job, work} = candidate;
    const {stage} = work;
    const target = await this.targetFor(route, candidate);
    if (!target) {
      const forMs = FULL_MS[placement.asksOthers ? 'coordinator' : 'ownView'];
      this.fullUntil.set(fullKey(route, candidate), clock.now() + forMs);
      return;
    }
    // It was given up, or its job ended or went to another host meanwhile.
    if (work.stage !== stage || job.closed || this.paused) return;
    crashes.startsItem(work.print);
    runItem(this.context, job, work, route, target, () =>
      this.durations.add(job.head, work),
    );
  }

  private targetFor(
    route: Route,
    {outlook}: Candidate,
  ): Promise<Target | undefined> {
    const {placement, random} = this.context;
    const services = route.services.map(({service}) => service);
    const first = random.int(services.length);
    return placement.forItem(services[first]!, PRESSURE[outlook.urgency]);
  }

  /** @returns Items that may start now, the most urgent first. */
  private candidates(): readonly Candidate[] {
    const now = this.context.clock.now();
    const candidates: Candidate[] = [];
    for (const job of this.jobs()) {
      this.giveUpExpired(job);
      for (const work of job.work) {
        const {stage} = work;
        if (stage.kind === 'waiting' && stage.notBefore <= now)
          candidates.push(this.candidate(job, work));
      }
    }
    return candidates.sort(moreUrgentFirst);
  }

  private candidate(job: OwnedJob, work: ItemWork): Candidate {
    const leftMs = job.dueAtMs - (this.context.storeTimeMs() ?? 0);
    const outlook = this.durations.outlookOf(job.head, work, leftMs);
    return {job, work, outlook};
  }

  private giveUpExpired(job: OwnedJob): void {
    const {acceptedAtMs, retentionMs} = job.head;
    const now = this.context.storeTimeMs() ?? 0;
    if (now < acceptedAtMs + retentionMs) return;
    for (const work of job.work)
      if (work.stage.kind === 'waiting') job.finish(work, 'failed');
  }

  /** @returns The route of an item; its item is given up if it stays away. */
  private routeOf({job, work}: Candidate): Route | undefined {
    const {routing, clock} = this.context;
    const {hostName} = job.head;
    const {path} = work.item;
    const route = routing.current?.match(hostName, path);
    const key = `${hostName} ${path}`;
    if (route) {
      this.missingSince.delete(key);
      return route;
    }
    const since = this.missingSince.get(key) ?? clock.now();
    this.missingSince.set(key, since);
    if (clock.now() - since < ROUTE_MISSING_MS) return undefined;
    this.missingSince.delete(key);
    job.finish(work, 'failed');
    return undefined;
  }

  private yieldItems(): void {
    const running = this.runningByTarget();
    for (const [targetId, candidates] of running) {
      const target = this.context.directory.get(targetId);
      if (!target) continue;
      const {chooser, loads, self} = this.context;
      const nearlyDone = candidates.filter(one => one.outlook.nearlyDone);
      loads.markNearlyDone(targetKey(targetId), nearlyDone.length);
      const excess = chooser.itemsToYield(target, self);
      if (excess > 0) this.endLeastUrgent(candidates, excess);
    }
  }

  private runningByTarget(): ReadonlyMap<string, Candidate[]> {
    const running = new Map<string, Candidate[]>();
    for (const job of this.jobs()) {
      for (const work of job.work) {
        if (work.stage.kind !== 'running') continue;
        const {targetId} = work.stage;
        const here = running.get(targetId) ?? [];
        running.set(targetId, here);
        here.push(this.candidate(job, work));
      }
    }
    return running;
  }

  private endLeastUrgent(candidates: Candidate[], count: number): void {
    candidates.sort((a, b) => moreUrgentFirst(b, a));
    for (const {work} of candidates.slice(0, count))
      if (work.stage.kind === 'running') work.stage.control.end('yield');
  }
}
