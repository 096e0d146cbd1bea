/**
 * Measures what batch work does to the online tail, while it does it: of each
 * step it notes how long it took and how long it would have taken without the
 * batch streams. The quantiles of the latter are what online callers would see
 * alone; the controller keeps the former within a declared ratio of them.
 */
import {RecentQuantile} from './recent_quantile.js';

const TAIL = 0.99;
/** Online tokens that stand behind a quantile of the time between tokens. */
const TOKEN_WINDOW = 40_000;
/** Requests that stand behind a quantile of the time to first token. */
const FIRST_TOKEN_WINDOW = 1_000;
const FIRST_TOKEN_REFRESH = 5;

/** What online callers see, and what they would see without batch work. */
export class HarmMeter {
  private readonly aloneStep = new RecentQuantile(TAIL, TOKEN_WINDOW);
  private readonly actualStep = new RecentQuantile(TAIL, TOKEN_WINDOW);
  private readonly aloneFirst = new RecentQuantile(
    TAIL,
    FIRST_TOKEN_WINDOW,
    FIRST_TOKEN_REFRESH,
  );
  private readonly actualFirst = new RecentQuantile(
    TAIL,
    FIRST_TOKEN_WINDOW,
    FIRST_TOKEN_REFRESH,
  );
  private readonly waiting = new Map<string, number>();

  /** Time between tokens at p99 without batch work, in milliseconds. */
  get aloneStepMs(): number {
    return this.aloneStep.value;
  }

  /** Time to first token at p99 without batch work, in milliseconds. */
  get aloneFirstTokenMs(): number {
    return this.aloneFirst.value;
  }

  /** Ratio of the time between tokens at p99 to that without batch work. */
  get stepHarm(): number {
    return ratio(this.actualStep.value, this.aloneStep.value);
  }

  /** Ratio of the time to first token at p99 to that without batch work. */
  get firstTokenHarm(): number {
    return ratio(this.actualFirst.value, this.aloneFirst.value);
  }

  /**
   * @param durationMs - How long a step took.
   * @param aloneMs - How long without the batch streams in it.
   * @param onlineTokens - How many online streams got a token in it.
   */
  step(durationMs: number, aloneMs: number, onlineTokens: number): void {
    const alone = Math.min(durationMs, aloneMs);
    if (onlineTokens > 0) {
      this.actualStep.record(durationMs, onlineTokens);
      this.aloneStep.record(alone, onlineTokens);
    }
    if (durationMs <= 0) return;
    const lostShare = 1 - alone / durationMs;
    for (const [id, lost] of this.waiting) {
      this.waiting.set(id, lost + lostShare * durationMs);
    }
  }

  /** @param id - An online request that came in. */
  arrived(id: string): void {
    this.waiting.set(id, 0);
  }

  /**
   * @param id - An online request that got its first token.
   * @param elapsedMs - How long that took.
   */
  firstToken(id: string, elapsedMs: number): void {
    const lost = this.waiting.get(id);
    if (lost === undefined) return;
    this.waiting.delete(id);
    this.actualFirst.record(elapsedMs);
    this.aloneFirst.record(Math.max(1, elapsedMs - lost));
  }

  /** @param id - An online request that ended without a token. */
  gone(id: string): void {
    this.waiting.delete(id);
  }
}

function ratio(actual: number, alone: number): number {
  return alone > 0 ? actual / alone : 1;
}
