/** When a request ends at the latest. */
import type {Route} from '../version/routing_table.js';

/**
 * @param route - The route of the request.
 * @param requestedMs - How long its caller waits, in milliseconds; undefined if
 *     the caller doesn't say.
 * @param startedAt - When its head arrived, in monotonic milliseconds.
 * @returns When it is given up, in monotonic milliseconds.
 */
export function requestDeadline(
  {timeoutMs}: Pick<Route, 'timeoutMs'>,
  requestedMs: number | undefined,
  startedAt: number,
): number {
  return startedAt + Math.min(requestedMs ?? timeoutMs, timeoutMs);
}
