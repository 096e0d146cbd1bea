/**
 * Observes an engine through the tokens that it streams: which requests run,
 * how long its steps take and why, and how much batch work slows down online
 * requests.
 */
import type {AdmissionRequest} from './admission.js';
import type {BaselineDemand} from './baseline_queue.js';
import {InterferenceMeter} from './interference_meter.js';
import type {RunEnd} from './scheduler.js';
import {OnlineLimiter} from './online_limiter.js';
import {PrefixCacheModel} from './prefix_cache_model.js';
import {RunningSet} from './running_set.js';
import type {RunningRequest} from './running_set.js';
import {StepDetector} from './step_detector.js';
import {StepModel} from './step_model.js';

/**
 * A period of continuous prefill is evaluated when it ends, or after this many
 * tokens. Under overload, prefill never stops.
 */
const MAX_PERIOD_TOKENS = 20_000;
/**
 * A step counts as one without prefill up to this ratio of its duration to that
 * of a step that only decodes.
 */
const STALL_TOLERANCE = 1.03;
/** Tolerance when start times are compared with the start of a step. */
const CLOCK_ERROR_MS = 1;

/** Tracks the state of one engine. Times are in milliseconds. */
export class EngineObserver {
  /** Predicts the step durations of the engine. */
  readonly model = new StepModel();
  /** Detects the steps of the engine. */
  readonly stepDetector = new StepDetector();
  /** The requests at the engine. */
  readonly running = new RunningSet();
  /** Measures the latency of online requests, with and without batch work. */
  readonly meter = new InterferenceMeter();
  /** Bounds the online work at the engine. */
  readonly onlineLimiter = new OnlineLimiter(this.model, this.running);
  /** Estimates the contents of the prefix cache. */
  readonly prefixCache = new PrefixCacheModel();
  /**
   * Tokens that the last step prefilled beyond the estimated remainder of all
   * prompts.
   */
  unexpectedTokens = 0;
  /** Sequences in the step in progress. */
  private stepSequences = 0;
  /** The current period of continuous prefill. */
  private prefillPeriod = {tokens: 0, onlineOnly: true};

  /**
   * Records the arrival of an online request.
   *
   * @param request - The request.
   * @param now - Current time.
   */
  arrived({id, promptTokens}: AdmissionRequest, now: number): void {
    const {model, meter} = this;
    const baselineStreams = meter.baselineStreams();
    const demand: BaselineDemand = {
      prefillMs: model.prefillMs(promptTokens),
      largestPrefillMs: model.maxStepPrefillMs,
      decodeMs: model.fixedMs + model.msPerStream * (baselineStreams + 1),
      decoding: baselineStreams > 0,
    };
    meter.arrived(id, demand, now);
  }

  /**
   * Records that a request is sent to the engine.
   *
   * @param request - The request.
   * @param arrivedAt - Arrival time of the request.
   * @param now - Current time.
   * @param prefillTokens - Estimated number of tokens to prefill.
   */
  started(
    request: AdmissionRequest,
    arrivedAt: number,
    now: number,
    prefillTokens: number,
  ): void {
    if (this.running.size === 0) {
      this.stepDetector.begin(now);
      this.stepSequences = 1;
    }
    this.running.start(request, arrivedAt, now, prefillTokens);
    this.prefillPeriod.onlineOnly &&= request.class === 'online';
  }

  /**
   * Records the first token of a request.
   *
   * @param id - The ID of the request.
   * @param now - Current time.
   * @param limitMs - The longest acceptable step.
   * @returns Whether the token is the first one observed of a completed step.
   */
  firstToken(id: string, now: number, limitMs: number): boolean {
    const running = this.running.get(id);
    if (running === undefined) return false;
    const stepEnded = this.detectStepEnd(id, now, limitMs);
    this.running.firstToken(id);
    this.recordPrefillDone(running.prefillTokens);
    if (running.request.class === 'online') {
      this.meter.firstToken(id, now - running.arrivedAt);
    }
    this.running.tokens(id, 1);
    return stepEnded;
  }

