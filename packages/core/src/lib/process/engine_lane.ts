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
import type {BatchRule} from './batch_controller.js';
import type {EngineLoad} from './engine_client.js';
import {EngineSenses} from './engine_senses.js';
import type {Queued} from './fair_queue.js';
import type {EndKind, Lane} from './lane.js';
import {wholeBlocks} from './prompt_cache.js';
import type {Running} from './running_set.js';
import {WaitingRoom} from './waiting_room.js';
import {notRun} from '../request/refusal.js';
import type {Refusal} from '../request/refusal.js';
import type {PoolConfig} from '../version/target_config.js';

/**
 * Share of the aim for the first token that may be spent waiting. A caller that
 * has had less than its share may wait longer: behind a greedy one even modest
 * callers meet, and would be refused one for the other.
 */
const WAIT_SHARE = 0.5;
const LONGEST_WAIT_SHARE = 2;
const MIN_RETRY_AFTER_MS = 50;
/** Batch requests kept at hand, so that a free slot is filled at once. */
const BATCH_AT_HAND = 16;
/** Batch work that waited so long goes before what came later. */
const LONG_WAIT_MS = 3_000;
/** Larger than any prompt, in tokens. */
const MAX_SIZE = 1e9;
/** Share of the time to its deadline after which a suspect gets its turn. */
const SUSPECT_PATIENCE = 0.5;

type Actions = AdmissionAction[];

/** Decides what runs when at one model engine. */
export class EngineLane implements Lane {
  private readonly senses = new EngineSenses();
  private readonly running = this.senses.running;
  private readonly room = new WaitingRoom();
  private readonly cache = this.senses.cache;
  /** Requests of which only so many tokens are being prefilled. */
  private readonly pieces = new Map<string, number>();
  private readonly batchRule: BatchRule;
  private pools = new Map<string, PoolConfig>();
  private prefillsPieces = true;
  private isLeaving = false;
  private suspectRunning = false;

  /** @param buildRule - Builds the rule for batch work. */
  constructor(
    buildRule: (senses: EngineSenses) => BatchRule = senses =>
      new BatchController(senses),
  ) {
    this.batchRule = buildRule(this.senses);
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
    const online = request.class === 'online';
    if (online) this.senses.arrived(request, now);
    this.room.add(request, now);
    const actions = this.pump(now);
    if (online) this.shed(request, actions);
    return actions;
  }

  firstToken(id: string, now: number): readonly AdmissionAction[] {
    // It was asked for a piece of the prompt and generates all the same.
    if (this.pieces.delete(id)) this.prefillsPieces = false;
    this.cache.add(this.running.get(id)?.prefillTokens ?? 0);
    const closed = this.senses.firstToken(id, now, this.limitMs());
    if (closed) this.cache.check(this.senses.unexpectedTokens);
    return closed ? this.pump(now) : [];
  }

  tokens(id: string, count: number, now: number): readonly AdmissionAction[] {
    const closed = this.senses.tokens(id, count, now, this.limitMs());
    if (closed) this.cache.check(this.senses.unexpectedTokens);
    return closed ? this.pump(now) : [];
  }

  ended(id: string, how: EndKind, now: number): readonly AdmissionAction[] {
    const piece = this.pieces.get(id);
    this.pieces.delete(id);
    const stopping = this.running.get(id)?.stopping ?? false;
    const pieceDone = piece !== undefined && !stopping && how === 'preempted';
    if (pieceDone) this.cache.keep(id, piece);
    const running = this.senses.ended(id, how, pieceDone, now);
    if (running === undefined) return [];
    const {generated, prefilling, prefillTokens} = running;
    this.cache.add(prefilling ? prefillTokens : generated);
    if (running.request.suspect) this.suspectRunning = false;
    return this.pump(now);
  }

  abandoned(id: string, now: number): readonly AdmissionAction[] {
    if (this.room.remove(id)) this.senses.meter.gone(id);
    return this.pump(now);
  }

  engineLoad(load: EngineLoad): void {
    this.senses.gate.report(load);
    this.cache.setMemory(load.kvTokensTotal);
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
    const cfg = this.anyPool();
    const streams = cfg === undefined ? 0 : this.batchRule.streams(cfg);
    const room = streams + BATCH_AT_HAND - batch.running - this.room.batch.size;
    const closed = this.isLeaving || this.suspectRunning;
    return {
      onlineRunning: online.running,
      onlineQueued: this.room.online.size,
      onlineCapacity: cfg === undefined ? 0 : this.senses.gate.capacity(cfg),
      batchRunning: batch.running,
      batchQueued: this.room.batch.size,
      batchRoom: closed ? 0 : Math.max(0, room),
      // Batch work gives way, so it is no reason to go elsewhere.
      prefillTokens: online.prefillTokens,
      stepMs: this.senses.model.predict({
        streams: online.running,
        prefillTokens: 0,
      }),
    };
  }

  private pump(now: number): Actions {
    const actions: Actions = [];
    const claimed = this.startSuspect(now, actions);
    if (this.suspectRunning) {
      this.yieldSuspect(actions);
      return actions;
    }
    this.startOnline(now, actions);
    this.stopSurplus(actions);
    if (!claimed && this.room.online.size === 0) this.startBatch(now, actions);
    return actions;
  }

  /**
   * A request that was in flight when a target died may have killed it. It runs
   * with nothing beside it, so that a second death takes no other along and
   * tells for certain that it was the cause.
   *
   * @returns Whether the engine is being emptied for it: nothing of batch may
   *     start then, or it would be started and preempted without an end.
   */
  private startSuspect(now: number, actions: Actions): boolean {
    const next = this.room.peekSuspect();
    if (next === undefined || this.suspectRunning) return false;
    if (!this.isSuspectsTurn(next, now)) return false;
    if (this.running.size > 0) {
      for (const batch of this.running.newestBatch()) {
        this.preempt(batch, actions);
      }
      return true;
    }
    this.suspectRunning = true;
    this.start(this.room.takeSuspect()!, now, actions);
    return true;
  }

