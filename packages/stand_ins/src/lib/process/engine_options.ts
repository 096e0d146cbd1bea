/** Parameters of the engine model, with their units and defaults. */

/** How an engine behaves in time and memory. */
export interface EngineModelOptions {
  /** Sequences that run at once; later ones wait in order of arrival. */
  readonly maxSequences: number;
  /** Time of a step with nothing in it, in milliseconds. */
  readonly stepMs: number;
  /** Time that each running sequence adds to a step, in milliseconds. */
  readonly stepMsPerSequence: number;
  /** Prompt tokens prefilled in a second, apart from `stepMs`. */
  readonly prefillTokensPerSecond: number;
  /** At most so many prompt tokens are prefilled in one step. */
  readonly prefillTokensPerStep: number;
  /** KV memory of running sequences, in tokens. */
  readonly kvTokens: number;
  /** Memory of cached prefixes, in tokens. */
  readonly prefixCacheTokens: number;
  /** Tokens of one cached block; shorter rests are not cached. */
  readonly cacheBlockTokens: number;
  /** Imported KV cache becomes usable at this rate, in tokens a second. */
  readonly importTokensPerSecond: number;
  /** Time between two samples of the load, in milliseconds. */
  readonly loadIntervalMs: number;
  /** Time from a sample until it is reported, in milliseconds. */
  readonly loadLagMs: number;
  /** Time from a change of the cache until it is published, in milliseconds. */
  readonly cacheEventLagMs: number;
  /** Share of cache events that are never published, from 0 to 1. */
  readonly cacheEventLoss: number;
  /** Seed of what is random: the lost cache events. */
  readonly seed: number;
}

/** An engine on one accelerator of today. */
export const DEFAULT_ENGINE_OPTIONS: EngineModelOptions = {
  maxSequences: 64,
  stepMs: 20,
  stepMsPerSequence: 0.3,
  prefillTokensPerSecond: 8000,
  prefillTokensPerStep: 512,
  kvTokens: 120_000,
  prefixCacheTokens: 60_000,
  cacheBlockTokens: 64,
  importTokensPerSecond: 100_000,
  loadIntervalMs: 500,
  loadLagMs: 500,
  cacheEventLagMs: 1000,
  cacheEventLoss: 0.02,
  seed: 1,
};

const MS_PER_SECOND = 1000;

/**
 * @param options - Parameters of the engine.
 * @param running - Sequences in the step.
 * @param prefilled - Prompt tokens that the step prefills.
 * @returns How long the step takes, in milliseconds.
 */
export function stepTime(
  options: EngineModelOptions,
  running: number,
  prefilled: number,
): number {
  const {stepMs, stepMsPerSequence, prefillTokensPerSecond} = options;
  const prefillMs = (prefilled * MS_PER_SECOND) / prefillTokensPerSecond;
  return stepMs + running * stepMsPerSequence + prefillMs;
}