  /**
   * Records further tokens of a request.
   *
   * @param id - The ID of the request.
   * @param count - The number of tokens.
   * @param now - Current time.
   * @param limitMs - The longest acceptable step.
   * @returns Whether the tokens are the first ones observed of a completed
   *     step.
   */
  tokens(id: string, count: number, now: number, limitMs: number): boolean {
    const stepEnded = this.detectStepEnd(id, now, limitMs);
    this.running.tokens(id, count);
    return stepEnded;
  }

  /**
   * Records that the engine no longer holds a request.
   *
   * @param id - The ID of the request.
   * @param how - How it ended.
   * @param chunkDone - Whether it was a prefill chunk that completed.
   * @param now - Current time.
   * @returns The request; undefined if the engine did not hold it.
   */
  ended(
    id: string,
    how: RunEnd,
    chunkDone: boolean,
    now: number,
  ): RunningRequest | undefined {
    const running = this.running.end(id);
    if (running === undefined) return undefined;
    this.stepSequences -= 1;
    // If the request was stopped during prefill, the tokens prefilled until
    // then count for the period, although their result is lost.
    if (running.prefilling) {
      const left = chunkDone ? 0 : running.prefillLeft;
      this.recordPrefillDone(running.prefillTokens - left);
    }
    if (running.request.class === 'online') {
      this.meter.ended(id);
      if (how === 'done') this.onlineLimiter.finished(now - running.startedAt);
    }
    if (this.running.size === 0) this.stepDetector.idle();
    return running;
  }

  private detectStepEnd(id: string, now: number, limitMs: number): boolean {
    const durationMs = this.stepDetector.token(id, now);
    if (durationMs === undefined) return false;
    const {online, batch} = this.running;
    const decoding = online.decoding + batch.decoding;
    // A request that was started during the step is not part of it.
    const stepStartedAt = now - durationMs - CLOCK_ERROR_MS;
    const prefilling =
      decoding === 0 || this.running.hasPrefillStartedBefore(stepStartedAt);
    const prefillTokens = prefilling
      ? Math.max(1, online.prefillTokens + batch.prefillTokens)
      : 0;
    const streams = Math.max(decoding, this.stepSequences);
    const stalled = prefilling && this.isStalled(durationMs, decoding);
    this.onlineLimiter.updateStreamLimit(stalled, decoding, now);
    if (!stalled) this.model.learn(durationMs, {streams, prefillTokens});
    this.recordStep(durationMs, streams, limitMs);
    this.stepSequences = this.running.size;
    return true;
  }

  /**
   * Records a step with the duration that it would have had without batch work.
   */
  private recordStep(
    durationMs: number,
    streams: number,
    limitMs: number,
  ): void {
    const {model, meter} = this;
    const {online} = this.running;
    const prefilling = online.running - online.decoding;
    const tokens = model.prefilledIn(durationMs, streams);
    const {online: onlinePrefillTokens, unexpected} =
      this.running.recordPrefill(tokens);
    this.unexpectedTokens = unexpected;
    const onlinePrefillMs = model.prefillMs(onlinePrefillTokens);
    const baselineStreams =
      meter.baselineStreams() + (onlinePrefillTokens > 0 ? prefilling : 0);
    const decodeMs = model.fixedMs + model.msPerStream * baselineStreams;
    meter.step({
      durationMs,
      baselineMs: decodeMs + onlinePrefillMs,
      onlineTokens: online.decoding,
      limitMs,
    });
  }

  /** Whether a step prefilled nothing although requests waited for prefill. */
  private isStalled(durationMs: number, streams: number): boolean {
    if (streams === 0) return false;
    const decodeMs = this.model.predict({streams, prefillTokens: 0});
    return durationMs <= decodeMs * STALL_TOLERANCE;
  }

  private recordPrefillDone(tokens: number): void {
    this.prefillPeriod.tokens += tokens;
    const ended = !this.running.isPrefilling;
    if (!ended && this.prefillPeriod.tokens < MAX_PERIOD_TOKENS) return;
    this.model.endPrefill(
      this.prefillPeriod.tokens,
      this.prefillPeriod.onlineOnly,
    );
    this.prefillPeriod = {
      tokens: 0,
      onlineOnly: !this.running.isPrefillingBatch,
    };
  }
}
