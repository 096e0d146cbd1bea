/** The part of the configuration that one target process needs. */

/**
 * Trade-off of a deployment between batch throughput and interference with the
 * tail latency of online work.
 */
export interface BatchPolicy {
  /**
   * From 0 to 1. At 0, batch work uses only capacity that does not change the
   * p50, p95 or p99 of online work, in time to first token and time between
   * tokens. At 1, it uses all capacity that keeps the p99 within `maxHarm`;
   * most online tokens are then later than without batch work. In between, the
   * permitted duration of a step or of the time to first token is interpolated
   * between these two by the square of the weight, and the planned slowdown by
   * the weight itself.
   */
  readonly throughputWeight: number;
  /**
   * Maximum accepted ratio of the online p99 with batch work to that without.
   */
  readonly maxHarm: number;
}

/** Configuration of a model or service that a target process serves. */
export interface PoolConfig {
  readonly pool: string;
  readonly kind: 'model' | 'service';
  /** Version that takes the traffic; if absent, any version that is ready. */
  readonly version?: string;
  readonly batch: BatchPolicy;
  /** Latency objective for the first token, in milliseconds. */
  readonly firstTokenMs: number;
  /** Latency objective between tokens, in milliseconds. */
  readonly betweenTokensMs: number;
  /**
   * Maximum number of concurrent online requests; the actual limit is measured
   * and may be lower.
   */
  readonly maxOnline: number;
}

/** Configuration of one target process. */
export interface TargetConfig {
  /** A target process adopts only a configuration with a higher revision. */
  readonly revision: number;
  readonly pools: readonly PoolConfig[];
  /** Weight of each caller under contention; 1 for a caller that is missing. */
  readonly callerWeights: Readonly<Record<string, number>>;
  /** Fingerprints of work that must not run. */
  readonly blocked: readonly string[];
  /**
   * Whether the target drains: it completes its current requests and accepts no
   * new ones.
   */
  readonly leaving?: boolean;
}
