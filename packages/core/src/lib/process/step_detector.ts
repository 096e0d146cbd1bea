/**
 * Detects the steps of an engine in the tokens that it streams. In each step
 * every stream gets one token, so the next token of the same stream indicates
 * that another step has ended.
 */

/**
 * Share of the duration of the last step after which a token belongs to the
 * next step. The tokens of one step arrive together.
 */
const NEXT_STEP_SHARE = 0.5;

/** Detects the steps of one engine. */
export class StepDetector {
  private readonly seenStreams = new Set<string>();
  private startedAt: number | undefined;
  private lastStepMs = 0;

  /**
   * Start of the step in progress, in milliseconds; undefined while the engine
   * is idle.
   */
  get since(): number | undefined {
    return this.startedAt;
  }

  /**
   * Starts the first step of an idle engine. Has no effect during a step.
   *
   * @param now - Time at which the engine was sent the request, in
   *     milliseconds.
   */
  begin(now: number): void {
    this.startedAt ??= now;
  }

  /**
   * Records a token.
   *
   * @param id - The ID of the stream.
   * @param now - Time in milliseconds.
   * @returns The duration of the step that the token completes, in
   *     milliseconds; undefined if it is not the first token of that step.
   */
  token(id: string, now: number): number | undefined {
    const startedAt = this.startedAt;
    if (!this.endsStep(id, now)) {
      this.seenStreams.add(id);
      return undefined;
    }
    this.seenStreams.clear();
    this.seenStreams.add(id);
    this.startedAt = now;
    if (startedAt === undefined) return undefined;
    this.lastStepMs = now - startedAt;
    return this.lastStepMs;
  }

  /**
   * Whether a token is the first one of a new step. If all streams of the last
   * step ended with it, no stream repeats, so the elapsed time decides.
   */
  private endsStep(id: string, now: number): boolean {
    if (this.seenStreams.size === 0 || this.seenStreams.has(id)) return true;
    const elapsedMs = now - (this.startedAt ?? now);
    return elapsedMs > this.lastStepMs * NEXT_STEP_SHARE;
  }

  /** Resets the detector when the engine becomes idle. */
  idle(): void {
    this.seenStreams.clear();
    this.startedAt = undefined;
  }
}
