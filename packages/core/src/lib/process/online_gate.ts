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

/** Bounds online work at the engine. */
export class OnlineGate {
  private lastLoad: EngineLoad | undefined;
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

  /** @param load - The engine's own report. */
  report(load: EngineLoad): void {
    this.lastLoad = load;
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
    return Math.max(1, Math.min(within, trusted, cfg.maxOnline));
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
