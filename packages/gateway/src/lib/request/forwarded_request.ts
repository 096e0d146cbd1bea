/** Builds the request that is sent to a target for a request of a caller. */
import type {Target} from '../connection/target.js';
import type {AdmittedRequest} from './admitted_request.js';
import type {TargetRequest} from './exchange.js';
import type {ResponseWriter} from './response_writer.js';
import type {
  Headers,
  RequestMetadata,
  SenderAccount,
  TargetProtocol,
} from './target_protocol.js';

/** State of a request when it is sent. */
export interface ForwardState {
  readonly metadata: RequestMetadata;
  /** Headers of the caller, with those of the trace. */
  readonly headers: Headers;
  /** Time left until the caller's deadline, in milliseconds. */
  readonly leftMs: number;
  readonly account: SenderAccount | undefined;
  /** Knows the last event that the caller received. */
  readonly writer: Pick<ResponseWriter, 'lastEventId' | 'nextEventId'>;
}

/**
 * @param protocol - Header protocol of the targets.
 * @param admitted - The request of the caller.
 * @param target - Where it is sent.
 * @param state - State of the request.
 * @returns The request for the target.
 */
export function forwardedRequest(
  protocol: Pick<TargetProtocol, 'requestHeaders'>,
  {req, body}: Pick<AdmittedRequest, 'req' | 'body'>,
  {serverId}: Pick<Target, 'serverId'>,
  {metadata, headers, leftMs, account, writer}: ForwardState,
): TargetRequest {
  const {requestId} = metadata;
  return {
    requestId,
    method: req.method ?? 'GET',
    path: req.url ?? '/',
    headers: protocol.requestHeaders(headers, {
      requestId,
      serverId,
      deadlineMs: Math.max(1, Math.floor(leftMs)),
      lastEventId: writer.lastEventId,
      account,
    }),
    body,
    firstEventId: writer.nextEventId,
  };
}
