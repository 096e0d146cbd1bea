/**
 * Detects callers that retry after a refusal. Each request carries the time
 * that its caller is still willing to wait; a caller with much less time left
 * than others on the same route has spent the difference on an earlier attempt.
 * A first attempt with a short timeout is misclassified as a retry, which is
 * harmless: requests with little time left go first.
 */

/**
 * A request counts as a retry if its remaining time is at most this share of
 * the longest one on its route. A retry follows a pause, while the times that
 * callers state on a first attempt differ by a few percent.
 */
const RETRY_WAIT_SHARE = 0.96;

/** Tracks the longest time that callers are willing to wait, by route. */
export class CallerRetryDetector {
  private readonly longestWaitMs = new Map<string, number>();

  /**
   * @param route - The name of the route.
   * @param waitsMs - How long the caller is willing to wait, in milliseconds;
   *     undefined if it does not say.
   * @returns Whether the request appears to be a retry after a refusal.
   */
  isRetry(route: string, waitsMs: number | undefined): boolean {
    if (waitsMs === undefined) return false;
    const longestWaitMs = Math.max(this.longestWaitMs.get(route) ?? 0, waitsMs);
    this.longestWaitMs.set(route, longestWaitMs);
    return waitsMs < longestWaitMs * RETRY_WAIT_SHARE;
  }
}
