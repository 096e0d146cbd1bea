/**
 * Schedules the requests of one model engine. Online requests start immediately
 * up to the measured capacity, are queued for a short time beyond it, and are
 * refused beyond that. Batch work uses the remaining capacity and is preempted
 * in the same call in which an online request needs it.
 */
import type {
  AdmissionAction,
  AdmissionLoad,
  AdmissionRequest,
} from './admission.js';
import {BatchController} from './batch_controller.js';
import type {BatchLimiter} from './batch_controller.js';
import type {EngineLoad} from './engine_client.js';
import {EngineObserver} from './engine_observer.js';
import type {QueuedRequest} from './fair_queue.js';
import type {RunEnd, Scheduler} from './scheduler.js';
import {roundDownToBlocks} from './prefix_cache_model.js';
import type {RunningRequest} from './running_set.js';
import {SchedulerQueues} from './scheduler_queues.js';
import {notRun} from '../request/refusal.js';
import type {Refusal} from '../request/refusal.js';
import type {PoolConfig} from '../version/target_config.js';

/**
 * Time that a request may be queued, as a share of the latency objective for
 * the first token. The second value applies to callers that were served less
 * than their share: while one caller floods the queue, requests of several
 * light callers queue behind it, and at the lower limit they would be refused
 * in favour of one another.
 */
const WAIT_SHARE = 0.5;
const MAX_WAIT_SHARE = 2;
const MIN_RETRY_AFTER_MS = 50;
/**
 * Batch requests to keep queued, so that a free slot is filled without a round
 * trip.
 */
const BATCH_QUEUE_TARGET = 16;
/**
 * Time in the queue after which batch requests are ordered by age, ahead of
 * newer ones.
 */
const BATCH_AGING_MS = 3_000;
/** Upper bound of the length of any prompt, in tokens; scales sort keys. */
const PROMPT_TOKENS_BOUND = 1e9;
/**
 * Share of the time to its deadline that an online suspect waits for the engine
 * to be free of online work. After that, batch work is preempted and not
 * started, so that the engine can run empty.
 */
const SUSPECT_WAIT_SHARE = 0.5;

type Actions = AdmissionAction[];

/** Schedules the requests of one model engine. */
export class EngineScheduler implements Scheduler {
  private readonly observer = new EngineObserver();
  private readonly running = this.observer.running;
  private readonly queues = new SchedulerQueues();
  private readonly prefixCache = this.observer.prefixCache;
  /**
   * Requests of which only a prefill chunk is running, by ID, with the number
   * of prompt tokens up to the end of the chunk.
   */
  private readonly chunkEnds = new Map<string, number>();
  private readonly batchLimiter: BatchLimiter;
  private pools = new Map<string, PoolConfig>();
  private supportsChunkedPrefill = true;
  private isDraining = false;
  private suspectRunning = false;

  /** @param buildBatchLimiter - Builds the policy that bounds batch work. */
  constructor(
    buildBatchLimiter: (observer: EngineObserver) => BatchLimiter = observer =>
      new BatchController(observer),
  ) {
    this.batchLimiter = buildBatchLimiter(this.observer);
  }

  configure(
    pools: readonly PoolConfig[],
    weights: Readonly<Record<string, number>>,
  ): void {
    this.pools = new Map(pools.map(cfg => [cfg.pool, cfg]));
    this.queues.setWeights(weights);
  }

  arrived(request: AdmissionRequest, now: number): readonly AdmissionAction[] {
    if (this.isDraining) return [drainingRejection(request)];
    const online = request.class === 'online';
    if (online) this.observer.arrived(request, now);
    this.queues.add(request, now);
    const actions = this.schedule(now);
    if (online) this.shed(request, actions);
    return actions;
  }

  firstToken(id: string, now: number): readonly AdmissionAction[] {
    // The target process started the whole request although only a prefill
    // chunk was asked for, so it does not support chunks.
    if (this.chunkEnds.delete(id)) this.supportsChunkedPrefill = false;
    this.prefixCache.recordComputed(this.running.get(id)?.prefillTokens ?? 0);
    const stepEnded = this.observer.firstToken(id, now, this.stepLimitMs());
    if (stepEnded)
      this.prefixCache.adjustRetention(this.observer.unexpectedTokens);
    return stepEnded ? this.schedule(now) : [];
  }

  tokens(id: string, count: number, now: number): readonly AdmissionAction[] {
    const stepEnded = this.observer.tokens(id, count, now, this.stepLimitMs());
    if (stepEnded)
      this.prefixCache.adjustRetention(this.observer.unexpectedTokens);
    return stepEnded ? this.schedule(now) : [];
  }

