/**
 * How much batch work an engine takes beside online work. Every step that
 * serves online streams has to stay within the declared ratio of the p99 that
 * they would see alone; then the p99 with batch work cannot exceed that ratio,
 * while the many steps that are shorter than the tail leave room.
 */
import type {AdmissionRequest} from './admission.js';
import type {EngineSenses} from './engine_senses.js';
import {allowedMs, plannedHarm} from './harm_guard.js';
import type {HarmMeter} from './harm_meter.js';
import type {OnlineGate} from './online_gate.js';
import type {PromptCache} from './prompt_cache.js';
import type {RunningSet} from './running_set.js';
import type {StepClock} from './step_clock.js';
import type {StepModel} from './step_model.js';
import type {PoolConfig} from '../version/target_config.js';

/** What the controller weighs; a bench sweeps them. */
export interface BatchTuning {
  /** Share of the accepted harm that is planned for; the rest is error. */
  readonly harmMargin: number;
  /** Streams beyond the most proven ones that are tried at once. */
  readonly probeStreams: number;
  /** Share of the engine's memory that all work may fill. */
  readonly kvShare: number;
  /** Steps' worth of prefill that is handed over ahead. */
  readonly prefillSteps: number;
}

/** Values that held up on all traces. */
export const DEFAULT_BATCH_TUNING: BatchTuning = {
  harmMargin: 0.4,
  probeStreams: 4,
  kvShare: 0.95,
  prefillSteps: 2,
};

/**
 * Steps are planned this much shorter than the limit, the more the more tokens
 * were late lately.
 */
const AIM_BELOW = 0.005;
const AIM_BELOW_IN_DEBT = 0.03;

/** A few streams too many are left to end by themselves. */
const MIN_SURPLUS = 2;
const SURPLUS_SHARE = 0.15;
/** A prompt up to this size is cheap to prefill again. */
const CHEAP_TOKENS = 128;
/** Steps that settle where one arrival in four leaves fewer streams. */
const SURVIVOR_UP = 0.25;
const SURVIVOR_DOWN = 0.75;
const MAX_SURVIVORS = 64;
/** A piece of a prompt is worth its overhead from this size on. */
const MIN_PIECE_TOKENS = 128;

/** Online tokens and requests before the measured tail is believed. */
const MIN_TOKENS = 2_000;
const MIN_REQUESTS = 100;

/** Bounds batch work at the engine; a bench puts rivals in its place. */
export interface BatchRule {
  /**
   * @param cfg - The pool.
   * @returns The longest step wanted beside online streams, in milliseconds.
   */
  stepLimit(cfg: PoolConfig): number;
  /**
   * @param cfg - The pool.
   * @returns How many batch streams may run beside what is online now.
   */
  streams(cfg: PoolConfig): number;
  /**
   * @param request - A batch request.
   * @param cfg - Its pool.
   * @param prefillTokens - Tokens of it that have to be prefilled.
   * @returns Whether it may start now.
   */
  admits(
    request: AdmissionRequest,
    cfg: PoolConfig,
    prefillTokens: number,
  ): boolean;
  /**
   * @param request - An online request that is about to start.
   * @param cfg - Its pool.
   * @param now - Milliseconds.
   * @returns How many batch streams have to make room for it.
   */
  excess(request: AdmissionRequest, cfg: PoolConfig, now: number): number;
  /**
   * @param cfg - The pool.
   * @returns How many batch streams are too many for what was measured since
   *     they started.
   */
  surplus(cfg: PoolConfig): number;
  /**
   * @param cfg - The pool.
   * @returns How many tokens of a longer batch prompt may be prefilled now; 0
   *     for none.
   */
  pieceTokens(cfg: PoolConfig): number;
}

/** Bounds batch work by what it does to the steps of online streams. */
export class BatchController implements BatchRule {
  private readonly model: StepModel;
  private readonly running: RunningSet;
  private readonly meter: HarmMeter;
  private readonly gate: OnlineGate;
  private readonly steps: StepClock;
  private readonly cache: PromptCache;
  /** Batch streams that most online arrivals leave. */
  private survivors = 0;

  /**
   * @param senses - What to go by.
   * @param tuning - What to weigh.
   */
  constructor(
    senses: EngineSenses,
    private readonly tuning: BatchTuning = DEFAULT_BATCH_TUNING,
  ) {
    this.model = senses.model;
    this.running = senses.running;
    this.meter = senses.meter;
    this.gate = senses.gate;
    this.steps = senses.steps;
    this.cache = senses.cache;
  }

  /**
   * @param cfg - The pool.
   * @returns The longest step that batch work may bring about beside online
   *     streams without harm to the p99, in milliseconds.
   */
  stepLimit(cfg: PoolConfig): number {
    const {meter, model, running} = this;
    const known = meter.tokens >= MIN_TOKENS;
    // Until the tail is known, the step of what is online stands for it.
    const streams = running.online.running;
    const alone = known
      ? meter.aloneStepMs
      : model.predict({streams, prefillTokens: 0});
    return this.harm(cfg) * alone;
  }

