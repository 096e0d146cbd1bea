/**
 * Bounds how much batch work an engine runs beside online work. Every step that
 * serves online streams has to stay within the configured ratio of the baseline
 * p99, which is the p99 without batch work. Then the p99 with batch work cannot
 * exceed that ratio, while the many steps that are shorter than the tail leave
 * capacity for batch work.
 */
import type {AdmissionRequest} from './admission.js';
import type {EngineObserver} from './engine_observer.js';
import {allowedDurationMs, plannedSlowdown} from './latency_allowance.js';
import type {InterferenceMeter} from './interference_meter.js';
import type {OnlineLimiter} from './online_limiter.js';
import type {PrefixCacheModel} from './prefix_cache_model.js';
import type {RunningSet} from './running_set.js';
import type {StepDetector} from './step_detector.js';
import type {StepModel} from './step_model.js';
import type {PoolConfig} from '../version/target_config.js';

/** Tuning parameters of the controller, which a benchmark can sweep. */
export interface BatchTuning {
  /**
   * Share of the accepted slowdown that is planned for. The rest is a reserve
   * for prediction errors.
   */
  readonly slowdownMargin: number;
  /**
   * Streams beyond the largest number observed so far that may be tried at
   * once.
   */
  readonly probeStreams: number;
  /** Share of the engine's KV cache memory that all requests may fill. */
  readonly kvShare: number;
  /**
   * Prefill work that may be queued at the engine, in multiples of the maximum
   * prefill of one step.
   */
  readonly prefillQueueSteps: number;
}

/** Default parameters of the batch controller. */
export const DEFAULT_BATCH_TUNING: BatchTuning = {
  slowdownMargin: 0.4,
  probeStreams: 4,
  kvShare: 0.95,
  prefillQueueSteps: 2,
};

/**
 * Steps are planned shorter than the limit by a margin, as a share of the
 * limit. The margin grows from the first value to the second as the error
 * budget of late tokens is overspent.
 */
const STEP_MARGIN = 0.005;
const STEP_MARGIN_OVERSPENT = 0.03;

/**
 * Streams are preempted as surplus only beyond this number and beyond this
 * share of the running ones. A smaller surplus is left to finish by itself.
 */
const MIN_SURPLUS_STREAMS = 2;
const SURPLUS_SHARE = 0.15;
/** A prompt of up to this many tokens is cheap to prefill again. */
const CHEAP_PREFILL_TOKENS = 128;
/**
 * Increments of the estimated number of batch streams that an online arrival
 * leaves running. With this ratio the estimate settles at the lower quartile:
 * one arrival in four leaves fewer streams.
 */
const RETAINED_INCREASE = 0.25;
const RETAINED_DECREASE = 0.75;
const MAX_RETAINED_STREAMS = 64;
/** A smaller prefill chunk is not worth its overhead. */
const MIN_CHUNK_TOKENS = 128;

/**
 * Online tokens and requests that have to be measured before the baseline tail
 * is used.
 */
const MIN_BASELINE_TOKENS = 2_000;
const MIN_BASELINE_REQUESTS = 100;

/**
 * A policy that bounds batch work at an engine. A benchmark substitutes other
 * policies for comparison.
 */
export interface BatchLimiter {
  /**
   * @param cfg - The configuration of the pool.
   * @returns The longest acceptable step beside online streams, in
   *     milliseconds.
   */
  stepLimitMs(cfg: PoolConfig): number;
  /**
   * @param cfg - The configuration of the pool.
   * @returns The number of batch streams that may run beside the current online
   *     work.
   */
  maxStreams(cfg: PoolConfig): number;
  /**
   * @param request - A queued batch request.
   * @param cfg - The configuration of its pool.
   * @param prefillTokens - The number of its tokens that are not cached and
   *     have to be prefilled.
   * @returns Whether the request may start now.
   */
  admits(
    request: AdmissionRequest,
    cfg: PoolConfig,
    prefillTokens: number,
  ): boolean;
  /**
   * @param request - An online request that is about to start.
   * @param cfg - The configuration of its pool.
   * @param now - Time in milliseconds.
   * @returns The number of batch streams to preempt for the request.
   */
  streamsToPreempt(
    request: AdmissionRequest,
    cfg: PoolConfig,
    now: number,
  ): number;
  /**
   * @param cfg - The configuration of the pool.
   * @returns The number of batch streams to preempt because measurements taken
   *     since they started lowered the limit.
   */
  surplusStreams(cfg: PoolConfig): number;
  /**
   * @param cfg - The configuration of the pool.
   * @returns The number of tokens of a longer batch prompt that may be
   *     prefilled now as a chunk; 0 for none.
   */
  prefillChunkTokens(cfg: PoolConfig): number;
}

