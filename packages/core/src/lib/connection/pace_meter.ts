/**
 * Measures how fast the events of one stream come, in parts of the stream, so
 * that a target that turns slow is known before the runs on it are complete.
 */

/** Shortest part of a stream that is measured, in milliseconds. */
const MIN_SPAN_MS = 250;
/**
 * Smallest number of pauses between events in such a part: a single one may be
 * as long as another request's prompt takes.
 */
const MIN_PAUSES = 4;
/**
 * Longest time after which a stream is measured again, in milliseconds. Each
 * time is twice the one before, so that a long stream, which may be an odd one,
 * does not outweigh the others.
 */
const MAX_SPAN_MS = 2000;
/** How much the pace of a part must differ to be told at once. */
const CHANGE_RATIO = 1.5;

/** Part of a stream. */
class Span {
  private pauses = 0;

  /** @param startedAt - When the part began, in milliseconds. */
  constructor(private readonly startedAt: number) {}

  add(pauses: number): void {
    this.pauses += pauses;
  }

  isLongEnough(now: number, minMs: number): boolean {
    return now - this.startedAt >= minMs && this.pauses >= MIN_PAUSES;
  }

  msPerEvent(now: number): number {
    return (now - this.startedAt) / this.pauses;
  }
}

/** Pace of one stream. */
export class PaceMeter {
  /** What is not told yet, and the last part of it. */
  private untold: Span | undefined;
  private newest: Span | undefined;
  private toldMs: number | undefined;
  private spanMs = MIN_SPAN_MS;

  /**
   * @param events - Number of events that have just come.
   * @param now - Current time, in milliseconds.
   * @returns Mean time per event since the last measurement, in milliseconds;
   *     undefined while there are too few events.
   */
  add(events: number, now: number): number | undefined {
    if (!this.untold || !this.newest) {
      this.startSpans(now);
      return undefined;
    }
    this.untold.add(events);
    this.newest.add(events);
    if (!this.newest.isLongEnough(now, MIN_SPAN_MS)) return undefined;
    const newestMs = this.newest.msPerEvent(now);
    if (this.hasChanged(newestMs)) return this.tell(newestMs, MIN_SPAN_MS, now);
    this.newest = new Span(now);
    return this.untold.isLongEnough(now, this.spanMs)
      ? this.tell(this.untold.msPerEvent(now), this.spanMs * 2, now)
      : undefined;
  }

  private hasChanged(ms: number): boolean {
    if (this.toldMs === undefined) return false;
    const ratio = ms / this.toldMs;
    return ratio > CHANGE_RATIO || ratio < 1 / CHANGE_RATIO;
  }

  private tell(ms: number, nextSpanMs: number, now: number): number {
    this.startSpans(now);
    this.toldMs = ms;
    this.spanMs = Math.min(nextSpanMs, MAX_SPAN_MS);
    return ms;
  }

  private startSpans(now: number): void {
    this.untold = new Span(now);
    this.newest = new Span(now);
  }
}
