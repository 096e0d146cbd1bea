/**
 * Admission to a model engine. Online work goes in at once up to what was
 * measured, then waits shortly, then is refused; batch work takes what is left
 * and leaves in the same call in which online work needs its room.
 */
import type {
  AdmissionAction,
  AdmissionLoad,
  AdmissionRequest,
} from './admission.js';
import {BatchController} from './batch_controller.js';
import type {BatchRule, BatchSenses} from './batch_controller.js';
import type {EngineLoad} from './engine_client.js';
import {HarmMeter} from './harm_meter.js';
import type {EndKind, Lane} from './lane.js';
import {OnlineGate} from './online_gate.js';
import {RunningSet} from './running_set.js';
import {StepClock} from './step_clock.js';
import {StepModel} from './step_model.js';
import type {StepMix} from './step_model.js';
import {WaitingRoom} from './waiting_room.js';
import {notRun} from '../request/refusal.js';
import type {PoolConfig} from '../version/target_config.js';
import {LRUCache} from 'lru-cache';

/** Share of the aim for the first token that may be spent waiting. */
const WAIT_SHARE = 0.5;
const MIN_RETRY_AFTER_MS = 50;
/** Batch requests kept at hand, so that a free slot is filled at once. */
const BATCH_AT_HAND = 32;
/** A step this little longer than one that only decodes prefilled nothing. */
const STALL_TOLERANCE = 1.03;
const CLOCK_ERROR_MS = 1;
/** Tokens to prefill of a stream that goes on where it was preempted. */
const RESUME_TOKENS = 64;
/** Share of the time to its deadline after which a suspect gets its turn. */
const SUSPECT_PATIENCE = 0.5;

type Actions = AdmissionAction[];

/** Decides what runs when at one model engine. */
export class EngineLane implements Lane {
  private readonly model = new StepModel();
  private readonly steps = new StepClock();
  private readonly running = new RunningSet();
  private readonly meter = new HarmMeter();
  private readonly gate = new OnlineGate(this.model, this.running);
  private readonly room = new WaitingRoom();
  private readonly batchRule: BatchRule;
  private pools = new Map<string, PoolConfig>();
  private readonly preempted = new LRUCache<string, true>({max: 256});
  private isLeaving = false;
  private suspectRunning = false;

  /** @param buildRule - Builds the rule for batch work. */
  constructor(
    buildRule: (senses: BatchSenses) => BatchRule = senses =>
      new BatchController(senses),
  ) {
    const {model, running, meter, gate, steps} = this;
    this.batchRule = buildRule({model, running, meter, gate, steps});
  }

  configure(
    pools: readonly PoolConfig[],
    weights: Readonly<Record<string, number>>,
  ): void {
    this.pools = new Map(pools.map(cfg => [cfg.pool, cfg]));
    this.room.setWeights(weights);
  }

  arrived(request: AdmissionRequest, now: number): readonly AdmissionAction[] {
    if (this.isLeaving) return [turnedAway(request)];
    if (request.class === 'online') this.meter.arrived(request.id, now);
    this.room.add(request, now);
    const actions = this.pump(now);
    if (request.class === 'online') this.shed(request, actions);
    return actions;
  }

  firstToken(id: string, now: number): readonly AdmissionAction[] {
    const running = this.running.get(id);
    if (running === undefined) return [];
    const closed = this.closeStep(id, now);
    this.running.firstToken(id);
    const {request} = running;
    this.model.prefilled(running.prefillTokens);
    if (request.class === 'online') {
      this.meter.firstToken(id, now - running.arrivedAt);
    }
    this.running.tokens(id, 1);
    return closed ? this.pump(now) : [];
  }

  tokens(id: string, count: number, now: number): readonly AdmissionAction[] {
    const closed = this.closeStep(id, now);
    this.running.tokens(id, count);
    return closed ? this.pump(now) : [];
  }

