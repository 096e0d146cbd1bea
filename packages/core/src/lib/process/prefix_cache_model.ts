/**
 * Estimates which prefixes of recent requests an engine still has in its prefix
 * cache. Preempted streams and prompts that are prefilled in chunks resume
 * cheaply from there.
 */
import {LRUCache} from 'lru-cache';
import type {AdmissionRequest} from './admission.js';
import {CACHE_MISS_TOKENS} from './running_set.js';

/**
 * Block size to which cached prefixes are rounded down, in tokens. Engines
 * cache whole blocks, and this is a multiple of the common block sizes.
 */
export const BLOCK_TOKENS = 64;
/** Number of requests that are tracked. */
const MAX_TRACKED_REQUESTS = 256;
/**
 * Upper bound of the retention, as a share of the engine's KV cache memory. An
 * engine evicts the least recently used blocks. A prefix is assumed to be
 * cached until the engine has computed as many tokens since as the retention.
 * The bound is conservative, because a wrong assumption causes a long step.
 */
const MAX_RETENTION_SHARE = 0.35;
/** Initial retention, and its upper bound while the memory is unknown. */
const INITIAL_RETENTION_TOKENS = 16_000;
/** Factors on the retention after a step with and without a cache miss. */
const RETENTION_DECREASE = 0.7;
const RETENTION_INCREASE = 1.002;

interface CachedPrefix {
  readonly tokens: number;
  /** Total tokens computed by the engine when the prefix was recorded. */
  readonly computedBefore: number;
}

/**
 * @param tokens - A number of tokens.
 * @returns The number of tokens in its whole cache blocks.
 */
export function roundDownToBlocks(tokens: number): number {
  return Math.floor(tokens / BLOCK_TOKENS) * BLOCK_TOKENS;
}

/** Models the prefix cache of one engine. */
export class PrefixCacheModel {
  private readonly kept = new LRUCache<string, CachedPrefix>({
    max: MAX_TRACKED_REQUESTS,
  });
  private computedTokens = 0;
  private maxRetention = INITIAL_RETENTION_TOKENS;
  private retention = INITIAL_RETENTION_TOKENS;

  /**
   * @param tokens - Size of the engine's KV cache memory, in tokens; 0 if
   *     unknown.
   */
  setMemoryTokens(tokens: number): void {
    if (tokens > 0) this.maxRetention = tokens * MAX_RETENTION_SHARE;
  }

  /**
   * Adjusts the retention after a step.
   *
   * @param unexpectedTokens - Tokens that the engine prefilled in the step
   *     beyond the estimated remainder of all prompts.
   */
  adjustRetention(unexpectedTokens: number): void {
    const missed = unexpectedTokens > CACHE_MISS_TOKENS;
    const retention =
      this.retention * (missed ? RETENTION_DECREASE : RETENTION_INCREASE);
    this.retention = Math.max(
      BLOCK_TOKENS,
      Math.min(this.maxRetention, retention),
    );
  }

  /**
   * Number of tokens that the engine computes before it is assumed to evict a
   * prefix.
   */
  get retentionTokens(): number {
    return this.retention;
  }

  /** @param tokens - Further tokens that the engine has computed. */
  recordComputed(tokens: number): void {
    this.computedTokens += tokens;
  }

  /**
   * @param id - The ID of a request.
   * @returns The estimated length of its cached prefix, in tokens.
   */
  cachedTokens(id: string): number {
    const prefix = this.kept.get(id);
    if (prefix === undefined) return 0;
    return this.computedTokens - prefix.computedBefore > this.retention
      ? 0
      : prefix.tokens;
  }

  /**
   * Records the prefix of a request that left the engine.
   *
   * @param id - The ID of the request.
   * @param tokens - Number of its prompt and output tokens that were computed.
   */
  recordCached(id: string, tokens: number): void {
    const prefix = {
      tokens: roundDownToBlocks(tokens),
      computedBefore: this.computedTokens,
    };
    this.kept.set(id, prefix);
  }

  /**
   * @param request - A request that is to start.
   * @returns The estimated number of tokens to prefill, at least 1.
   */
  tokensToPrefill({id, promptTokens, resumedTokens}: AdmissionRequest): number {
    return Math.max(1, promptTokens + resumedTokens - this.cachedTokens(id));
  }
}
