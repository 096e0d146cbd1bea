/**
 * Decides which work a process takes after it was told to stop.
 *
 * Answers callers that keep sending requests to a process that stops: over
 * connections that are open already, and over new ones until the load balancer
 * has noticed. A request that is still running when the process ends is lost,
 * and one that may run only once cannot be sent again. One that is refused
 * before it has run can be sent to another process at once. So a stopping process
 * takes only what is certain to end before the process does.
 */

/** The time of a planned stop, in monotonic milliseconds. */
export interface PlannedStop {
  /** When the process was told to stop. */
  readonly startedAt: number;
  /** When all work must have ended. */
  readonly endsAt: number;
}

/** Whether a stopping process takes a piece of work. */
export type StopVerdict =
  /** No stop is in progress, or the work ends before it does. */
  | {readonly kind: 'take'}
  /** The work might be cut off: it must be refused, before it has run. */
  | {
      readonly kind: 'refuse';
      /** How long the stop has been in progress, in milliseconds. */
      readonly sinceStopMs: number;
      /** Time that is left for work, in milliseconds. */
      readonly leftMs: number;
      /** Time that the work may take, in milliseconds. */
      readonly neededMs: number;
    };

const TAKE: StopVerdict = {kind: 'take'};

/**
 * Decides by the longest time that the work may take, not by the time that it
 * is expected to take: a single slow target would make the difference a lost
 * request.
 *
 * @param stop - The stop in progress; undefined if there is none.
 * @param workEndsAt - When the work ends at the latest, by the timeout or
 *     deadline that ends it, in monotonic milliseconds.
 * @param now - Current monotonic time, in milliseconds.
 * @returns Whether the work is taken.
 */
export function admitDuringStop(
  stop: PlannedStop | undefined,
  workEndsAt: number,
  now: number,
): StopVerdict {
  if (!stop || workEndsAt <= stop.endsAt) return TAKE;
  return {
    kind: 'refuse',
    sinceStopMs: now - stop.startedAt,
    leftMs: Math.max(0, stop.endsAt - now),
    neededMs: workEndsAt - now,
  };
}