  /** Online work never waits behind batch work, suspect or not. */
  private isSuspectsTurn({request, since}: Queued, now: number): boolean {
    const {online} = this.room;
    if (this.running.online.running === 0 && online.size === 0) return true;
    if (request.class === 'batch') return false;
    const patience = (request.deadline - since) * SUSPECT_PATIENCE;
    return now - since >= patience;
  }

  /** A suspect of batch gives way to online work as any batch stream does. */
  private yieldSuspect(actions: Actions): void {
    if (this.room.online.size === 0) return;
    for (const batch of this.running.newestBatch()) {
      this.preempt(batch, actions);
    }
  }

  private startOnline(now: number, actions: Actions): void {
    const queue = this.room.online;
    for (let next = queue.peek(); next; next = queue.peek()) {
      const cfg = this.pools.get(next.request.pool)!;
      if (!this.senses.gate.admits(next.request, cfg)) return;
      queue.take();
      const excess = this.batchRule.excess(next.request, cfg, now);
      const victims = this.running.newestBatch().slice(0, excess);
      for (const victim of victims) this.preempt(victim, actions);
      this.start(next, now, actions);
    }
  }

  private stopSurplus(actions: Actions): void {
    const cfg = this.anyPool();
    if (cfg === undefined || this.running.batch.running === 0) return;
    const surplus = this.batchRule.surplus(cfg);
    if (surplus === 0) return;
    for (const victim of this.running.newestBatch().slice(0, surplus)) {
      this.preempt(victim, actions);
    }
  }

  private startBatch(now: number, actions: Actions): void {
    const queue = this.room.batch;
    if (queue.size === 0) return;
    const size = (request: AdmissionRequest) => this.cache.left(request);
    const fits = (request: AdmissionRequest) => {
      const cfg = this.pools.get(request.pool)!;
      return this.batchRule.admits(request, cfg, size(request));
    };
    // Long prompts fit only while few streams run; short ones and streams that
    // go on fit later too, so long ones go first, and before them what has
    // waited long.
    const rank = ({request, since}: Queued) =>
      now - since > LONG_WAIT_MS ? now - since : size(request) / MAX_SIZE;
    for (;;) {
      const next = queue.take(fits, rank);
      if (next === undefined) break;
      this.start(next, now, actions);
    }
    if (this.prefillsPieces) this.startPiece(now, actions);
  }

  /** Has a piece of a prompt prefilled that does not fit as a whole. */
  private startPiece(now: number, actions: Actions): void {
    const cfg = this.anyPool();
    if (cfg === undefined) return;
    const tokens = wholeBlocks(this.batchRule.pieceTokens(cfg));
    if (tokens === 0) return;
    const longer = (request: AdmissionRequest) =>
      this.cache.left(request) > tokens;
    // What was begun goes on first: it is not cached for long.
    const rank = ({request: {id}, since}: Queued) =>
      this.cache.of(id) * MAX_SIZE - since;
    const next = this.room.batch.take(longer, rank);
    if (next === undefined) return;
    const {request, since} = next;
    const {id} = request;
    const prefillOnly = this.cache.of(id) + tokens;
    this.pieces.set(id, prefillOnly);
    this.senses.started(request, since, now, tokens);
    actions.push({kind: 'start', id, prefillOnly});
  }

  private start({request, since}: Queued, now: number, actions: Actions): void {
    this.senses.started(request, since, now, this.cache.left(request));
    actions.push({kind: 'start', id: request.id});
  }

  private preempt(running: Running, actions: Actions): void {
    const {request, generated, prefilling} = running;
    const computed = request.promptTokens + request.resumedTokens + generated;
    if (!prefilling) this.cache.keep(request.id, computed);
    this.running.stop(running);
    actions.push({kind: 'preempt', id: request.id});
  }

  /** Refuses at once what would wait longer than makes sense. */
  private shed(request: AdmissionRequest, actions: Actions): void {
    const cfg = this.pools.get(request.pool)!;
    const {gate, meter} = this.senses;
    const queue = this.room.online;
    const short = cfg.firstTokenMs * WAIT_SHARE;
    const longest = cfg.firstTokenMs * LONGEST_WAIT_SHARE;
    while (queue.size > 0) {
      const wait = gate.expectedWait(queue.size - 1, cfg);
      const full = wait > longest || queue.size > gate.capacity(cfg);
      if (!full && wait <= short) return;
      const victim = queue.last(!full);
      if (victim === undefined) return;
      const {id} = victim.request;
      queue.remove(id);
      meter.gone(id);
      actions.push({kind: 'refuse', id, refusal: overloaded(wait)});
    }
  }

  private limitMs(): number {
    const cfg = this.anyPool();
    return cfg === undefined ? 0 : this.batchRule.stepLimit(cfg);
  }

  /** The models of one engine share its steps, so the first stands for all. */
  private anyPool(): PoolConfig | undefined {
    for (const cfg of this.pools.values()) return cfg;
    return undefined;
  }
}

function turnedAway(request: AdmissionRequest): AdmissionAction {
  const {id} = request;
  if (request.class === 'batch') return {kind: 'give-back', id};
  const refusal = notRun('leaving', 'This target takes no new work.');
  return {kind: 'refuse', id, refusal};
}

function overloaded(waitMs: number): Refusal {
  const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs));
  return notRun('overloaded', 'The target has no room.', retryAfterMs);
}