/** Bounds batch work by its measured effect on the steps of online streams. */
export class BatchController implements BatchLimiter {
  private readonly model: StepModel;
  private readonly running: RunningSet;
  private readonly meter: InterferenceMeter;
  private readonly onlineLimiter: OnlineLimiter;
  private readonly stepDetector: StepDetector;
  private readonly prefixCache: PrefixCacheModel;
  /** Batch streams that three in four online arrivals leave running. */
  private retainedStreams = 0;

  /**
   * @param observer - The observed state of the engine.
   * @param tuning - The tuning parameters.
   */
  constructor(
    observer: EngineObserver,
    private readonly tuning: BatchTuning = DEFAULT_BATCH_TUNING,
  ) {
    this.model = observer.model;
    this.running = observer.running;
    this.meter = observer.meter;
    this.onlineLimiter = observer.onlineLimiter;
    this.stepDetector = observer.stepDetector;
    this.prefixCache = observer.prefixCache;
  }

  /**
   * @param cfg - The configuration of the pool.
   * @returns The longest step that batch work may cause beside online streams
   *     without raising their p99 beyond the planned slowdown, in milliseconds.
   */
  stepLimitMs(cfg: PoolConfig): number {
    const {meter, model, running} = this;
    const isBaselineKnown = meter.tokenSamples >= MIN_BASELINE_TOKENS;
    // Until the baseline tail is known, the predicted step of the current
    // online streams is used in its place.
    const streams = running.online.running;
    const baselineMs = isBaselineKnown
      ? meter.baselineStepMs
      : model.predict({streams, prefillTokens: 0});
    return this.plannedSlowdownOf(cfg) * baselineMs;
  }

  maxStreams(cfg: PoolConfig): number {
    const {online, batch} = this.running;
    // The model learns its decode cost from steps without prefill. Running few
    // streams until it is ready ensures that such steps occur.
    if (!this.model.ready) {
      return Math.max(0, this.tuning.probeStreams - online.running);
    }
    const probeLimit = this.model.maxObservedStreams + this.tuning.probeStreams;
    const maxStreams = Math.min(probeLimit, this.onlineLimiter.streamLimit);
    const byLatency = this.streamsWithin(this.currentStepLimitMs(cfg), 0);
    const freeStreams = Math.min(byLatency, maxStreams) - online.running;
    return Math.max(0, Math.min(freeStreams, batch.running + maxStreams));
  }

  admits(request: AdmissionRequest, cfg: PoolConfig, prefill: number): boolean {
    const {online, batch} = this.running;
    if (online.prefillTokens > 0) return false;
    if (batch.running >= this.maxStreams(cfg)) return false;
    if (prefill > CHEAP_PREFILL_TOKENS && this.isPrefillWasteLikely())
      return false;
    const kvTokens = this.kvAtEnd() + request.promptTokens + request.maxTokens;
    if (kvTokens > this.onlineLimiter.memoryTokens * this.tuning.kvShare)
      return false;
    if (online.running + batch.running === 0) return true;
    const prefillTokens = batch.prefillTokens + prefill;
    if (online.running === 0) return this.fitsPrefillQueue(prefillTokens);
    const streams = online.running + batch.running + 1;
    const stepMs = this.model.predict({streams, prefillTokens});
    return stepMs <= this.plannedStepMs(cfg, online.running, 0);
  }

  streamsToPreempt(
    request: AdmissionRequest,
    cfg: PoolConfig,
    now: number,
  ): number {
    const {online, batch} = this.running;
    if (batch.running === 0) return 0;
    const streams = online.running + 1;
    const prefillTokens = online.prefillTokens + request.promptTokens;
    const slack = this.firstTokenSlackMs(streams, prefillTokens, cfg);
    const slackMs = slack - this.residualMs(now);
    const allowed = Math.min(
      this.onlineLimiter.streamLimit - streams,
      this.streamsForTokenLatency(streams, prefillTokens, cfg),
      this.streamsForFirstToken(prefillTokens, slackMs),
      this.streamsForMemory(request),
    );
    const retained = Math.max(
      0,
      Math.floor(Math.min(allowed, MAX_RETAINED_STREAMS)),
    );
    const increased = retained > this.retainedStreams;
    this.retainedStreams += increased ? RETAINED_INCREASE : -RETAINED_DECREASE;
    const surplus = Math.max(0, batch.running - retained);
    const delaysFirstToken =
      this.model.prefillMs(batch.prefillTokens) > slackMs;
    const preemptPrefills =
      delaysFirstToken || this.prefillTooLong(streams, prefillTokens, cfg);
    // Requests that are being prefilled are the newest, so they are preempted
    // first.
    return Math.max(
      surplus,
      preemptPrefills ? batch.running - batch.decoding : 0,
    );
  }