  ended(id: string, how: RunEnd, now: number): readonly AdmissionAction[] {
    const chunkEnd = this.chunkEnds.get(id);
    this.chunkEnds.delete(id);
    const stopping = this.running.get(id)?.stopping ?? false;
    const chunkDone =
      chunkEnd !== undefined && !stopping && how === 'preempted';
    if (chunkDone) this.prefixCache.recordCached(id, chunkEnd);
    const running = this.observer.ended(id, how, chunkDone, now);
    if (running === undefined) return [];
    const {generated, prefilling, prefillTokens} = running;
    this.prefixCache.recordComputed(prefilling ? prefillTokens : generated);
    if (running.request.suspect) this.suspectRunning = false;
    return this.schedule(now);
  }

  abandoned(id: string, now: number): readonly AdmissionAction[] {
    if (this.queues.remove(id)) this.observer.meter.ended(id);
    return this.schedule(now);
  }

  engineLoad(load: EngineLoad): void {
    this.observer.onlineLimiter.report(load);
    this.prefixCache.setMemoryTokens(load.kvTokensTotal);
  }

  leaving(now: number): readonly AdmissionAction[] {
    this.isDraining = true;
    return [...this.queues.returnBatch(), ...this.schedule(now)];
  }

  tick(now: number): readonly AdmissionAction[] {
    return [...this.queues.expire(now), ...this.schedule(now)];
  }

  runs(id: string): boolean {
    return this.running.get(id) !== undefined;
  }

  load(): AdmissionLoad {
    const {online, batch} = this.running;
    const cfg = this.anyPool();
    const streams = cfg === undefined ? 0 : this.batchLimiter.maxStreams(cfg);
    const batchRoom =
      streams + BATCH_QUEUE_TARGET - batch.running - this.queues.batch.size;
    const acceptsNoBatch = this.isDraining || this.suspectRunning;
    return {
      onlineRunning: online.running,
      onlineQueued: this.queues.online.size,
      onlineCapacity:
        cfg === undefined ? 0 : this.observer.onlineLimiter.capacity(cfg),
      batchRunning: batch.running,
      batchQueued: this.queues.batch.size,
      batchRoom: acceptsNoBatch ? 0 : Math.max(0, batchRoom),
      // Batch work is preempted for online work, so its prefill is no reason to
      // route a request to another target.
      prefillTokens: online.prefillTokens,
      stepMs: this.observer.model.predict({
        streams: online.running,
        prefillTokens: 0,
      }),
    };
  }

  private schedule(now: number): Actions {
    const actions: Actions = [];
    const emptyingForSuspect = this.startSuspect(now, actions);
    if (this.suspectRunning) {
      this.preemptSuspect(actions);
      return actions;
    }
    this.startOnline(now, actions);
    this.preemptSurplus(actions);
    if (!emptyingForSuspect && this.queues.online.size === 0)
      this.startBatch(now, actions);
    return actions;
  }

  /**
   * Starts a suspect request when it may run alone. A request that was in
   * flight when a target crashed may have caused the crash. It runs alone, so
   * that a second crash affects no other request and proves that it is the
   * cause.
   *
   * @returns Whether a suspect was started or the engine is being emptied for
   *     one. Batch work must not start then, or it would be started and
   *     preempted in an endless loop.
   */
  private startSuspect(now: number, actions: Actions): boolean {
    const next = this.queues.peekSuspect();
    if (next === undefined || this.suspectRunning) return false;
    if (!this.maySuspectStart(next, now)) return false;
    if (this.running.size > 0) {
      for (const batch of this.running.preemptibleBatch()) {
        this.preempt(batch, actions);
      }
      return true;
    }
    this.suspectRunning = true;
    this.start(this.queues.takeSuspect()!, now, actions);
    return true;
  }

  /**
   * Whether the engine may be emptied for a suspect. A batch suspect waits
   * until there is no online work, because online work never waits for batch
   * work. An online suspect does so only for a share of the time to its
   * deadline.
   */
  private maySuspectStart(
    {request, since}: QueuedRequest,
    now: number,
  ): boolean {
    const {online} = this.queues;
    if (this.running.online.running === 0 && online.size === 0) return true;
    if (request.class === 'batch') return false;
    const maxWaitMs = (request.deadline - since) * SUSPECT_WAIT_SHARE;
    return now - since >= maxWaitMs;
  }

  /**
   * Preempts a running batch suspect, like any batch stream, for online work.
   */
  private preemptSuspect(actions: Actions): void {
    if (this.queues.online.size === 0) return;
    for (const batch of this.running.preemptibleBatch()) {
      this.preempt(batch, actions);
    }
  }

  private startOnline(now: number, actions: Actions): void {
    const queue = this.queues.online;
    for (let next = queue.peek(); next; next = queue.peek()) {
      const cfg = this.pools.get(next.request.pool)!;
      if (!this.observer.onlineLimiter.admits(next.request, cfg)) return;
      queue.take();
      const excess = this.batchLimiter.streamsToPreempt(next.request, cfg, now);
      const victims = this.running.preemptibleBatch().slice(0, excess);
      for (const victim of victims) this.preempt(victim, actions);
      this.start(next, now, actions);
    }
  }