  streams(cfg: PoolConfig): number {
    const {online, batch} = this.running;
    // Until then few streams run, so that steps without any prefill come.
    if (!this.model.ready) {
      return Math.max(0, this.tuning.probeStreams - online.running);
    }
    const proven = this.model.largestSeen + this.tuning.probeStreams;
    const most = Math.min(proven, this.gate.streamCeiling);
    const within = this.within(this.limitNow(cfg), 0);
    const room = Math.min(within, most) - online.running;
    return Math.max(0, Math.min(room, batch.running + most));
  }

  admits(request: AdmissionRequest, cfg: PoolConfig, prefill: number): boolean {
    const {online, batch} = this.running;
    if (online.prefillTokens > 0) return false;
    if (batch.running >= this.streams(cfg)) return false;
    if (prefill > CHEAP_TOKENS && this.wouldBeWasted()) return false;
    const kv = this.kvAtEnd() + request.promptTokens + request.maxTokens;
    if (kv > this.gate.memory * this.tuning.kvShare) return false;
    if (online.running + batch.running === 0) return true;
    const prefillTokens = batch.prefillTokens + prefill;
    if (online.running === 0) return this.prefillFits(prefillTokens);
    const streams = online.running + batch.running + 1;
    const stepMs = this.model.predict({streams, prefillTokens});
    return stepMs <= this.aimMs(cfg, online.running, 0);
  }

  excess(request: AdmissionRequest, cfg: PoolConfig, now: number): number {
    const {online, batch} = this.running;
    if (batch.running === 0) return 0;
    const streams = online.running + 1;
    const prefillTokens = online.prefillTokens + request.promptTokens;
    const spare = this.spareMs(streams, prefillTokens, cfg);
    const spareMs = spare - this.residualMs(now);
    const beside = Math.min(
      this.gate.streamCeiling - streams,
      this.besideTokens(streams, prefillTokens, cfg),
      this.besideFirstToken(prefillTokens, spareMs),
      this.besideMemory(request),
    );
    const left = Math.max(0, Math.floor(Math.min(beside, MAX_SURVIVORS)));
    const more = left > this.survivors;
    this.survivors += more ? SURVIVOR_UP : -SURVIVOR_DOWN;
    const over = Math.max(0, batch.running - left);
    const late = this.model.prefillMs(batch.prefillTokens) > spareMs;
    const inTheWay = late || this.prefillTooLong(streams, prefillTokens, cfg);
    // Those being prefilled are the newest, so they are the first to go.
    return Math.max(over, inTheWay ? batch.running - batch.decoding : 0);
  }

  surplus(cfg: PoolConfig): number {
    const {running} = this.running.batch;
    const over = running - this.streams(cfg);
    return over > Math.max(MIN_SURPLUS, running * SURPLUS_SHARE) ? over : 0;
  }

  /**
   * Beside many streams a long prompt makes a step too long. Engines cache what
   * they prefilled, so it is handed over in pieces that fit a step each.
   */
  pieceTokens(cfg: PoolConfig): number {
    const {online, batch} = this.running;
    if (online.prefillTokens > 0 || batch.prefillTokens > 0) return 0;
    if (batch.running >= this.streams(cfg)) return 0;
    if (this.wouldBeWasted()) return 0;
    const streams = online.running + batch.running + 1;
    const decodeMs = this.model.predict({streams, prefillTokens: 0});
    const spareMs = this.aimMs(cfg, online.running, 0) - decodeMs;
    const tokens = spareMs / this.model.perPrefillToken;
    return tokens < MIN_PIECE_TOKENS ? 0 : Math.floor(tokens);
  }

  /**
   * Beyond the streams that arrivals usually leave, a stream is preempted soon.
   * Where the engine's cache cannot hold it until it goes on, its whole prompt
   * is computed again each time, which costs more than it generates.
   */
  private wouldBeWasted(): boolean {
    const {batch} = this.running;
    if (batch.running < Math.max(1, this.survivors)) return false;
    return batch.kvTokens > this.cache.trustedTokens;
  }

  /** Whether batch prompts make the steps of online streams too long. */
  private prefillTooLong(
    streams: number,
    prefillTokens: number,
    cfg: PoolConfig,
  ): boolean {
    const {online, batch} = this.running;
    if (online.decoding === 0) return false;
    const stepMs = this.model.predict({
      streams: streams + batch.running,
      prefillTokens: prefillTokens + batch.prefillTokens,
    });
    return stepMs > this.aimMs(cfg, streams, prefillTokens);
  }

