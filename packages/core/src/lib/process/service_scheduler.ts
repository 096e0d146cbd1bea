/**
 * Schedules the calls to one plain service. The number of concurrent calls is
 * bounded by their latency. Online calls are queued for a short time or
 * refused. Batch calls use idle slots only and leave one slot free. A running
 * call cannot be preempted, so batch calls never occupy more than half of the
 * slots.
 */
import type {
  AdmissionAction,
  AdmissionLoad,
  AdmissionRequest,
} from './admission.js';
import type {RunEnd, Scheduler} from './scheduler.js';
import {ConcurrencyLimit} from './concurrency_limit.js';
import {RunningSet} from './running_set.js';
import {SchedulerQueues} from './scheduler_queues.js';
import {notRun} from '../request/refusal.js';
import type {PoolConfig} from '../version/target_config.js';

/** Largest share of the slots for batch calls. */
const BATCH_SHARE = 0.5;
const MIN_RETRY_AFTER_MS = 20;
/** Maximum length of the online queue, as a share of the slots. */
const QUEUE_SHARE = 1;
/** Batch calls to keep queued, so that a free slot is filled without delay. */
const BATCH_QUEUE_TARGET = 2;

/** Schedules the calls to one plain service. */
export class ServiceScheduler implements Scheduler {
  private readonly limit = new ConcurrencyLimit();
  private readonly running = new RunningSet();
  private readonly queues = new SchedulerQueues();
  private isDraining = false;
  private suspectRunning = false;

  /** @param cfg - The configuration of the pool. */
  constructor(private cfg: PoolConfig) {}

  configure(
    pools: readonly PoolConfig[],
    weights: Readonly<Record<string, number>>,
  ): void {
    this.cfg = pools.find(({pool}) => pool === this.cfg.pool) ?? this.cfg;
    this.queues.setWeights(weights);
  }

  arrived(request: AdmissionRequest, now: number): readonly AdmissionAction[] {
    if (this.isDraining) return [this.drainingRejection(request)];
    this.queues.add(request, now);
    const actions = this.schedule(now);
    const queue = this.queues.online;
    while (queue.size > this.concurrencyLimit * QUEUE_SHARE) {
      const {id} = queue.shedCandidate()!.request;
      queue.remove(id);
      actions.push({kind: 'refuse', id, refusal: this.overloadRefusal()});
    }
    return actions;
  }

  firstToken(): readonly AdmissionAction[] {
    return [];
  }

  tokens(): readonly AdmissionAction[] {
    return [];
  }

  ended(id: string, how: RunEnd, now: number): readonly AdmissionAction[] {
    const concurrentCalls = this.running.size;
    const running = this.running.end(id);
    if (running === undefined) return [];
    if (running.request.suspect) this.suspectRunning = false;
    if (how === 'done') {
      const latencyMs = now - running.startedAt;
      this.limit.ended(latencyMs, concurrentCalls, this.cfg.maxOnline);
    }
    return this.schedule(now);
  }

  abandoned(id: string, now: number): readonly AdmissionAction[] {
    this.queues.remove(id);
    return this.schedule(now);
  }

  engineLoad(): void {}

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
    const batchRoom =
      this.freeBatchSlots() + BATCH_QUEUE_TARGET - this.queues.batch.size;
    const acceptsNoBatch = this.isDraining || this.suspectRunning;
    return {
      onlineRunning: online.running,
      onlineQueued: this.queues.online.size,
      onlineCapacity: this.concurrencyLimit,
      batchRunning: batch.running,
      batchQueued: this.queues.batch.size,
      batchRoom: acceptsNoBatch ? 0 : Math.max(0, batchRoom),
      prefillTokens: 0,
      stepMs: this.limit.meanMs,
    };
  }

  private get concurrencyLimit(): number {
    return this.limit.capacity(this.cfg.maxOnline);
  }

  private freeBatchSlots(): number {
    const free = this.concurrencyLimit - this.running.size - 1;
    const share = Math.ceil(this.concurrencyLimit * BATCH_SHARE);
    return Math.min(free, share - this.running.batch.running);
  }

  private schedule(now: number): AdmissionAction[] {
    const actions: AdmissionAction[] = [];
    if (this.queues.suspectCount > 0) this.startSuspect(now, actions);
    if (this.suspectRunning) return actions;
    while (
      this.running.size < this.concurrencyLimit &&
      this.queues.online.size > 0
    ) {
      this.start(this.queues.online.take()!, now, actions);
    }
    while (this.freeBatchSlots() > 0 && this.queues.batch.size > 0) {
      this.start(this.queues.batch.take()!, now, actions);
    }
    return actions;
  }

  private startSuspect(now: number, actions: AdmissionAction[]): void {
    if (this.running.size > 0 || this.suspectRunning) return;
    this.suspectRunning = true;
    this.start(this.queues.takeSuspect()!, now, actions);
  }

  private start(
    {
      request,
      since,
    }: {readonly request: AdmissionRequest; readonly since: number},
    now: number,
    actions: AdmissionAction[],
  ): void {
    this.running.start(request, since, now);
    actions.push({kind: 'start', id: request.id});
  }

  private drainingRejection({
    id,
    class: kind,
  }: AdmissionRequest): AdmissionAction {
    if (kind === 'batch') return {kind: 'give-back', id};
    const refusal = notRun('leaving', 'This target takes no new work.');
    return {kind: 'refuse', id, refusal};
  }

  private overloadRefusal() {
    const waitMs =
      (this.queues.online.size * this.limit.meanMs) / this.concurrencyLimit;
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs));
    return notRun('overloaded', 'The service has no room.', retryAfterMs);
  }
}
