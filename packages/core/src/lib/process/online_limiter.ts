/**
 * Bounds the concurrent online work of an engine by measurements: by the
 * streams that keep a step within the latency objective between tokens, by the
 * prompt tokens that can be prefilled within the latency objective for the
 * first token, and by the memory of the engine.
 */
import type {AdmissionRequest} from './admission.js';
import type {EngineLoad} from './engine_client.js';
import type {RunningSet} from './running_set.js';
import type {StepModel} from './step_model.js';
import type {PoolConfig} from '../version/target_config.js';

/** Concurrent streams of an engine without measurements. */
const INITIAL_CAPACITY = 8;
/**
 * Largest extrapolation of the step model, as a multiple of the number of
 * streams observed so far.
 */
const EXTRAPOLATION_FACTOR = 1.5;
/** Share of the engine's KV cache memory that online work may fill. */
const KV_SHARE = 0.95;
/** Weight that past run durations keep at each new one. */
const DURATION_DECAY = 0.98;
/** Consecutive stalled steps after which an engine counts as full. */
const FULL_STALLED_STEPS = 3;
/** Interval at which the detected stream limit is raised by one. */
const STREAM_LIMIT_PROBE_MS = 60_000;

/** Admits online requests to one engine. */
export class OnlineLimiter {
  private lastLoad: EngineLoad | undefined;
  private detectedStreamLimit = Number.POSITIVE_INFINITY;
  private streamLimitSetAt = 0;
  private stalledSteps = 0;
  private decayedDurationMs = 0;
  private ended = 0;

  /**
   * @param model - Predicts the step durations of the engine.
   * @param running - The requests at the engine.
   */
  constructor(
    private readonly model: StepModel,
    private readonly running: RunningSet,
  ) {}

  /** The engine's last own load report; it lags. */
  get load(): EngineLoad | undefined {
    return this.lastLoad;
  }

  /**
   * Detected maximum number of streams that the engine runs concurrently;
   * infinite while unknown.
   */
  get streamLimit(): number {
    return this.detectedStreamLimit;
  }

  /** @param load - The engine's own load report. */
  report(load: EngineLoad): void {
    this.lastLoad = load;
  }

  /**
   * Updates the detected stream limit after a step. An engine that left
   * requests waiting and prefilled nothing has no free slot. It does not report
   * its limit or its queue in time, and an online request behind that queue
   * would wait long.
   *
   * @param stalled - Whether requests waited and the step prefilled nothing.
   * @param streams - Number of streams that got a token in the step.
   * @param now - Time in milliseconds.
   */
  updateStreamLimit(stalled: boolean, streams: number, now: number): void {
    this.stalledSteps = stalled ? this.stalledSteps + 1 : 0;
    if (this.stalledSteps >= FULL_STALLED_STEPS && this.mayHaveQueue) {
      this.detectedStreamLimit = Math.max(1, streams);
      this.streamLimitSetAt = now;
      return;
    }
    // The engine may have been reconfigured, so one more stream is probed.
    if (now - this.streamLimitSetAt < STREAM_LIMIT_PROBE_MS) return;
    this.detectedStreamLimit += 1;
    this.streamLimitSetAt = now;
  }

  /**
   * Whether the engine may have a queue. A stream without a token for some
   * steps may be queued inside the engine, or its connection may have been slow
   * to open. If a slow connection is mistaken for a queue, the target refuses
   * almost all online work for many minutes. A report of the engine that
   * nothing is queued is therefore trusted.
   */
  private get mayHaveQueue(): boolean {
    return this.lastLoad === undefined || this.lastLoad.waiting > 0;
  }

  /** Size of the engine's KV cache in tokens; infinite if unknown. */
  get memoryTokens(): number {
    const total = this.lastLoad?.kvTokensTotal ?? 0;
    return total > 0 ? total : Number.POSITIVE_INFINITY;
  }

  /**
   * @param cfg - The configuration of the pool.
   * @returns The number of online requests that may run concurrently, at least
   *     1 once measured.
   */
  capacity(cfg: PoolConfig): number {
    if (!this.model.ready) return Math.min(INITIAL_CAPACITY, cfg.maxOnline);
    const byLatency = this.model.streamsWithin(cfg.betweenTokensMs);
    const byObservation = Math.max(
      INITIAL_CAPACITY,
      Math.ceil(this.model.maxObservedStreams * EXTRAPOLATION_FACTOR),
    );
    const most = Math.min(
      byLatency,
      byObservation,
      cfg.maxOnline,
      this.detectedStreamLimit,
    );
    return Math.max(1, most);
  }

  /**
   * @param request - An online request.
   * @param cfg - The configuration of its pool.
   * @returns Whether the engine can take the request now. Batch work is
   *     ignored, because it can be preempted.
   */
  admits(request: AdmissionRequest, cfg: PoolConfig): boolean {
    const {online} = this.running;
    if (online.running === 0) return true;
    if (online.running >= this.capacity(cfg)) return false;
    const kv = online.kvAtEnd + request.promptTokens + request.maxTokens;
    if (kv > this.memoryTokens * KV_SHARE) return false;
    const prefillMs = online.prefillTokens * this.model.msPerPrefillToken;
    return prefillMs <= cfg.firstTokenMs;
  }

  /**
   * Records a completed online request.
   *
   * @param durationMs - How long it ran, in milliseconds.
   */
  finished(durationMs: number): void {
    this.decayedDurationMs =
      this.decayedDurationMs * DURATION_DECAY + durationMs;
    this.ended = this.ended * DURATION_DECAY + 1;
  }

  /**
   * @param ahead - Number of requests queued ahead.
   * @param cfg - The configuration of the pool.
   * @returns The expected wait of the next queued request, in milliseconds; 0
   *     while no request has completed.
   */
  expectedWaitMs(ahead: number, cfg: PoolConfig): number {
    if (this.ended === 0) return 0;
    const meanMs = this.decayedDurationMs / this.ended;
    return ((ahead + 1) * meanMs) / this.capacity(cfg);
  }
}
