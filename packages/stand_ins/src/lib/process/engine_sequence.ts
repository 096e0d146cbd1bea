/** One request inside the engine model. */

/** A request as the engine model gets it: sizes, no text. */
export interface ModelRequest {
  /** Unique among the requests inside. */
  readonly id: string;
  /**
   * Names its tokens in the cache where `blocks` does not: the same for a
   * request that is resumed. The id by default.
   */
  readonly cacheKey?: string;
  readonly promptTokens: number;
  /**
   * Names of the prompt's whole blocks, from its beginning, as
   * `prefixBlocks` gives them. Prompts share cached blocks of equal names.
   * Without names a request finds only what it left behind itself.
   */
  readonly blocks?: readonly string[];
  /** Tokens to generate, the resumed ones among them. */
  readonly outputTokens: number;
  /** Tokens generated before; they are prefilled behind the prompt. */
  readonly resumedTokens?: number;
}

/** A request that waits or runs. */
export class EngineSequence {
  /** Tokens generated, the resumed ones among them. */
  generated: number;
  /** Tokens to prefill before the next one can be generated. */
  prefillLeft = 0;
  /** Tokens that the current step prefills. */
  chunk = 0;
  /** Leaves at the end of the current step. */
  cancelled = false;

  /** @param request - What is to be generated. */
  constructor(readonly request: ModelRequest) {
    this.generated = request.resumedTokens ?? 0;
  }

  /** Prompt and generated tokens: what KV memory must hold. */
  get tokens(): number {
    return this.request.promptTokens + this.generated;
  }

  /** KV memory at the end. */
  get tokensAtEnd(): number {
    return this.request.promptTokens + this.request.outputTokens;
  }

  /**
   * @param blockTokens - Tokens of one block.
   * @returns Names of the whole blocks of prompt and generated tokens.
   */
  blocks(blockTokens: number): readonly string[] {
    const key = this.request.cacheKey ?? this.request.id;
    const named = this.request.blocks ?? [];
    const count = Math.floor(this.tokens / blockTokens);
    const indices = [...Array(count).keys()];
    return indices.map(i => named[i] ?? `${key}/${i}`);
  }
}

/**
 * @param running - Sequences that run.
 * @param waiting - Sequences that wait.
 * @returns Tokens that are still to be prefilled.
 */
export function tokensToPrefill(
  running: readonly EngineSequence[],
  waiting: readonly EngineSequence[],
): number {
  const left = running.reduce((sum, s) => sum + s.prefillLeft, 0);
  return waiting.reduce((sum, s) => sum + s.tokens, left);
}

/**
 * Gives each sequence its part of a step's prefill, first come, first served.
 *
 * @param running - Sequences that run, in order of admission.
 * @param tokensPerStep - At most so many tokens are prefilled.
 * @returns Tokens that the step prefills.
 */
export function sharePrefill(
  running: readonly EngineSequence[],
  tokensPerStep: number,
): number {
  let left = tokensPerStep;
  for (const sequence of running) {
    sequence.chunk = Math.min(left, sequence.prefillLeft);
    left -= sequence.chunk;
  }
  return tokensPerStep - left;
}
