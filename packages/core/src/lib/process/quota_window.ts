/**
 * Counts the grants of one account in a sliding window.
 *
 * Guards against an account that sends its whole quota at the start of a
 * window: all of it is granted at once, and nothing more until it leaves the
 * window. State is bounded by the number of parts, whatever the request rate.
 */

/**
 * Number of parts that a window is counted in. All grants of a part leave the
 * window with the latest of them, at most one part too late.
 */
const PARTS_PER_WINDOW = 100;

interface WindowPart {
  readonly from: number;
  readonly until: number;
  count: number;
}

/** Grants of one account. */
export class QuotaWindow {
  /** Parts with grants, oldest first. */
  private readonly parts: WindowPart[] = [];
  private total = 0;

  /**
   * @param spanMs - Time during which a grant counts, in milliseconds.
   * @param now - Time on a monotonic clock, in milliseconds.
   * @returns The number of grants that still count.
   */
  count(spanMs: number, now: number): number {
    while (this.parts.length > 0 && this.parts[0]!.until + spanMs <= now)
      this.total -= this.parts.shift()!.count;
    return this.total;
  }

  /**
   * @param spanMs - Time during which a grant counts, in milliseconds.
   * @param at - A later time on the same clock.
   * @returns The number of recorded grants that will still count then.
   */
  countAt(spanMs: number, at: number): number {
    let left = this.total;
    for (const {until, count} of this.parts) {
      if (until + spanMs > at) break;
      left -= count;
    }
    return left;
  }

  /**
   * Records a grant.
   *
   * @param spanMs - Time during which a grant counts, in milliseconds.
   * @param now - Time of the grant on a monotonic clock, in milliseconds.
   */
  add(spanMs: number, now: number): void {
    const last = this.parts.at(-1);
    const lengthMs = spanMs / PARTS_PER_WINDOW;
    if (last && now < last.until) last.count++;
    else this.parts.push({from: now, until: now + lengthMs, count: 1});
    this.total++;
  }

  /**
   * Removes a grant whose request did not run, from the part in which it was
   * made or, if that has none left, from the nearest one before.
   *
   * @param grantedAt - Time of the grant; the oldest part if undefined.
   * @returns Whether a grant was removed.
   */
  remove(grantedAt: number | undefined): boolean {
    const part =
      grantedAt === undefined
        ? this.parts.find(({count}) => count > 0)
        : this.parts.findLast(
            ({from, count}) => from <= grantedAt && count > 0,
          );
    if (!part) return false;
    part.count--;
    this.total--;
    return true;
  }

  /**
   * @param most - Number of grants.
   * @param spanMs - Time during which a grant counts, in milliseconds.
   * @returns The earliest time at which no more than that many of the recorded
   *     grants still count; infinite if `most` is negative.
   */
  timeOfFallTo(most: number, spanMs: number): number {
    let left = this.total;
    if (left <= most) return -Infinity;
    for (const {until, count} of this.parts) {
      left -= count;
      if (left <= most) return until + spanMs;
    }
    return Infinity;
  }
}
