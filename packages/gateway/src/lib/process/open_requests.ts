/** The requests of callers that are in progress. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock, Counters, EventLog, PlannedStop} from '@oathead/core';
import type {ConnectionUse} from '../connection/caller_connections.js';
import type {OnlineRequest} from '../request/online_request.js';
import type {TargetProtocol} from '../request/target_protocol.js';

/** A request in progress, as its connection has it. */
export interface OpenRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** When its head arrived, in monotonic milliseconds. */
  readonly arrivedAt: number;
  readonly connection: ConnectionUse;
  /** Bytes that its connection had sent before it. */
  readonly sentBefore: number;
  /** Undefined until its body has arrived, and for requests of other kinds. */
  online?: OnlineRequest;
}

/** Dependencies of {@link OpenRequests}. */
export interface OpenRequestsContext {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly counters: Counters;
  readonly protocol: Pick<TargetProtocol, 'readRequest'>;
  /** @returns The planned stop in progress; undefined if there is none. */
  readonly plannedStop: () => PlannedStop | undefined;
}

/** Keeps the requests in progress, and reports those that a stop cuts off. */
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

  /** Logs and counts each request in progress, which is about to be cut off. */
  reportCut(): void {
    for (const open of this.requests) this.report(open);
  }

  private report(open: OpenRequest): void {
    const {clock, log, counters, protocol} = this.context;
    const {req, res, arrivedAt, connection, sentBefore, online} = open;
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
      target: online?.targetId,
      hasEnded: res.writableEnded,
      sentBytes: bytesWritten - writableLength - sentBefore,
      unsentBytes: writableLength,
    });
  }
}