  ended(id: string, how: EndKind, now: number): readonly AdmissionAction[] {
    const running = this.running.end(id);
    if (running === undefined) return [];
    const online = running.request.class === 'online';
    // Stopped while prefilling: what was computed counts, though it is lost.
    if (running.prefilling) {
      this.model.prefilled(running.prefillTokens - running.prefillLeft);
    }
    if (running.request.suspect) this.suspectRunning = false;
    if (online) this.meter.gone(id);
    if (online && how === 'done') this.gate.finished(now - running.startedAt);
    if (this.running.size === 0) this.steps.idle();
    return this.pump(now);
  }

  abandoned(id: string, now: number): readonly AdmissionAction[] {
    if (this.room.remove(id)) this.meter.gone(id);
    return this.pump(now);
  }

  engineLoad(load: EngineLoad): void {
    this.gate.report(load);
  }

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
    const cfg = [...this.pools.values()][0];
    const streams = cfg === undefined ? 0 : this.batchRule.streams(cfg);
    const room = streams + BATCH_AT_HAND - batch.running - this.room.batch.size;
    const closed = this.isLeaving || this.alone();
    return {
      onlineRunning: online.running,
      onlineQueued: this.room.online.size,
      onlineCapacity: cfg === undefined ? 0 : this.gate.capacity(cfg),
      batchRunning: batch.running,
      batchQueued: this.room.batch.size,
      batchRoom: closed ? 0 : Math.max(0, room),
      prefillTokens: online.prefillTokens + batch.prefillTokens,
      stepMs: this.model.predict({
        streams: online.running + batch.running,
        prefillTokens: 0,
      }),
    };
  }

  /** A suspect runs, or is due to: nothing else may start. */
  private alone(): boolean {
    return this.suspectRunning;
  }

  private pump(now: number): Actions {
    const actions: Actions = [];
    if (this.room.suspectCount > 0) this.startSuspect(now, actions);
    if (this.alone()) return actions;
    this.startOnline(now, actions);
    if (this.room.online.size === 0) this.startBatch(now, actions);
    return actions;
  }

  /**
   * A request that was in flight when a target died may have killed it. It runs
   * with nothing beside it, so that a second death takes no other along and
   * tells for certain that it was the cause.
   */
  private startSuspect(now: number, actions: Actions): void {
    const next = this.room.peekSuspect();
    if (next === undefined || this.suspectRunning) return;
    const patience = (next.request.deadline - next.since) * SUSPECT_PATIENCE;
    const due = now - next.since >= patience;
    if (this.running.online.running > 0 && !due) return;
    if (this.running.size > 0) {
      for (const batch of this.running.newestBatch()) {
        this.preempt(batch, actions);
      }
      return;
    }
    this.suspectRunning = true;
    this.start(this.room.takeSuspect()!, now, actions);
  }

  private startOnline(now: number, actions: Actions): void {
    const queue = this.room.online;
    for (let next = queue.peek(); next; next = queue.peek()) {
      const cfg = this.pools.get(next.request.pool)!;
      if (!this.gate.admits(next.request, cfg)) return;
      queue.take();
      const excess = this.batchRule.excess(next.request, cfg, now);
      const victims = this.running.newestBatch().slice(0, excess);
      for (const victim of victims) this.preempt(victim, actions);
      this.start(next, now, actions);
    }
  }

  private startBatch(now: number, actions: Actions): void {
    const queue = this.room.batch;
    const fits = (request: AdmissionRequest) => {
      const cfg = this.pools.get(request.pool)!;
      return this.batchRule.admits(request, cfg, this.prefillOf(request));
    };
    // Long prompts fit only while few streams run; short ones and streams that
    // go on fit later too, so long ones go first.
    const size = (request: AdmissionRequest) => this.prefillOf(request);
    for (;;) {
      const next = queue.take(fits, size);
      if (next === undefined) return;
      this.start(next, now, actions);
    }
  }

  private start(
    {
      request,
      since,
    }: {readonly request: AdmissionRequest; readonly since: number},
    now: number,
    actions: Actions,
  ): void {
    if (this.running.size === 0) this.steps.begin(now);
    this.running.start(request, since, now, this.prefillOf(request));
    actions.push({kind: 'start', id: request.id});
  }

  /** What was preempted here lately is still cached, but for its last block. */
  private prefillOf({
    id,
    promptTokens,
    resumedTokens,
  }: AdmissionRequest): number {
    const whole = promptTokens + resumedTokens;
    return this.preempted.has(id) ? Math.min(whole, RESUME_TOKENS) : whole;
  }

  private preempt(
    running: ReturnType<RunningSet['newestBatch']>[number],
    actions: Actions,
  ): void {
    this.running.stop(running);
    if (!running.prefilling) this.preempted.set(running.request.id, true);
    actions.push({kind: 'preempt', id: running.request.id});
  }

  /** Refuses at once what would wait longer than makes sense. */
  private shed(request: AdmissionRequest, actions: Actions): void {
    const cfg = this.pools.get(request.pool)!;
    const queue = this.room.online;
    const longest = cfg.firstTokenMs * WAIT_SHARE;
    while (queue.size > 0) {
      const wait = this.gate.expectedWait(queue.size - 1, cfg);
      const long = wait > longest || queue.size > this.gate.capacity(cfg);
      if (!long) return;
      const {id} = queue.heaviest()!.request;
      queue.remove(id);
      this.meter.gone(id);
      actions.push({kind: 'refuse', id, refusal: overloaded(wait)});
    }
  }

  private measure(durationMs: number, now: number): void {
    const {model, meter} = this;
    const {online, batch} = this.running;
    const tokens = model.prefilledIn(
      durationMs,
      online.decoding + batch.decoding,
    );
    const done = this.running.prefilled(tokens);
    const doneMs = model.prefillMs(done);
    const streams = meter.aloneStreams();
    const decodeMs = model.fixed + model.perStream * streams;
    // Alone, a part of a prompt would have taken the like part of a full step.
    const whole = online.prefillTokens <= 0;
    const part = Math.min(1, doneMs / Math.max(1, model.largestPrefill));
    meter.step({
      endedAt: now,
      durationMs,
      aloneMs: decodeMs + doneMs,
      alonePrefillMs: doneMs + decodeMs * (whole ? 1 : part),
      onlineTokens: online.decoding,
      limitMs: this.limitMs(),
    });
  }

  private limitMs(): number {
    const cfg = [...this.pools.values()][0];
    return cfg === undefined ? 0 : this.batchRule.stepLimit(cfg);
  }

  /** Whether requests waited through a step that prefilled nothing. */
  private stalled(durationMs: number, mix: StepMix, now: number): boolean {
    const {streams, prefillTokens} = mix;
    if (prefillTokens === 0 || streams === 0) return false;
    const decodeMs = this.model.predict({streams, prefillTokens: 0});
    if (durationMs > decodeMs * STALL_TOLERANCE) return false;
    return this.running.waitsSince(now - durationMs - CLOCK_ERROR_MS);
  }

  private closeStep(id: string, now: number): boolean {
    const durationMs = this.steps.token(id, now);
    if (durationMs === undefined) return false;
    const {online, batch} = this.running;
    const streams = online.decoding + batch.decoding;
    const prefillTokens = this.running.prefillsAny
      ? Math.max(1, online.prefillTokens + batch.prefillTokens)
      : 0;
    const mix = {streams, prefillTokens};
    const stalled = this.stalled(durationMs, mix, now);
    this.gate.watchCeiling(stalled, streams, now);
    if (!stalled) this.model.learn(durationMs, mix);
    this.measure(durationMs, now);
    return true;
  }
}

function turnedAway(request: AdmissionRequest): AdmissionAction {
  const {id} = request;
  if (request.class === 'batch') return {kind: 'give-back', id};
  const refusal = notRun('leaving', 'This target takes no new work.');
  return {kind: 'refuse', id, refusal};
}

function overloaded(waitMs: number) {
  const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs));
  return notRun('overloaded', 'The target has no room.', retryAfterMs);
}
