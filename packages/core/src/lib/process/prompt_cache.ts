/**
 * What an engine has cached of requests that were there lately: streams that
 * were preempted and prompts that were prefilled in pieces go on cheaply.
 */
import {LRUCache} from 'lru-cache';
import type {AdmissionRequest} from './admission.js';
import {MISS_TOKENS} from './running_set.js';

/** Engines cache whole blocks; of a common size, for larger ones divide it. */
export const BLOCK_TOKENS = 64;
/** Requests that are kept in mind. */
const MAX_REQUESTS = 256;
/**
 * An engine evicts what was used least lately. Its cache is taken to hold what
 * was computed since, up to this share of its memory: believing that something
 * is cached that is not costs a long step.
 */
const TRUSTED_SHARE = 0.35;
const TRUSTED_TOKENS = 16_000;
const MISS_SHRINK = 0.7;
const HIT_GROWTH = 1.002;

interface Kept {
  readonly tokens: number;
  /** Tokens that the engine had computed by then. */
  readonly computed: number;
}

/**
 * @param tokens - Tokens.
 * @returns Tokens of the whole blocks in them.
 */
export function wholeBlocks(tokens: number): number {
  return Math.floor(tokens / BLOCK_TOKENS) * BLOCK_TOKENS;
}

/** Estimates what is left to prefill. */
export class PromptCache {
  private readonly kept = new LRUCache<string, Kept>({max: MAX_REQUESTS});
  private computed = 0;
  private most = TRUSTED_TOKENS;
  private trusted = TRUSTED_TOKENS;

  /** @param tokens - Size of the engine's memory. */
  setMemory(tokens: number): void {
    if (tokens > 0) this.most = tokens * TRUSTED_SHARE;
  }

  /**
   * Learns how much the engine's cache holds.
   *
   * @param unexpected - Tokens that it prefilled in a step beyond what was
   *     thought to be left.
   */
  check(unexpected: number): void {
    const missed = unexpected > MISS_TOKENS;
    const trusted = this.trusted * (missed ? MISS_SHRINK : HIT_GROWTH);
    this.trusted = Math.max(BLOCK_TOKENS, Math.min(this.most, trusted));
  }

  /** What was computed since, in tokens, before something is evicted. */
  get trustedTokens(): number {
    return this.trusted;
  }

  /** @param tokens - Tokens that the engine computed. */
  add(tokens: number): void {
    this.computed += tokens;
  }

  /**
   * @param id - A request.
   * @returns Tokens of it that are cached, from its beginning.
   */
  of(id: string): number {
    const kept = this.kept.get(id);
    if (kept === undefined) return 0;
    return this.computed - kept.computed > this.trusted ? 0 : kept.tokens;
  }

  /**
   * @param id - A request that left the engine.
   * @param tokens - Tokens of it that were computed, prompt and generated.
   */
  keep(id: string, tokens: number): void {
    const kept = {tokens: wholeBlocks(tokens), computed: this.computed};
    this.kept.set(id, kept);
  }

  /**
   * @param request - What is to start.
   * @returns Tokens that have to be prefilled, at least 1.
   */
  left({id, promptTokens, resumedTokens}: AdmissionRequest): number {
    return Math.max(1, promptTokens + resumedTokens - this.of(id));
  }
}
