/**
 * Admission to a plain service: calls at once are bounded by their latency.
 * Online calls wait shortly or are refused; batch calls take idle places only,
 * and keep one place free. A call cannot be preempted, so batch calls are never
 * more than half of the places.
 */
import type {
  AdmissionAction,
  AdmissionLoad,
  AdmissionRequest,
} from './admission.js';
import type {EndKind, Lane} from './lane.js';
import {LatencyLimit} from './latency_limit.js';
import {RunningSet} from './running_set.js';
import {WaitingRoom} from './waiting_room.js';
import {notRun} from '../request/refusal.js';
import type {PoolConfig} from '../version/target_config.js';

const BATCH_SHARE = 0.5;
const MIN_RETRY_AFTER_MS = 20;
/** Queue length as a share of the places. */
const QUEUE_SHARE = 1;
const BATCH_AT_HAND = 2;

/** Decides what runs when at one plain service. */
export class ServiceLane implements Lane {
  private readonly limit = new LatencyLimit();
  private readonly running = new RunningSet();
  private readonly room = new WaitingRoom();
  private isLeaving = false;
  private suspectRunning = false;

  /** @param cfg - The pool. */
  constructor(private cfg: PoolConfig) {}

  configure(
    pools: readonly PoolConfig[],
    weights: Readonly<Record<string, number>>,
  ): void {
    this.cfg = pools.find(({pool}) => pool === this.cfg.pool) ?? this.cfg;
    this.room.setWeights(weights);
  }

  arrived(request: AdmissionRequest, now: number): readonly AdmissionAction[] {
    if (this.isLeaving) return [this.turnedAway(request)];
    this.room.add(request, now);
    const actions = this.pump(now);
    const queue = this.room.online;
    while (queue.size > this.places * QUEUE_SHARE) {
      const {id} = queue.last()!.request;
      queue.remove(id);
      actions.push({kind: 'refuse', id, refusal: this.overloaded()});
    }
    return actions;
  }

  firstToken(): readonly AdmissionAction[] {
    return [];
  }

  tokens(): readonly AdmissionAction[] {
    return [];
  }

  ended(id: string, how: EndKind, now: number): readonly AdmissionAction[] {
    const beside = this.running.size;
    const running = this.running.end(id);
    if (running === undefined) return [];
    if (running.request.suspect) this.suspectRunning = false;
    if (how === 'done') {
      const latencyMs = now - running.startedAt;
      this.limit.ended(latencyMs, beside, this.cfg.maxOnline);
    }
    return this.pump(now);
  }

  abandoned(id: string, now: number): readonly AdmissionAction[] {
    this.room.remove(id);
    return this.pump(now);
  }

  engineLoad(): void {}

  leaving(now: number): readonly AdmissionAction[] {
    this.isLeaving = true;
    return [...this.room.giveBackBatch(), ...this.pump(now)];
  }

  tick(now: number): readonly AdmissionAction[] {
    return [...this.room.expire(now), ...this.pump(now)];
  }

  runs(id: string): boolean {
    return this.running.get(id) !== undefined;
  }

  load(): AdmissionLoad {
    const {online, batch} = this.running;
    const room = this.batchPlaces() + BATCH_AT_HAND - this.room.batch.size;
    const closed = this.isLeaving || this.suspectRunning;
    return {
      onlineRunning: online.running,
      onlineQueued: this.room.online.size,
      onlineCapacity: this.places,
      batchRunning: batch.running,
      batchQueued: this.room.batch.size,
      batchRoom: closed ? 0 : Math.max(0, room),
      prefillTokens: 0,
      stepMs: this.limit.meanMs,
    };
  }

  private get places(): number {
    return this.limit.capacity(this.cfg.maxOnline);
  }

  private batchPlaces(): number {
    const free = this.places - this.running.size - 1;
    const share = Math.ceil(this.places * BATCH_SHARE);
    return Math.min(free, share - this.running.batch.running);
  }

  private pump(now: number): AdmissionAction[] {
    const actions: AdmissionAction[] = [];
    if (this.room.suspectCount > 0) this.startSuspect(now, actions);
    if (this.suspectRunning) return actions;
    while (this.running.size < this.places && this.room.online.size > 0) {
      this.start(this.room.online.take()!, now, actions);
    }
    while (this.batchPlaces() > 0 && this.room.batch.size > 0) {
      this.start(this.room.batch.take()!, now, actions);
    }
    return actions;
  }

  private startSuspect(now: number, actions: AdmissionAction[]): void {
    if (this.running.size > 0 || this.suspectRunning) return;
    this.suspectRunning = true;
    this.start(this.room.takeSuspect()!, now, actions);
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

  private turnedAway({id, class: kind}: AdmissionRequest): AdmissionAction {
    if (kind === 'batch') return {kind: 'give-back', id};
    const refusal = notRun('leaving', 'This target takes no new work.');
    return {kind: 'refuse', id, refusal};
  }

  private overloaded() {
    const wait = (this.room.online.size * this.limit.meanMs) / this.places;
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(wait));
    return notRun('overloaded', 'The service has no room.', retryAfterMs);
  }
}
