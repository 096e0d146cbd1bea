/** The part of the configuration that one target process needs. */

/** How a deployment weighs batch throughput against harm to the online tail. */
export interface BatchPolicy {
  /**
   * From 0 to 1. At 0 batch work takes only what changes neither the p50, the
   * p95 nor the p99 of online work, in time to first token and between tokens.
   * At 1 it takes all that keeps the p99 within `maxHarm`; most online tokens
   * come later then than without batch work. Between, the time that a step or a
   * first token may take lies by the square of the weight between these two,
   * and the harm that is planned for by the weight itself.
   */
  readonly throughputWeight: number;
  /** Largest accepted ratio of online p99 with batch to without. */
  readonly maxHarm: number;
}

/** What a target process is to know about a model or service it serves. */
export interface PoolConfig {
  readonly pool: string;
  readonly kind: 'model' | 'service';
  /** The version that takes traffic; any that is ready when absent. */
  readonly version?: string;
  readonly batch: BatchPolicy;
  /** Aim for the first token, in milliseconds. */
  readonly firstTokenMs: number;
  /** Aim between tokens, in milliseconds. */
  readonly betweenTokensMs: number;
  /** Upper bound of online requests at once; measured below it. */
  readonly maxOnline: number;
}

/** The configuration of one target process. */
export interface TargetConfig {
  /** A target process adopts only a higher revision. */
  readonly revision: number;
  readonly pools: readonly PoolConfig[];
  /** Share of each caller under contention; 1 where a caller is missing. */
  readonly callerWeights: Readonly<Record<string, number>>;
  /** Fingerprints of work that must not run. */
  readonly blocked: readonly string[];
  /** Declared out: it finishes what it has and takes nothing new. */
  readonly leaving?: boolean;
}