  /** Time that is left of the step in progress, which nothing can shorten. */
  private residualMs(now: number): number {
    const {online, batch} = this.running;
    const {since} = this.steps;
    if (since === undefined) return 0;
    const stepMs = this.model.predict({
      streams: online.running + batch.running,
      prefillTokens: batch.prefillTokens,
    });
    return Math.max(0, since + stepMs - now);
  }

  /** Batch streams that leave the steps of online streams short enough. */
  private besideTokens(
    streams: number,
    prefillTokens: number,
    cfg: PoolConfig,
  ): number {
    if (!this.model.ready) return this.tuning.probeStreams - streams;
    const aim = this.aimMs(cfg, streams, prefillTokens);
    const decode = this.within(aim, 0) - streams;
    // Nobody waits for a token while it prefills, but it will decode then.
    if (this.running.online.decoding === 0) return decode;
    return Math.min(decode, this.within(aim, prefillTokens) - streams);
  }

  /**
   * Batch streams that leave the first token early enough. A request far below
   * the tail may wait until it gets near it; one in the tail may wait only the
   * accepted ratio longer.
   */
  private besideFirstToken(prefillTokens: number, spareMs: number): number {
    const each = this.prefillSteps(prefillTokens) * this.model.perStream;
    return spareMs / Math.max(Number.EPSILON, each);
  }

  /** Milliseconds by which batch work may delay a first token. */
  private spareMs(
    streams: number,
    prefillTokens: number,
    cfg: PoolConfig,
  ): number {
    const {model, meter} = this;
    if (meter.requests < MIN_REQUESTS) return 0;
    const stepMs = model.fixed + model.perStream * streams;
    const alone =
      model.prefillMs(prefillTokens) +
      this.prefillSteps(prefillTokens) * stepMs;
    const harm = this.harm(cfg);
    const allowed = allowedMs(cfg.batch, alone, meter.aloneFirstTokens);
    return harm * allowed - alone;
  }

  /** Steps in which an engine prefills so many tokens. */
  private prefillSteps(tokens: number): number {
    const {largestPrefill} = this.model;
    const steps = this.model.prefillMs(tokens) / Math.max(1, largestPrefill);
    return Math.max(1, Math.ceil(steps));
  }

  private besideMemory(request: AdmissionRequest): number {
    const {batch} = this.running;
    const kv = this.kvAtEnd() + request.promptTokens + request.maxTokens;
    const over = kv - this.gate.memory * this.tuning.kvShare;
    if (over <= 0) return Number.POSITIVE_INFINITY;
    const each = Math.max(1, batch.kvAtEnd / Math.max(1, batch.running));
    return batch.running - Math.ceil(over / each);
  }

  /** Streams whose step, with so much to prefill, stays within a limit. */
  private within(limitMs: number, prefillTokens: number): number {
    const none = this.model.predict({streams: 1, prefillTokens});
    const {perStream} = this.model;
    if (perStream <= 0) return Number.POSITIVE_INFINITY;
    return Math.max(0, 1 + Math.floor((limitMs - none) / perStream));
  }

  private prefillFits(tokens: number): boolean {
    const {batch} = this.running;
    if (batch.prefillTokens === 0) return true;
    const most = this.model.largestPrefill * this.tuning.prefillSteps;
    return this.model.prefillMs(tokens) <= most;
  }

  /** The step to plan for beside so much online work. */
  private aimMs(
    cfg: PoolConfig,
    streams: number,
    prefillTokens: number,
  ): number {
    const debt = Math.max(0, -this.meter.credit);
    const below = AIM_BELOW + (AIM_BELOW_IN_DEBT - AIM_BELOW) * debt;
    return this.plannedMs(cfg, streams, prefillTokens) * (1 - below);
  }

  /** The longest step that the declared weight leaves to so much online work. */
  private plannedMs(
    cfg: PoolConfig,
    streams: number,
    prefillTokens: number,
  ): number {
    const {meter, model, running} = this;
    if (meter.tokens < MIN_TOKENS) return this.stepLimit(cfg);
    // Slowed streams last longer: alone fewer of them would run at a time.
    const fewer = running.online.decoding - meter.aloneStreams();
    const alone = model.predict({
      streams: Math.max(0, streams - fewer),
      prefillTokens,
    });
    return this.harm(cfg) * allowedMs(cfg.batch, alone, meter.aloneSteps);
  }

  /** With nobody online, a step harms only who comes in before it ends. */
  private limitNow(cfg: PoolConfig): number {
    const {running, prefillTokens} = this.running.online;
    if (running === 0) return cfg.betweenTokensMs;
    return this.plannedMs(cfg, running, prefillTokens);
  }

  private harm(cfg: PoolConfig): number {
    return plannedHarm(cfg.batch, this.tuning.harmMargin);
  }

  private kvAtEnd(): number {
    return this.running.online.kvAtEnd + this.running.batch.kvAtEnd;
  }
}
