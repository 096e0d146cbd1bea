/**
 * Measures what batch work does to the online tail, while it does it: of each
 * step it notes how long it took and how long it would have taken without the
 * batch streams. The quantiles of the latter are what online callers would see
 * alone; the controller keeps the former within a declared ratio of them.
 */
import {AloneQueue} from './alone_queue.js';
import type {AloneNeed} from './alone_queue.js';
import {RecentQuantile} from './recent_quantile.js';

const TAIL = 0.99;
/**
 * What a cautious deployment wants held: p50, p95 and p99. Above the p95 they
 * lie close, as a step that crosses one by error may then grow to the next.
 */
const GUARDED = [0.5, 0.9, 0.93, 0.95, 0.96, 0.97, 0.98, TAIL];
/** Online tokens that stand behind a quantile of the time between tokens. */
const TOKEN_WINDOW = 200_000;
const TOKEN_REFRESH = 500;
/** Requests that stand behind a quantile of the time to first token. */
const FIRST_TOKEN_WINDOW = 4_000;
const FIRST_TOKEN_REFRESH = 5;
/** Share of the tail's tokens that is planned for; the rest is error. */
const OVERRUN_SHARE = 0.8;
/** Online tokens beyond the limit that may be saved up. */
const MAX_CREDIT = 200;

/** One step of the engine, and what it would have been without batch work. */
export interface MeasuredStep {
  readonly durationMs: number;
  /** Its time without batch work. */
  readonly aloneMs: number;
  /** How many online streams got a token in it. */
  readonly onlineTokens: number;
  /** The longest step that was wanted. */
  readonly limitMs: number;
}

/** Time of steps with online streams, as it was and without batch work. */
interface Spent {
  readonly actualMs: number;
  readonly aloneMs: number;
}

/** What online callers see, and what they would see without batch work. */
export class HarmMeter {
  private readonly aloneStep = new RecentQuantile(
    GUARDED,
    TOKEN_WINDOW,
    TOKEN_REFRESH,
  );
  private readonly actualStep = new RecentQuantile(
    [TAIL],
    TOKEN_WINDOW,
    TOKEN_REFRESH,
  );
  private readonly aloneFirst = new RecentQuantile(
    GUARDED,
    FIRST_TOKEN_WINDOW,
    FIRST_TOKEN_REFRESH,
  );
  private readonly actualFirst = new RecentQuantile(
    [TAIL],
    FIRST_TOKEN_WINDOW,
    FIRST_TOKEN_REFRESH,
  );
  private readonly queue = new AloneQueue();
  private readonly decoding = new Map<string, Spent>();
  private readonly spent = {actualMs: 0, aloneMs: 0};
  private lateTokens = 0;

  /**
   * Online tokens that may still be late, as a share of what can be saved up;
   * negative when too many were.
   */
  get credit(): number {
    return this.lateTokens / MAX_CREDIT;
  }

  /** Online tokens that stand behind the quantiles. */
  get tokens(): number {
    return this.aloneStep.samples;
  }

  /** Online requests that stand behind the quantiles. */
  get requests(): number {
    return this.aloneFirst.samples;
  }

  /** Time between tokens at p99 without batch work, in milliseconds. */
  get aloneStepMs(): number {
    return this.aloneStep.value;
  }

  /** Time to first token at p99 without batch work, in milliseconds. */
  get aloneFirstTokenMs(): number {
    return this.aloneFirst.value;
  }

  /** Quantiles of the time between tokens, the p99 last, without batch work. */
  get aloneSteps(): readonly number[] {
    return this.aloneStep.values;
  }

  /** Quantiles of the time to first token, the p99 last, without batch work. */
  get aloneFirstTokens(): readonly number[] {
    return this.aloneFirst.values;
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
   * How many online streams would be decoding without batch work. Streams that
   * are slowed down last longer, so more of them run at a time; by how much
   * longer each lasts, as much less it counts.
   *
   * @returns The streams, in fractions.
   */
  aloneStreams(): number {
    let streams = 0;
    for (const {actualMs, aloneMs} of this.decoding.values()) {
      const actual = this.spent.actualMs - actualMs;
      streams += actual > 0 ? (this.spent.aloneMs - aloneMs) / actual : 1;
    }
    return streams;
  }

  /** @param step - What one step was like. */
  step(step: MeasuredStep): void {
    const {durationMs, onlineTokens} = step;
    const alone = Math.min(durationMs, step.aloneMs);
    if (onlineTokens > 0) {
      this.actualStep.record(durationMs, onlineTokens);
      this.aloneStep.record(alone, onlineTokens);
      this.spend(onlineTokens, durationMs > step.limitMs);
      this.spent.actualMs += durationMs;
      this.spent.aloneMs += alone;
    }
  }

  /**
   * A p99 stands while no more than one token in a hundred is later, whichever
   * those are: what online work itself does not use up is left for batch.
   */
  private spend(tokens: number, late: boolean): void {
    const earned = (1 - TAIL) * OVERRUN_SHARE * tokens;
    const left = this.lateTokens + earned - (late ? tokens : 0);
    this.lateTokens = Math.max(-MAX_CREDIT, Math.min(MAX_CREDIT, left));
  }

  /**
   * @param id - An online request that came in.
   * @param need - What it needs of an engine alone.
   * @param now - Milliseconds.
   */
  arrived(id: string, need: AloneNeed, now: number): void {
    this.queue.arrived(id, need, now);
  }

  /**
   * @param id - An online request that got its first token.
   * @param elapsedMs - How long that took.
   */
  firstToken(id: string, elapsedMs: number): void {
    const alone = this.queue.firstToken(id);
    if (alone === undefined) return;
    this.decoding.set(id, {...this.spent});
    this.actualFirst.record(elapsedMs);
    this.aloneFirst.record(Math.min(elapsedMs, alone));
  }

  /** @param id - An online request that ended. */
  gone(id: string): void {
    this.decoding.delete(id);
    this.queue.gone(id);
  }
}

function ratio(actual: number, alone: number): number {
  return alone > 0 ? actual / alone : 1;
}
