/** How a stopping host refuses requests that may outlast it. */
import {admitDuringStop, type PlannedStop} from '@oathead/core';

/** Why a stopping host refuses a request: it may outlast the host. */
export const OUTLASTS_STOP = 'stopping';
/**
 * Delay after which the caller of a stopping host should retry, in milliseconds.
 * It is short because other hosts can serve the request at once.
 */
export const STOPPING_RETRY_DELAY_MS = 50;

/**
 * @param stop - The stop in progress; undefined if there is none.
 * @param deadlineAt - When a request ends at the latest, in monotonic ms.
 * @param now - Current monotonic time, in milliseconds.
 * @returns Why the request must not be sent to a target; undefined if it may be.
 */
export function stopRefusal(
  stop: PlannedStop | undefined,
  deadlineAt: number,
  now: number,
): typeof OUTLASTS_STOP | undefined {
  const verdict = admitDuringStop(stop, deadlineAt, now);
  return verdict.kind === 'refuse' ? OUTLASTS_STOP : undefined;
}
