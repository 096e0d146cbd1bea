/** The requests of callers that are in progress. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock, Counters, EventLog, PlannedStop} from '@oathead/core';
import type {ConnectionUse} from '../connection/caller_connections.js';
import {refuse} from '../request/host_refusal.js';
import {OUTLASTS_STOP, type OnlineRequest} from '../request/online_request.js';
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
  readonly connection: ConnectionUse;
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
   * @param connection - Whether its connection had carried a request before.
   * @returns The request, which is open until its response closes.
   */
  begin(
    req: IncomingMessage,
    res: ServerResponse,
    connection: ConnectionUse,
  ): OpenRequest {
    const open: OpenRequest = {
      req,
      res,
      arrivedAt: this.context.clock.now(),
      connection,
      sentBefore: req.socket.bytesWritten,
      work: {kind: 'unread'},
    };
    this.requests.add(open);
    res.on('close', () => this.requests.delete(open));
    return open;
  }

  /**
   * Has the callers of all requests whose response has not begun close their
   * connections after it.
   */
  closeAfterResponse(): void {
    for (const {res} of this.requests)
      if (!res.headersSent) res.setHeader('connection', 'close');
  }

  /**
   * Ends each request in progress, because the process ends: with an answer if
   * none has begun.
   *
   * @returns Number of these requests.
   */
  endAll(): number {
    const requests = [...this.requests];
    for (const open of requests) {
      this.reportCut(open);
      this.end(open);
    }
    return requests.length;
  }

  private end({req, res, work}: OpenRequest): void {
    if (work.kind === 'online') {
      work.request.stop();
      return;
    }
    if (res.headersSent) return;
    if (work.kind === 'unread') {
      const status = STATUS_UNAVAILABLE;
      refuse(this.context, {req, res}, {status, reason: OUTLASTS_STOP});
      return;
    }
    res.writeHead(STATUS_GATEWAY_TIMEOUT, {'content-length': 0}).end();
  }

  private reportCut(open: OpenRequest): void {
    const {clock, log, counters, protocol} = this.context;
    const {req, res, arrivedAt, connection, sentBefore, work} = open;
    const stop = this.context.plannedStop();
    const {writableLength, bytesWritten} = req.socket;
    counters.count('requests_cut_by_stop', {connection});
    log.event('request-cut', {
      request: protocol.readRequest(req.headers).requestId,
      path: req.url,
      host: req.headers.host,
      connection,
      arrivedAfterStopMs: stop && Math.round(arrivedAt - stop.startedAt),
      openMs: Math.round(clock.now() - arrivedAt),
      isRead: req.complete,
      work: work.kind,
      target: work.kind === 'online' ? work.request.targetId : undefined,
      hasEnded: res.writableEnded,
      sentBytes: bytesWritten - writableLength - sentBefore,
      unsentBytes: writableLength,
    });
  }
}
