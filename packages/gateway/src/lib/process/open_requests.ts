/** The requests of callers that are in progress. */
import type {
  IncomingMessage,
  OutgoingHttpHeaders,
  ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {
  Clock,
  Counters,
  EventFields,
  EventLog,
  PlannedStop,
} from '@oathead/core';
import type {ConnectionUse} from '../connection/caller_connections.js';
import type {OnlineRequest} from '../request/online_request.js';
import {STOPPING_RETRY_DELAY_MS} from '../request/stop_refusal.js';
import type {TargetProtocol} from '../request/target_protocol.js';

/** How far a request has come. */
export type RequestWork =
  /** Its body is still arriving, or it is not admitted yet. */
  | {readonly kind: 'unread'}
  | {readonly kind: 'online'; readonly request: OnlineRequest}
  /** A call of the batch API. */
  | {readonly kind: 'job-call'};

/** A request in progress, as its connection has it. */
export interface OpenRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** When its head arrived, in monotonic milliseconds. */
  readonly arrivedAt: number;
  readonly connectionUse: ConnectionUse;
  /** Bytes that its connection had sent before it. */
  readonly sentBefore: number;
  work: RequestWork;
}

/** Dependencies of {@link OpenRequests}. */
export interface OpenRequestsContext {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly counters: Counters;
  readonly protocol: Pick<TargetProtocol, 'readRequest' | 'retryAfter'>;
  /** @returns The planned stop in progress; undefined if there is none. */
  readonly plannedStop: () => PlannedStop | undefined;
}

/** Requests with a line of their own at the end of a stop. */
const MAX_LINES = 100;
const STATUS_UNAVAILABLE = 503;
const STATUS_GATEWAY_TIMEOUT = 504;

/** Keeps the requests in progress, and ends those that outlast a stop. */
export class OpenRequests {
  private readonly requests = new Set<OpenRequest>();

  /** @param context - Clock, log and counters. */
  constructor(private readonly context: OpenRequestsContext) {}

  /** Number of requests whose response has not been sent to its end. */
  get count(): number {
    return this.requests.size;
  }

  /**
   * @param req - A request whose head has arrived.
   * @param res - Its response.
   * @param connectionUse - Whether its connection had carried a request before.
   * @returns The request, which is open until its response or its connection
   *     closes.
   */
  begin(
    req: IncomingMessage,
    res: ServerResponse,
    connectionUse: ConnectionUse,
  ): OpenRequest {
    const open: OpenRequest = {
      req,
      res,
      arrivedAt: this.context.clock.now(),
      connectionUse,
      sentBefore: req.socket.bytesWritten,
      work: {kind: 'unread'},
    };
    this.requests.add(open);
    res.on('close', () => this.requests.delete(open));
    return open;
  }

  /**
   * Guards against requests that are never forgotten: a response that waits
   * behind another one on its connection does not close with it.
   *
   * @param socket - A connection that has closed.
   */
  removeAllOn(socket: Socket): void {
    for (const open of this.requests)
      if (open.req.socket === socket) this.requests.delete(open);
  }

  /**
   * Has the callers of all requests whose response has not begun close their
   * connections after it.
   */
  closeAfterResponses(): void {
    for (const open of this.requests) this.closeAfterResponse(open);
  }

  /**
   * Has a caller close its connection after the response to its latest request.
   * What follows a response that says so is never sent, so no earlier response
   * on the connection may say it.
   *
   * @param latest - The latest request of a connection.
   * @returns Whether it can be answered: no earlier response has said so.
   */
  closeAfterResponse(latest: OpenRequest): boolean {
    const {res} = latest;
    for (const {res: before} of this.earlierOnConnection(latest)) {
      if (before.headersSent && isLastResponse(before)) return false;
      if (!before.headersSent) before.removeHeader('connection');
    }
    if (!res.headersSent) res.setHeader('connection', 'close');
    return true;
  }

  private earlierOnConnection(latest: OpenRequest): readonly OpenRequest[] {
    const all = [...this.requests];
    return all
      .slice(0, all.indexOf(latest))
      .filter(({req}) => req.socket === latest.req.socket);
  }

  /**
   * Ends each request in progress, because the process ends: with an answer if
   * none has begun.
   *
   * @returns Number of these requests.
   */
  endAll(): number {
    const requests = [...this.requests];
    const lines = requests.slice(0, MAX_LINES).map(open => this.lineOf(open));
    for (const open of requests) this.end(open);
    // After the answers: writing a line for each of many takes time.
    const {log, counters} = this.context;
    for (const line of lines) log.event('request-outlasted-stop', line);
    counters.count('requests_outlasted_stop', {}, requests.length);
    return requests.length;
  }

  private end({req, res, work}: OpenRequest): void {
    if (work.kind === 'online') {
      work.request.stop();
      return;
    }
    if (res.headersSent) return;
    const hasNotRun = work.kind === 'unread';
    const status = hasNotRun ? STATUS_UNAVAILABLE : STATUS_GATEWAY_TIMEOUT;
    const {protocol} = this.context;
    const retry = hasNotRun ? protocol.retryAfter(STOPPING_RETRY_DELAY_MS) : {};
    const headers = {...retry, 'content-length': 0} as OutgoingHttpHeaders;
    res.writeHead(status, headers).end();
    req.resume();
  }

  private lineOf(open: OpenRequest): EventFields {
    const {clock, protocol} = this.context;
    const {req, res, arrivedAt, connectionUse, sentBefore, work} = open;
    const stop = this.context.plannedStop();
    const {writableLength, bytesWritten} = req.socket;
    return {
      request: protocol.readRequest(req.headers).requestId,
      path: req.url,
      host: req.headers.host,
      connection: connectionUse,
      arrivedAfterStopMs: stop && Math.round(arrivedAt - stop.startedAt),
      openMs: Math.round(clock.now() - arrivedAt),
      isRead: req.complete,
      work: work.kind,
      target: work.kind === 'online' ? work.request.targetId : undefined,
      hasEnded: res.writableEnded,
      sentBytes: bytesWritten - writableLength - sentBefore,
      unsentBytes: writableLength,
    };
  }
}

function isLastResponse(res: ServerResponse): boolean {
  return res.getHeader('connection') === 'close';
}
