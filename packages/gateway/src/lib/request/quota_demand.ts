/** What a quota owner has to know of a request. */
import type {Clock, QuotaDemand} from '@oathead/core';
import type {AdmittedRequest} from './admitted_request.js';
import type {TargetProtocol} from './target_protocol.js';

/**
 * A caller that does not state its deadline is not recognized when it returns,
 * so no room is reserved for it.
 *
 * @param request - The request.
 * @param context - The clock, and what callers obey.
 * @returns The demand on the quota of its account.
 */
export function quotaDemand(
  request: Pick<AdmittedRequest, 'req' | 'route' | 'startedAt' | 'returning'>,
  context: {readonly clock: Clock; readonly protocol: TargetProtocol},
): QuotaDemand {
  const {req, route, startedAt, returning} = request;
  const {clock, protocol} = context;
  const {deadlineMs} = protocol.readRequest(req.headers);
  if (deadlineMs === undefined) return {returning};
  const spentMs = clock.now() - startedAt;
  const leftMs = Math.min(deadlineMs, route.timeoutMs) - spentMs;
  return {returning, maxWaitMs: protocol.maxRetryAfterMs(Math.max(0, leftMs))};
}
