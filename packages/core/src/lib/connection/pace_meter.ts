/**
 * Measures how fast the events of one stream come, in parts of the stream, so
 * that a target that turns slow is known before the runs on it are complete.
 */

/** Shortest time that is measured at first, in milliseconds. */
const FIRST_SPAN_MS = 250;
/**
 * Longest time after which a stream is measured again, in milliseconds. Each
 * time is twice the one before, so that a long stream, which may be an odd one,
 * does not outweigh the others.
 */
const LAST_SPAN_MS = 2000;
/**
 * Smallest number of pauses between events that are measured at once: a single
 * one may be as long as another request's prompt takes.
 */
const MIN_PAUSES = 4;

/** Pace of one stream. */
export class PaceMeter {
  private startedAt: number | undefined;
  private pauses = 0;
  private minSpanMs = FIRST_SPAN_MS;

  /**
   * @param events - Number of events that have just come.
   * @param now - Current time, in milliseconds.
   * @returns Mean time per event since the last measurement, in milliseconds;
   *     undefined while there are too few events.
   */
  add(events: number, now: number): number | undefined {
    if (this.startedAt === undefined) {
      this.startedAt = now;
      return undefined;
    }
    this.pauses += events;
    const spanMs = now - this.startedAt;
    if (spanMs < this.minSpanMs || this.pauses < MIN_PAUSES) return undefined;
    const msPerEvent = spanMs / this.pauses;
    this.startedAt = now;
    this.pauses = 0;
    this.minSpanMs = Math.min(this.minSpanMs * 2, LAST_SPAN_MS);
    return msPerEvent;
  }
}
