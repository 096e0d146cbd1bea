/**
 * Tells how a target marks the end of a response. A response without a length
 * ends with its connection, and an orderly close looks the same whether the
 * response is whole or was broken off.
 */
import type {ResponseHead} from './exchange.js';

/** Status codes of responses that have no body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
/** A transfer coding marks the end of a body only if chunked is the last one. */
const ENDS_CHUNKED = /(?:^|,)\s*chunked\s*$/i;

/**
 * @param head - Status and headers of a response.
 * @returns Whether only the end of the connection marks the end of the body, so
 *     that a body that was received to its end may be truncated.
 */
export function endsWithConnection({status, headers}: ResponseHead): boolean {
  if (BODILESS_STATUSES.has(status)) return false;
  return (
    headers['content-length'] === undefined &&
    !ENDS_CHUNKED.test(headers['transfer-encoding'] ?? '')
  );
}
