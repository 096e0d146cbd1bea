/** What a quota owner has to know of a request. */
import {hash32, type Clock, type QuotaDemand} from '@oathead/core';
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
  request: Pick<
    AdmittedRequest,
    'req' | 'route' | 'startedAt' | 'returning' | 'fingerprint'
  >,
  context: {readonly clock: Clock; readonly protocol: TargetProtocol},
): QuotaDemand {
  const {req, route, startedAt, returning} = request;
  const key = quotaKey(request.fingerprint);
  const {clock, protocol} = context;
  const {deadlineMs} = protocol.readRequest(req.headers);
  if (deadlineMs === undefined) return {returning, key};
  const spentMs = clock.now() - startedAt;
  const leftMs = Math.min(deadlineMs, route.timeoutMs) - spentMs;
  return {
    returning,
    key,
    maxWaitMs: protocol.maxRetryAfterMs(Math.max(0, leftMs)),
  };
}

/**
 * @param fingerprint - Fingerprint of a request.
 * @returns What tells it apart from others of its account.
 */
export function quotaKey(fingerprint: string): number {
  return hash32(fingerprint);
}
