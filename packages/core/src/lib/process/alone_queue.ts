/**
 * When online requests would have their first token without batch work. An
 * engine prefills prompts one after the other, so a delay passes on to those
 * that come behind: this queue follows the prompts as if there were no delay.
 */

/** What an online request needs of an engine that has no batch work. */
export interface AloneNeed {
  /** Time to prefill its prompt, in milliseconds. */
  readonly prefillMs: number;
  /** Prefill that an engine does in one step at most, in milliseconds. */
  readonly largestPrefillMs: number;
  /** Time of a step that only decodes, in milliseconds. */
  readonly decodeMs: number;
  /** Whether other online streams are decoding. */
  readonly decoding: boolean;
}

interface Expected {
  readonly firstTokenMs: number;
  readonly serviceMs: number;
}

/** Follows online prompts as if there were no batch work. */
export class AloneQueue {
  private busyUntil = 0;
  private readonly expected = new Map<string, Expected>();

  /**
   * @param id - An online request that came in.
   * @param need - What it needs.
   * @param now - Milliseconds.
   */
  arrived(id: string, need: AloneNeed, now: number): void {
    const {prefillMs, decodeMs} = need;
    const share = prefillMs / Math.max(1, need.largestPrefillMs);
    const behind = this.busyUntil > now;
    // Behind others a prompt shares its first and last step with them.
    const steps = behind ? share : Math.max(1, Math.ceil(share));
    // The step in progress is half over, on average.
    const residualMs = need.decoding ? decodeMs / 2 : 0;
    const from = Math.max(now + residualMs, this.busyUntil);
    const serviceMs = prefillMs + steps * decodeMs;
    this.busyUntil = from + serviceMs;
    const firstTokenMs = this.busyUntil - now;
    this.expected.set(id, {firstTokenMs, serviceMs});
  }

  /**
   * @param id - An online request that got its first token.
   * @returns When it would have got it, in milliseconds after it came in.
   */
  firstToken(id: string): number | undefined {
    const expected = this.expected.get(id);
    this.expected.delete(id);
    return expected?.firstTokenMs;
  }

  /** @param id - An online request that ended without a token. */
  gone(id: string): void {
    const expected = this.expected.get(id);
    if (expected === undefined) return;
    this.expected.delete(id);
    this.busyUntil -= expected.serviceMs;
  }
}
