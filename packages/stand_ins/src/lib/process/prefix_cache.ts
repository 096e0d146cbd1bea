/** The prefix cache of the engine model: blocks of tokens, least recent out. */
import {fingerprint, type CacheEvent} from '@oathead/core';
import {LRUCache} from 'lru-cache';

/** A change of the cache, before it is numbered. */
export type CacheChange = Omit<CacheEvent, 'sequence'>;

/** The blocks of one prefix, from its beginning. */
export interface CacheExport {
  readonly blockTokens: number;
  readonly blocks: readonly string[];
}

interface Block {
  readonly parent: string | undefined;
  /** Tokens from the beginning up to the end of this block. */
  readonly tokens: number;
}

const CHARACTERS_PER_TOKEN = 4;

/**
 * Names the blocks of a prompt. Each name covers all text before it, so that
 * equal names mean equal beginnings.
 *
 * @param scope - What else must be equal: the model and its adapter.
 * @param text - The prompt.
 * @param blockTokens - Tokens of a block, of four characters each.
 * @returns One fingerprint for each whole block.
 */
export function prefixBlocks(
  scope: string,
  text: string,
  blockTokens: number,
): readonly string[] {
  const size = blockTokens * CHARACTERS_PER_TOKEN;
  const blocks: string[] = [];
  for (let end = size; end <= text.length; end += size) {
    const parent = blocks.at(-1) ?? scope;
    blocks.push(fingerprint(`${parent}\n${text.slice(end - size, end)}`));
  }
  return blocks;
}

/** Cached blocks within a limited memory. */
export class PrefixCache {
  private readonly blocks: LRUCache<string, Block>;

  /**
   * @param maxTokens - Memory, in tokens.
   * @param blockTokens - Tokens of one block.
   * @param onChange - Told of each block that comes or goes.
   */
  constructor(
    maxTokens: number,
    private readonly blockTokens: number,
    private readonly onChange: (change: CacheChange) => void,
  ) {
    this.blocks = new LRUCache({
      max: Math.max(1, Math.floor(maxTokens / blockTokens)),
      dispose: (block, prefix, reason) => {
        if (reason !== 'evict') return;
        onChange({kind: 'evicted', prefix, tokens: block.tokens});
      },
    });
  }

  /** Tokens held. */
  get tokens(): number {
    return this.blocks.size * this.blockTokens;
  }

  /**
   * Looks a sequence up and marks what it finds as recent.
   *
   * @param blocks - Names of its blocks, from the beginning.
   * @returns Tokens of the longest cached beginning.
   */
  match(blocks: readonly string[]): number {
    let count = 0;
    while (count < blocks.length && this.blocks.has(blocks[count]!)) count++;
    // The beginning is marked last: it must outlive its continuations, which
    // are of no use without it.
    for (let i = count - 1; i >= 0; i--) this.blocks.get(blocks[i]!);
    return count * this.blockTokens;
  }

  /** Stores a sequence of blocks, given from the beginning. */
  store(blocks: readonly string[]): void {
    for (let i = blocks.length - 1; i >= 0; i--) this.storeBlock(blocks, i);
  }

  /** @returns The blocks up to `prefix`, or undefined when one is gone. */
  export(prefix: string): CacheExport | undefined {
    const blocks: string[] = [];
    let name: string | undefined = prefix;
    while (name !== undefined) {
      const block: Block | undefined = this.blocks.peek(name);
      if (!block) return undefined;
      blocks.unshift(name);
      name = block.parent;
    }
    return {blockTokens: this.blockTokens, blocks};
  }

  /** Forgets everything. */
  clear(): void {
    this.blocks.clear();
    this.onChange({kind: 'cleared', prefix: '', tokens: 0});
  }

  private storeBlock(blocks: readonly string[], index: number): void {
    const prefix = blocks[index]!;
    if (this.blocks.get(prefix)) return;
    const tokens = (index + 1) * this.blockTokens;
    this.blocks.set(prefix, {parent: blocks[index - 1], tokens});
    this.onChange({kind: 'stored', prefix, tokens});
  }
}
