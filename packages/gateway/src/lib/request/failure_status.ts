/** What callers are told that get no target's answer. */

const STATUS_UNAUTHORIZED = 401;
const STATUS_BAD_GATEWAY = 502;
/** Says that the request has not run, and never will. */
export const STATUS_UNAVAILABLE = 503;
const STATUS_GATEWAY_TIMEOUT = 504;

/** Where that is not 503, by reason. */
const NOT_RUN_STATUS: Readonly<Record<string, number>> = {
  'no-key': STATUS_UNAUTHORIZED,
  'unknown-key': STATUS_UNAUTHORIZED,
};

/**
 * @param reason - Why there is no answer.
 * @param runs - How many targets may have run the request.
 * @returns The status; it says "not run" only where no target may have run it.
 */
export function failureStatus(reason: string, runs: number): number {
  if (reason === 'timeout') return STATUS_GATEWAY_TIMEOUT;
  if (runs > 0) return STATUS_BAD_GATEWAY;
  return NOT_RUN_STATUS[reason] ?? STATUS_UNAVAILABLE;
}
