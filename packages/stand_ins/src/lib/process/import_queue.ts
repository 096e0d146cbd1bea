/** KV cache on its way into the engine model. */
import type {CacheExport} from './prefix_cache.js';

const MS_PER_SECOND = 1000;

/** Imports that are being copied. */
export class ImportQueue {
  private pending: {readyAt: number; blocks: readonly string[]}[] = [];

  /** @param tokensPerSecond - The rate of each copy. */
  constructor(private readonly tokensPerSecond: number) {}

  /**
   * @param cache - What is copied.
   * @param now - Milliseconds.
   */
  add({blocks, blockTokens}: CacheExport, now: number): void {
    const tokens = blocks.length * blockTokens;
    const copyMs = (tokens * MS_PER_SECOND) / this.tokensPerSecond;
    this.pending.push({readyAt: now + copyMs, blocks});
  }

  /** @returns The blocks of each import that is complete, once. */
  due(now: number): readonly (readonly string[])[] {
    if (this.pending.length === 0) return [];
    const ready = this.pending.filter(({readyAt}) => readyAt <= now);
    this.pending = this.pending.filter(({readyAt}) => readyAt > now);
    return ready.map(({blocks}) => blocks);
  }

  /** Forgets what is under way. */
  clear(): void {
    this.pending = [];
  }
}
