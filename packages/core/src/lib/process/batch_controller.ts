/**
 * How much batch work an engine takes beside online work. Every step that
 * serves online streams has to stay within the declared ratio of the p99 that
 * they would see alone; then the p99 with batch work cannot exceed that ratio,
 * while the many steps that are shorter than the tail leave room.
 */
import type {AdmissionRequest} from './admission.js';
import type {HarmMeter} from './harm_meter.js';
import type {OnlineGate} from './online_gate.js';
import type {RunningSet} from './running_set.js';
import type {StepModel} from './step_model.js';
import type {PoolConfig} from '../version/target_config.js';

/** What the controller weighs; a bench sweeps them. */
export interface BatchTuning {
  /** Share of the accepted harm that is planned for; the rest is error. */
  readonly harmMargin: number;
  /** Streams before the engine was measured. */
  readonly firstStreams: number;
  /** How far beyond the streams seen so far the model is believed. */
  readonly trustFactor: number;
  /** Share of the engine's memory that all work may fill. */
  readonly kvShare: number;
}

/** Values that held up on all traces. */
export const DEFAULT_BATCH_TUNING: BatchTuning = {
  harmMargin: 0.8,
  firstStreams: 4,
  trustFactor: 1.5,
  kvShare: 0.95,
};

/** Bounds batch work at the engine; a bench puts rivals in its place. */
export interface BatchRule {
  /**
   * @param cfg - The pool.
   * @returns How many batch streams may run beside what is online now.
   */
  streams(cfg: PoolConfig): number;
  /**
   * @param request - A batch request.
   * @param cfg - Its pool.
   * @returns Whether it may start now.
   */
  admits(request: AdmissionRequest, cfg: PoolConfig): boolean;
  /**
   * @param request - An online request that is about to start.
   * @param cfg - Its pool.
   * @returns How many batch streams have to make room for it.
   */
  excess(request: AdmissionRequest, cfg: PoolConfig): number;
}

/** What a batch rule can go by. */
export interface BatchSenses {
  /** The engine's step time. */
  readonly model: StepModel;
  /** What the engine has. */
  readonly running: RunningSet;
  /** What online callers see. */
  readonly meter: HarmMeter;
  /** What the engine holds. */
  readonly gate: OnlineGate;
}

/** Bounds batch work by what it does to the steps of online streams. */
export class BatchController implements BatchRule {
  private readonly model: StepModel;
  private readonly running: RunningSet;
  private readonly meter: HarmMeter;
  private readonly gate: OnlineGate;

  /**
   * @param senses - What to go by.
   * @param tuning - What to weigh.
   */
  constructor(
    senses: BatchSenses,
    private readonly tuning: BatchTuning = DEFAULT_BATCH_TUNING,
  ) {
    this.model = senses.model;
    this.running = senses.running;
    this.meter = senses.meter;
    this.gate = senses.gate;
  }

  /**
   * @param cfg - The pool.
   * @returns The longest step that batch work may bring about, in milliseconds.
   */
  stepLimit(cfg: PoolConfig): number {
    const harm = 1 + (cfg.batch.maxHarm - 1) * this.tuning.harmMargin;
    const {aloneStepMs} = this.meter;
    if (aloneStepMs <= 0) return cfg.betweenTokensMs;
    return Math.min(cfg.betweenTokensMs, harm * aloneStepMs);
  }

  streams(cfg: PoolConfig): number {
    const {online, batch} = this.running;
    if (!this.model.ready) {
      return Math.max(0, this.tuning.firstStreams - online.running);
    }
    const within = this.model.streamsWithin(this.limitNow(cfg));
    const trusted = Math.max(
      this.tuning.firstStreams,
      Math.ceil(this.model.largestSeen * this.tuning.trustFactor),
    );
    const room = Math.min(within, trusted) - online.running;
    return Math.max(0, Math.min(room, batch.running + trusted));
  }

  admits(request: AdmissionRequest, cfg: PoolConfig): boolean {
    const {online, batch} = this.running;
    if (batch.running >= this.streams(cfg)) return false;
    if (online.prefillTokens > 0) return false;
    const prompt = request.promptTokens + request.resumedTokens;
    const kv = this.kvAtEnd() + request.promptTokens + request.maxTokens;
    if (kv > this.gate.memory * this.tuning.kvShare) return false;
    const mix = {
      streams: online.running + batch.running + 1,
      prefillTokens: batch.prefillTokens + prompt,
    };
    const alone = online.running + batch.running === 0;
    return alone || this.model.predict(mix) <= this.limitNow(cfg);
  }

  excess(request: AdmissionRequest, cfg: PoolConfig): number {
    const {batch} = this.running;
    const {perStream} = this.model;
    const limit = this.stepLimit(cfg);
    const streams = this.running.online.running + 1;
    const within = this.model.streamsWithin(limit) - streams;
    const over = perStream > 0 ? batch.running - Math.max(0, within) : 0;
    const kv = this.kvAtEnd() + request.promptTokens + request.maxTokens;
    const kvOver = kv - this.gate.memory * this.tuning.kvShare;
    const kvEach = batch.kvAtEnd / Math.max(1, batch.running);
    const forMemory = kvOver > 0 ? Math.ceil(kvOver / Math.max(1, kvEach)) : 0;
    return Math.min(batch.running, Math.max(0, over, forMemory));
  }

  /** With nobody online, a step harms only who comes in before it ends. */
  private limitNow(cfg: PoolConfig): number {
    const {online} = this.running;
    return online.running === 0 ? cfg.betweenTokensMs : this.stepLimit(cfg);
  }

  private kvAtEnd(): number {
    return this.running.online.kvAtEnd + this.running.batch.kvAtEnd;
  }
}
