/** HTTP status codes for requests that get no response from a target. */

const STATUS_UNAUTHORIZED = 401;
const STATUS_OVER_QUOTA = 429;
const STATUS_BAD_GATEWAY = 502;
/** The request did not run and will not run. */
export const STATUS_UNAVAILABLE = 503;
const STATUS_GATEWAY_TIMEOUT = 504;

/**
 * Status by reason, where a request that did not run gets another status than
 * 503.
 */
const NOT_RUN_STATUS: Readonly<Record<string, number>> = {
  'no-key': STATUS_UNAUTHORIZED,
  'unknown-key': STATUS_UNAUTHORIZED,
  'over-quota': STATUS_OVER_QUOTA,
};

/**
 * @param reason - Why there is no response.
 * @param runs - Number of targets that may have run the request.
 * @returns The HTTP status. 401, 429 and 503 state that the request did not run,
 *     and are used only if no target may have run it.
 */
export function failureStatus(reason: string, runs: number): number {
  if (reason === 'timeout') return STATUS_GATEWAY_TIMEOUT;
  if (runs > 0) return STATUS_BAD_GATEWAY;
  return NOT_RUN_STATUS[reason] ?? STATUS_UNAVAILABLE;
}