  surplusStreams(cfg: PoolConfig): number {
    const {running} = this.running.batch;
    const surplus = running - this.maxStreams(cfg);
    return surplus > Math.max(MIN_SURPLUS_STREAMS, running * SURPLUS_SHARE)
      ? surplus
      : 0;
  }

  /**
   * Beside many streams, a long prompt would make a step too long. Engines
   * cache the tokens they have prefilled, so such a prompt is prefilled in
   * chunks that fit into one step each.
   */
  prefillChunkTokens(cfg: PoolConfig): number {
    const {online, batch} = this.running;
    if (online.prefillTokens > 0 || batch.prefillTokens > 0) return 0;
    if (batch.running >= this.maxStreams(cfg)) return 0;
    if (this.isPrefillWasteLikely()) return 0;
    const streams = online.running + batch.running + 1;
    const decodeMs = this.model.predict({streams, prefillTokens: 0});
    const spareMs = this.plannedStepMs(cfg, online.running, 0) - decodeMs;
    const tokens = spareMs / this.model.msPerPrefillToken;
    return tokens < MIN_CHUNK_TOKENS ? 0 : Math.floor(tokens);
  }

  /**
   * Whether the prefill of another batch request would probably be lost. Beyond
   * the number of streams that online arrivals usually leave running, a stream
   * is preempted soon. If the engine's cache cannot hold it until it resumes,
   * its whole prompt is computed again each time, which costs more than the
   * tokens it generates.
   */
  private isPrefillWasteLikely(): boolean {
    const {batch} = this.running;
    if (batch.running < Math.max(1, this.retainedStreams)) return false;
    return batch.kvTokens > this.prefixCache.retentionTokens;
  }

