/** Responses of the host itself to requests that have not run. */
import type {
  IncomingMessage,
  OutgoingHttpHeaders,
  ServerResponse,
} from 'node:http';
import type {Clock, EventFields, EventLog} from '@oathead/core';
import type {TargetProtocol} from './target_protocol.js';

/** A request and its response. */
export interface Call {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
}

/** An error response from the host itself, to a request that has not run. */
export interface Refusal {
  readonly status: number;
  readonly reason: string;
  /** Delay after which the caller should retry, in milliseconds. */
  readonly returnAfterMs?: number;
  /** What else the log says of it. */
  readonly fields?: EventFields;
}

/** Dependencies of {@link refuse}. */
export interface RefusalContext {
  readonly clock: Pick<Clock, 'after'>;
  readonly log: EventLog;
  readonly protocol: Pick<TargetProtocol, 'readRequest' | 'retryAfter'>;
}

/**
 * Time for which the rest of a body is read before the connection is closed, in
 * milliseconds.
 */
const BODY_WAIT_MS = 1000;
/**
 * Time for which the body of a refused request is read to keep its connection, in
 * milliseconds.
 */
const DISCARDED_BODY_MS = 5000;

/**
 * Sends the refusal at once and logs it.
 *
 * @param context - Log and wire format.
 * @param call - The request.
 * @param refusal - The response.
 */
export function refuse(
  context: RefusalContext,
  call: Call,
  {status, reason, returnAfterMs, fields}: Refusal,
): void {
  const {log, protocol} = context;
  const {req, res} = call;
  // It has been answered already, at the end of a planned stop.
  if (res.headersSent) return;
  log.event('request-refused', {
    request: protocol.readRequest(req.headers).requestId,
    path: req.url,
    host: req.headers.host,
    status,
    reason,
    returnAfterMs,
    ...fields,
  });
  const retry =
    returnAfterMs === undefined ? {} : protocol.retryAfter(returnAfterMs);
  const headers = {...retry, 'content-length': 0} as OutgoingHttpHeaders;
  res.writeHead(status, headers);
  endRefused(context, call);
}

/**
 * Guards against a refusal that its caller does not get: closing a connection
 * on which a body is still arriving resets it, with what has been sent. Guards
 * also against a body without end, which is read for nothing.
 */
function endRefused({clock}: RefusalContext, {req, res}: Call): void {
  const isLast = res.getHeader('connection') === 'close';
  req.resume();
  // Without a body the response is whole once its head has been sent.
  if (req.complete || !isLast) res.end();
  else res.flushHeaders();
  if (req.complete) return;
  const timer = isLast
    ? clock.after(BODY_WAIT_MS, () => res.end())
    : clock.after(DISCARDED_BODY_MS, () => req.socket.destroy());
  const end = () => {
    timer[Symbol.dispose]();
    res.end();
  };
  req.once('end', end);
  req.once('close', end);
}
