/**
 * How much online work an engine takes at once, as measured: as many streams as
 * keep the step within the aim between tokens, as many prompt tokens as can be
 * prefilled within the aim for the first token, and what its memory holds.
 */
import type {AdmissionRequest} from './admission.js';
import type {EngineLoad} from './engine_client.js';
import type {RunningSet} from './running_set.js';
import type {StepModel} from './step_model.js';
import type {PoolConfig} from '../version/target_config.js';

/** Streams that an engine takes before it was measured. */
const FIRST_CAPACITY = 8;
/** How far beyond the streams seen so far the model is believed. */
const TRUST_FACTOR = 1.5;
/** Share of the engine's memory that online work may fill. */
const KV_SHARE = 0.95;
const RATE_FORGETTING = 0.98;
/** Steps in a row that tell that an engine is full. */
const STALLED_STEPS = 3;
const CEILING_RETRY_MS = 60_000;

/** Bounds online work at the engine. */
export class OnlineGate {
  private lastLoad: EngineLoad | undefined;
  private ceiling = Number.POSITIVE_INFINITY;
  private ceilingAt = 0;
  private stalledSteps = 0;
  private busyMs = 0;
  private ended = 0;

  /**
   * @param model - The engine's step time.
   * @param running - What the engine has.
   */
  constructor(
    private readonly model: StepModel,
    private readonly running: RunningSet,
  ) {}

  /** The engine's own last report; it lags. */
  get load(): EngineLoad | undefined {
    return this.lastLoad;
  }

  /** Streams that the engine runs at once; infinite while not known. */
  get streamCeiling(): number {
    return this.ceiling;
  }

  /** @param load - The engine's own report. */
  report(load: EngineLoad): void {
    this.lastLoad = load;
  }

  /**
   * Looks at one step: an engine that left requests waiting, and prefilled
   * nothing, has no place for more streams. Neither its limit nor its queue is
   * told in time, and an online request behind that queue would wait long.
   *
   * @param stalled - Whether it did so in this step.
   * @param streams - How many got a token.
   * @param now - Milliseconds.
   */
  watchCeiling(stalled: boolean, streams: number, now: number): void {
    this.stalledSteps = stalled ? this.stalledSteps + 1 : 0;
    if (this.stalledSteps >= STALLED_STEPS && this.mayQueue) {
      this.ceiling = Math.max(1, streams);
      this.ceilingAt = now;
      return;
    }
    // The engine may have been changed: now and then one more is tried.
    if (now - this.ceilingAt < CEILING_RETRY_MS) return;
    this.ceiling += 1;
    this.ceilingAt = now;
  }

  /**
   * A stream without a token for some steps may wait inside the engine, or its
   * connection was slow to open. Taken for the first, the second closed a target
   * to almost all online work for many minutes. An engine that says that
   * nothing waits in it is believed.
   */
  private get mayQueue(): boolean {
    return this.lastLoad === undefined || this.lastLoad.waiting > 0;
  }

  /** Size of the engine's memory in tokens; infinite where not known. */
  get memory(): number {
    const total = this.lastLoad?.kvTokensTotal ?? 0;
    return total > 0 ? total : Number.POSITIVE_INFINITY;
  }

  /**
   * @param cfg - The pool.
   * @returns Online requests that may run at once.
   */
  capacity(cfg: PoolConfig): number {
    if (!this.model.ready) return Math.min(FIRST_CAPACITY, cfg.maxOnline);
    const within = this.model.streamsWithin(cfg.betweenTokensMs);
    const trusted = Math.max(
      FIRST_CAPACITY,
      Math.ceil(this.model.largestSeen * TRUST_FACTOR),
    );
    const most = Math.min(within, trusted, cfg.maxOnline, this.ceiling);
    return Math.max(1, most);
  }

  /**
   * @param request - An online request.
   * @param cfg - Its pool.
   * @returns Whether the engine can take it now, batch work left aside.
   */
  admits(request: AdmissionRequest, cfg: PoolConfig): boolean {
    const {online} = this.running;
    if (online.running === 0) return true;
    if (online.running >= this.capacity(cfg)) return false;
    const kv = online.kvAtEnd + request.promptTokens + request.maxTokens;
    if (kv > this.memory * KV_SHARE) return false;
    const prefill = online.prefillTokens * this.model.perPrefillToken;
    return prefill <= cfg.firstTokenMs;
  }

  /** @param durationMs - How long an online request ran. */
  finished(durationMs: number): void {
    this.busyMs = this.busyMs * RATE_FORGETTING + durationMs;
    this.ended = this.ended * RATE_FORGETTING + 1;
  }

  /**
   * @param ahead - How many wait already.
   * @param cfg - The pool.
   * @returns How long another one would wait, in milliseconds.
   */
  expectedWait(ahead: number, cfg: PoolConfig): number {
    if (this.ended === 0) return 0;
    const meanMs = this.busyMs / this.ended;
    return ((ahead + 1) * meanMs) / this.capacity(cfg);
  }
}