  /**
   * Whether prefilling batch prompts makes steps too long for online streams.
   */
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
    return stepMs > this.plannedStepMs(cfg, streams, prefillTokens);
  }

  /**
   * The remaining time of the step in progress, in milliseconds. A preemption
   * takes effect only after it.
   */
  private residualMs(now: number): number {
    const {online, batch} = this.running;
    const {since} = this.stepDetector;
    if (since === undefined) return 0;
    const stepMs = this.model.predict({
      streams: online.running + batch.running,
      prefillTokens: batch.prefillTokens,
    });
    return Math.max(0, since + stepMs - now);
  }

  /**
   * The number of batch streams beside which the steps of online streams stay
   * within their limit.
   */
  private streamsForTokenLatency(
    streams: number,
    prefillTokens: number,
    cfg: PoolConfig,
  ): number {
    if (!this.model.ready) return this.tuning.probeStreams - streams;
    const plannedMs = this.plannedStepMs(cfg, streams, prefillTokens);
    const whileDecoding = this.streamsWithin(plannedMs, 0) - streams;
    // No online stream waits for a token during the prefill, but the new
    // request decodes after it.
    if (this.running.online.decoding === 0) return whileDecoding;
    return Math.min(
      whileDecoding,
      this.streamsWithin(plannedMs, prefillTokens) - streams,
    );
  }

  /**
   * The number of batch streams beside which the first token of a request is in
   * time. A request far below the tail of the distribution may be delayed until
   * close to the tail; one in the tail may only be delayed by the accepted
   * ratio.
   */
  private streamsForFirstToken(prefillTokens: number, slackMs: number): number {
    const msPerStream =
      this.prefillSteps(prefillTokens) * this.model.msPerStream;
    return slackMs / Math.max(Number.EPSILON, msPerStream);
  }

  /** The time by which batch work may delay a first token, in milliseconds. */
  private firstTokenSlackMs(
    streams: number,
    prefillTokens: number,
    cfg: PoolConfig,
  ): number {
    const {model, meter} = this;
    if (meter.requestSamples < MIN_BASELINE_REQUESTS) return 0;
    const stepMs = model.fixedMs + model.msPerStream * streams;
    const baselineMs =
      model.prefillMs(prefillTokens) +
      this.prefillSteps(prefillTokens) * stepMs;
    const slowdown = this.plannedSlowdownOf(cfg);
    const allowedMs = allowedDurationMs(
      cfg.batch,
      baselineMs,
      meter.baselineFirstTokenQuantiles,
    );
    return slowdown * allowedMs - baselineMs;
  }

  /** The number of steps in which the engine prefills this many tokens. */
  private prefillSteps(tokens: number): number {
    const {maxStepPrefillMs} = this.model;
    const steps = this.model.prefillMs(tokens) / Math.max(1, maxStepPrefillMs);
    return Math.max(1, Math.ceil(steps));
  }

  /** The number of batch streams that fit into memory beside a request. */
  private streamsForMemory(request: AdmissionRequest): number {
    const {batch} = this.running;
    const kvTokens = this.kvAtEnd() + request.promptTokens + request.maxTokens;
    const excessTokens =
      kvTokens - this.onlineLimiter.memoryTokens * this.tuning.kvShare;
    if (excessTokens <= 0) return Number.POSITIVE_INFINITY;
    const kvPerStream = Math.max(1, batch.kvAtEnd / Math.max(1, batch.running));
    return batch.running - Math.ceil(excessTokens / kvPerStream);
  }

  /**
   * The number of streams whose step, with this many tokens to prefill, stays
   * within a limit.
   */
  private streamsWithin(limitMs: number, prefillTokens: number): number {
    const oneStreamMs = this.model.predict({streams: 1, prefillTokens});
    const {msPerStream} = this.model;
    if (msPerStream <= 0) return Number.POSITIVE_INFINITY;
    return Math.max(0, 1 + Math.floor((limitMs - oneStreamMs) / msPerStream));
  }

  /** Whether the engine may be given this much prefill work at once. */
  private fitsPrefillQueue(tokens: number): boolean {
    const {batch} = this.running;
    if (batch.prefillTokens === 0) return true;
    const maxMs = this.model.maxStepPrefillMs * this.tuning.prefillQueueSteps;
    return this.model.prefillMs(tokens) <= maxMs;
  }

  /**
   * The step duration to plan for beside this much online work, in
   * milliseconds: the allowed duration less a margin.
   */
  private plannedStepMs(
    cfg: PoolConfig,
    streams: number,
    prefillTokens: number,
  ): number {
    const overspent = Math.max(0, -this.meter.errorBudget);
    const margin =
      STEP_MARGIN + (STEP_MARGIN_OVERSPENT - STEP_MARGIN) * overspent;
    return this.allowedStepMs(cfg, streams, prefillTokens) * (1 - margin);
  }

  /**
   * The longest step that the configured throughput weight allows beside this
   * much online work, in milliseconds.
   */
  private allowedStepMs(
    cfg: PoolConfig,
    streams: number,
    prefillTokens: number,
  ): number {
    const {meter, model, running} = this;
    if (meter.tokenSamples < MIN_BASELINE_TOKENS) return this.stepLimitMs(cfg);
    // Streams that are slowed down last longer, so more of them run
    // concurrently than would without batch work.
    const slowdownStreams = running.online.decoding - meter.baselineStreams();
    const baselineMs = model.predict({
      streams: Math.max(0, streams - slowdownStreams),
      prefillTokens,
    });
    return (
      this.plannedSlowdownOf(cfg) *
      allowedDurationMs(cfg.batch, baselineMs, meter.baselineStepQuantiles)
    );
  }

  /**
   * The longest step allowed beside the current online work, in milliseconds.
   * Without online work, a step only delays requests that arrive before it
   * ends.
   */
  private currentStepLimitMs(cfg: PoolConfig): number {
    const {running, prefillTokens} = this.running.online;
    if (running === 0) return cfg.betweenTokensMs;
    return this.allowedStepMs(cfg, running, prefillTokens);
  }

  /** The ratio of online latency to its baseline that is planned for. */
  private plannedSlowdownOf(cfg: PoolConfig): number {
    return plannedSlowdown(cfg.batch, this.tuning.slowdownMargin);
  }

  /**
   * Tokens in the KV cache once all running requests have finished decoding.
   */
  private kvAtEnd(): number {
    return this.running.online.kvAtEnd + this.running.batch.kvAtEnd;
  }
}
