/** The server that callers connect to. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {EventLog} from '@oathead/core';
import {OnlineRequest, type OnlineContext} from '../request/online_request.js';
import {readBody} from '../request/read_body.js';
import type {RouteMatcher} from '../version/route_matcher.js';
import type {RoutingState} from '../version/routing_state.js';
import type {CallerBounds, Route} from '../version/routing_table.js';

/** A request with what the configuration says of it. */
export interface RoutedRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly matcher: RouteMatcher;
  readonly route: Route | undefined;
}

/** Takes requests that are not online ones; the batch interface. */
export interface BatchFront {
  /** @returns Whether the request is one of the batch interface. */
  accepts(request: RoutedRequest): boolean;
  /**
   * Answers such a request; never rejects.
   *
   * @param request - The request.
   * @param body - Its body, whole.
   */
  handle(request: RoutedRequest, body: Buffer): Promise<void>;
}

/** What a {@link FrontServer} needs. */
export interface FrontContext {
  readonly online: OnlineContext;
  readonly routing: RoutingState;
  readonly batch: BatchFront;
  readonly log: EventLog;
  /** Whether a planned stop is under way. */
  readonly draining: () => boolean;
}

/** How much longer than the callers' bound an unused connection is kept, in
 * milliseconds: a request that is on its way is not met by a close. */
const IDLE_MARGIN_MS = 1000;
/** For a client that never finishes its request, in milliseconds. */
const REQUEST_TIMEOUT_MS = 30_000;
const MAX_HEADER_BYTES = 64 * 1024;
const STATUS_NOT_FOUND = 404;
const STATUS_TOO_LARGE = 413;
const STATUS_UNAVAILABLE = 503;

/** Serves callers until closed. */
export class FrontServer {
  private readonly server: Server;
  private open = 0;

  /** @param context - Routes, targets, and the batch interface. */
  constructor(private readonly context: FrontContext) {
    this.server = createServer(
      {maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: REQUEST_TIMEOUT_MS},
      (req, res) => void this.handle(req, res),
    );
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
      context.online.counters.count('front_client_errors', {
        code: err.code ?? 'unknown',
      });
      socket.destroy();
    });
    context.routing.onAdopted(table => this.bound(table.bounds));
  }

  /** Requests under way. */
  get openRequests(): number {
    return this.open;
  }

  /**
   * @param ip - Where to listen.
   * @param port - Where to listen.
   */
  listen(ip: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip, () => resolve());
    });
  }

  /** Closes connections on which nothing was asked. */
  closeIdle(): void {
    this.server.closeIdleConnections();
  }

  /**
   * Takes no new connections; those that are open stay.
   *
   * Guards against a planned stop that never comes to its end and then cuts what
   * is under way: a balancer that has not seen the readiness goes on bringing
   * connections, and there is always a request open. A connection that is refused
   * has asked nothing, so that its caller can ask elsewhere at once.
   */
  stopListening(): void {
    if (this.server.listening) this.server.close();
  }

  /** Closes everything. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private bound(bounds: CallerBounds): void {
    this.server.keepAliveTimeout = bounds.idleTimeoutMs + IDLE_MARGIN_MS;
    this.server.headersTimeout = bounds.headerTimeoutMs + IDLE_MARGIN_MS;
  }

  private async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    this.open++;
    res.on('close', () => this.open--);
    // A connection that is told so opens no further request on this host.
    if (this.context.draining()) res.setHeader('connection', 'close');
    const matcher = this.context.routing.current;
    if (!matcher) return this.refuse(req, res, STATUS_UNAVAILABLE, 'no config');
    const route = matcher.match(req.headers.host, req.url ?? '/');
    const routed: RoutedRequest = {req, res, matcher, route};
    if (this.context.batch.accepts(routed))
      return this.handleBatch(routed, matcher);
    if (!route) return this.refuse(req, res, STATUS_NOT_FOUND, 'no route');
    return this.handleOnline(routed, route, matcher);
  }

  private async handleBatch(
    routed: RoutedRequest,
    matcher: RouteMatcher,
  ): Promise<void> {
    const body = await this.bodyOf(routed, matcher);
    if (body) await this.context.batch.handle(routed, body);
  }

  private async handleOnline(
    routed: RoutedRequest,
    route: Route,
    matcher: RouteMatcher,
  ): Promise<void> {
    const startedAt = this.context.online.clock.now();
    const body = await this.bodyOf(routed, matcher);
    if (!body) return;
    const {online} = this.context;
    const {req, res} = routed;
    await new OnlineRequest(online, route, req, res, body, startedAt).serve();
  }

  /** @returns The body; undefined when there is none to go on with. */
  private async bodyOf(
    {req, res}: RoutedRequest,
    matcher: RouteMatcher,
  ): Promise<Buffer | undefined> {
    const {maxBodyBytes} = matcher.table.bounds;
    const body = await readBody(req, maxBodyBytes);
    if (body.ok) return body.value;
    if (body.err === 'too-large')
      this.refuse(req, res, STATUS_TOO_LARGE, body.err);
    return undefined;
  }

  private refuse(
    req: IncomingMessage,
    res: ServerResponse,
    status: number,
    reason: string,
  ): void {
    const {online, log, routing} = this.context;
    const {requestId} = online.protocol.readRequest(req.headers);
    log.event('request-refused', {
      request: requestId,
      path: req.url,
      host: req.headers.host,
      status,
      reason,
      configVersion: routing.current?.table.version,
    });
    res.writeHead(status, {'content-length': 0}).end();
    req.resume();
  }
}
