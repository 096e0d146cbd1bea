/**
 * Estimates when a signal came that a process handles now.
 *
 * Answers machines that freeze or get no processor: a process handles what came
 * in the meantime only once it runs again, but the time that a signal allows it,
 * as until it is killed, runs from when it was sent.
 */

/** Times on a monotonic clock at which the process was known to run, in ms. */
export interface RunningChecks {
  /** The last check. */
  readonly lastAt: number;
  /** The check before that. */
  readonly previousAt: number;
  /** Longest time between two checks without a stall between them. */
  readonly longestGapMs: number;
}

/**
 * Takes the earliest moment that is possible: one that is too early costs a
 * part of the time, one that is too late means being killed in the middle.
 *
 * @param checks - The last two checks.
 * @returns The earliest moment at which a signal may have come that is handled
 *     now, in monotonic milliseconds. Without a stall it is the last check. If
 *     that one ended a stall, the signal may have waited behind it.
 */
export function earliestArrival({
  lastAt,
  previousAt,
  longestGapMs,
}: RunningChecks): number {
  return lastAt - previousAt > longestGapMs ? previousAt : lastAt;
}
