/**
 * Which callers come back after they were turned away. They say with each request
 * how long they will still wait; one that has much less left than the others of
 * its route has spent the rest before. That a caller is merely in a hurry does no
 * harm: what has little time left goes first.
 */

/** With so much of the usual time left or less, a caller is back, as a share: a
 * return comes after a pause, and what callers say differs by a few percent. */
const RETURNING_SHARE = 0.96;

/** Keeps the longest time that callers wait, by route. */
export class CallerPatience {
  private readonly longestMs = new Map<string, number>();

  /**
   * @param route - The name of the route.
   * @param waitsMs - How long the caller will wait, in milliseconds; undefined: it
   *     says nothing.
   * @returns Whether it seems to have been turned away before.
   */
  isReturning(route: string, waitsMs: number | undefined): boolean {
    if (waitsMs === undefined) return false;
    const longest = Math.max(this.longestMs.get(route) ?? 0, waitsMs);
    this.longestMs.set(route, longest);
    return waitsMs < longest * RETURNING_SHARE;
  }
}