  private preemptSurplus(actions: Actions): void {
    const cfg = this.anyPool();
    if (cfg === undefined || this.running.batch.running === 0) return;
    const surplus = this.batchLimiter.surplusStreams(cfg);
    if (surplus === 0) return;
    for (const victim of this.running.preemptibleBatch().slice(0, surplus)) {
      this.preempt(victim, actions);
    }
  }

  private startBatch(now: number, actions: Actions): void {
    const queue = this.queues.batch;
    if (queue.size === 0) return;
    const size = (request: AdmissionRequest) =>
      this.prefixCache.tokensToPrefill(request);
    const fits = (request: AdmissionRequest) => {
      const cfg = this.pools.get(request.pool)!;
      return this.batchLimiter.admits(request, cfg, size(request));
    };
    // Long prompts fit only while few streams run. Short prompts and resumed
    // streams still fit later, so long prompts start first. Requests that have
    // waited too long start before all others.
    const rank = ({request, since}: QueuedRequest) =>
      now - since > BATCH_AGING_MS
        ? now - since
        : size(request) / PROMPT_TOKENS_BOUND;
    for (;;) {
      const next = queue.take(fits, rank);
      if (next === undefined) break;
      this.start(next, now, actions);
    }
    if (this.supportsChunkedPrefill) this.startChunk(now, actions);
  }

  /**
   * Starts a prefill chunk of a prompt that is too long to start as a whole.
   */
  private startChunk(now: number, actions: Actions): void {
    const cfg = this.anyPool();
    if (cfg === undefined) return;
    const tokens = roundDownToBlocks(this.batchLimiter.prefillChunkTokens(cfg));
    if (tokens === 0) return;
    const isLonger = (request: AdmissionRequest) =>
      this.prefixCache.tokensToPrefill(request) > tokens;
    // Prompts that are partly prefilled come first, as their cached prefix may
    // be evicted soon.
    const rank = ({request: {id}, since}: QueuedRequest) =>
      this.prefixCache.cachedTokens(id) * PROMPT_TOKENS_BOUND - since;
    const next = this.queues.batch.take(isLonger, rank);
    if (next === undefined) return;
    const {request, since} = next;
    const {id} = request;
    const prefillOnly = this.prefixCache.cachedTokens(id) + tokens;
    this.chunkEnds.set(id, prefillOnly);
    this.observer.started(request, since, now, tokens);
    actions.push({kind: 'start', id, prefillOnly});
  }

  private start(
    {request, since}: QueuedRequest,
    now: number,
    actions: Actions,
  ): void {
    this.observer.started(
      request,
      since,
      now,
      this.prefixCache.tokensToPrefill(request),
    );
    actions.push({kind: 'start', id: request.id});
  }

  private preempt(running: RunningRequest, actions: Actions): void {
    const {request, generated, prefilling} = running;
    const computed = request.promptTokens + request.resumedTokens + generated;
    if (!prefilling) this.prefixCache.recordCached(request.id, computed);
    this.running.stop(running);
    actions.push({kind: 'preempt', id: request.id});
  }

  /**
   * Refuses online requests immediately while the expected wait exceeds its
   * limit or the queue exceeds the capacity of the engine.
   */
  private shed(request: AdmissionRequest, actions: Actions): void {
    const cfg = this.pools.get(request.pool)!;
    const {onlineLimiter: limiter, meter} = this.observer;
    const queue = this.queues.online;
    const usualWaitMs = cfg.firstTokenMs * WAIT_SHARE;
    const maxWaitMs = cfg.firstTokenMs * MAX_WAIT_SHARE;
    while (queue.size > 0) {
      const waitMs = limiter.expectedWaitMs(queue.size - 1, cfg);
      const full = waitMs > maxWaitMs || queue.size > limiter.capacity(cfg);
      if (!full && waitMs <= usualWaitMs) return;
      const victim = queue.shedCandidate(!full);
      if (victim === undefined) return;
      const {id} = victim.request;
      queue.remove(id);
      meter.ended(id);
      actions.push({kind: 'refuse', id, refusal: overloadRefusal(waitMs)});
    }
  }

  private stepLimitMs(): number {
    const cfg = this.anyPool();
    return cfg === undefined ? 0 : this.batchLimiter.stepLimitMs(cfg);
  }

  /**
   * The configuration of the first pool. The models of one engine share its
   * steps, so this configuration is used for all of them.
   */
  private anyPool(): PoolConfig | undefined {
    for (const cfg of this.pools.values()) return cfg;
    return undefined;
  }
}

function drainingRejection(request: AdmissionRequest): AdmissionAction {
  const {id} = request;
  if (request.class === 'batch') return {kind: 'give-back', id};
  const refusal = notRun('leaving', 'This target takes no new work.');
  return {kind: 'refuse', id, refusal};
}

function overloadRefusal(waitMs: number): Refusal {
  const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs));
  return notRun('overloaded', 'The target has no room.', retryAfterMs);
}
