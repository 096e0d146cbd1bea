/**
 * Finds the steps of an engine in the tokens that it streams: in one step every
 * stream gets one token, so a stream's next token tells that a new step ended.
 */

/** Tokens of one step come together; later than this they are the next's. */
const LATE_SHARE = 0.5;

/** Tells steps apart. */
export class StepClock {
  private readonly seen = new Set<string>();
  private startedAt: number | undefined;
  private lastMs = 0;

  /** When the step in progress began; undefined while the engine is idle. */
  get since(): number | undefined {
    return this.startedAt;
  }

  /** @param now - When the idle engine was handed its first request. */
  begin(now: number): void {
    this.startedAt ??= now;
  }

  /**
   * Takes note of a token.
   *
   * @param id - The stream.
   * @param now - Milliseconds.
   * @returns How long the step took that ended with this token, if it is the
   *     first one seen of it.
   */
  token(id: string, now: number): number | undefined {
    const begun = this.startedAt;
    if (!this.endsStep(id, now)) {
      this.seen.add(id);
      return undefined;
    }
    this.seen.clear();
    this.seen.add(id);
    this.startedAt = now;
    if (begun === undefined) return undefined;
    this.lastMs = now - begun;
    return this.lastMs;
  }

  /**
   * All streams of the last step may have ended with it: then no stream repeats
   * and the time that passed tells.
   */
  private endsStep(id: string, now: number): boolean {
    if (this.seen.size === 0 || this.seen.has(id)) return true;
    const elapsed = now - (this.startedAt ?? now);
    return elapsed > this.lastMs * LATE_SHARE;
  }

  /** Nothing runs any more. */
  idle(): void {
    this.seen.clear();
    this.startedAt = undefined;
  }
}
