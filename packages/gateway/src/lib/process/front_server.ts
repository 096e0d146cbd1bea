/** The server that callers connect to. */
import {
  createServer,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {ClientAccount, EventLog} from '@oathead/core';
import {OnlineRequest, type OnlineContext} from '../request/online_request.js';
import type {AdmissionRefusal} from './caller_admission.js';
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
  /** Whose request it is; undefined where none is needed. */
  readonly account: ClientAccount | undefined;
}

/** Takes requests that are not online ones; the batch interface. */
export interface BatchFront {
  /** @returns Whether the request is one of the batch interface. */
  accepts(request: Omit<RoutedRequest, 'account'>): boolean;
  /**
   * Answers such a request; never rejects.
   *
   * @param request - The request.
   * @param body - Its body, whole.
   */
  handle(request: RoutedRequest, body: Buffer): Promise<void>;
}

/** An answer of the host's own, to a request that has not run. */
interface Refusal {
  readonly status: number;
  readonly reason: string;
  /** When to come back, in milliseconds. */
  readonly returnAfterMs?: number;
  readonly account?: string;
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
/** When to ask again, elsewhere, after a host that has not heard from the store for
 * too long, in milliseconds: at once. */
const STALE_RETURN_MS = 50;
const STATUS_UNAUTHORIZED = 401;
const STATUS_NOT_FOUND = 404;
const STATUS_TOO_LARGE = 413;
const STATUS_OVER_QUOTA = 429;
const STATUS_UNAVAILABLE = 503;

const NO_CONFIG: Refusal = {status: STATUS_UNAVAILABLE, reason: 'no config'};
const NO_ROUTE: Refusal = {status: STATUS_NOT_FOUND, reason: 'no route'};

/** A request and where its answer goes. */
type Call = Pick<RoutedRequest, 'req' | 'res'>;

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
    if (!matcher) return this.refuse({req, res}, NO_CONFIG);
    const route = matcher.match(req.headers.host, req.url ?? '/');
    const found = {req, res, matcher, route};
    const isBatch = this.context.batch.accepts(found);
    if (!isBatch && !route) return this.refuse({req, res}, NO_ROUTE);
    const {admission, protocol} = this.context.online;
    const {key} = protocol.readRequest(req.headers);
    const admitted = admission.admit(key, route);
    if (admitted.kind === 'refused')
      return this.turnAway(found, admitted.reason);
    const routed: RoutedRequest = {...found, account: admitted.account};
    if (isBatch || !route) return this.handleBatch(routed, matcher);
    return this.handleOnline(routed, route, matcher);
  }

  /** A host that can't say whose key it is sends the caller to another one. */
  private turnAway(call: Call, reason: AdmissionRefusal): void {
    if (reason !== 'stale')
      return this.refuse(call, {status: STATUS_UNAUTHORIZED, reason});
    call.res.setHeader('connection', 'close');
    const returnAfterMs = STALE_RETURN_MS;
    this.refuse(call, {status: STATUS_UNAVAILABLE, reason, returnAfterMs});
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
    const {req, res, account} = routed;
    const quota = await online.admission.takeQuota(account);
    if (quota.kind === 'over')
      return this.refuse(routed, {
        status: STATUS_OVER_QUOTA,
        reason: 'over-quota',
        returnAfterMs: quota.waitMs,
        account: account?.name,
      });
    const admitted = {req, res, route, body, startedAt, account};
    await new OnlineRequest(online, admitted).serve();
  }

  /** @returns The body; undefined when there is none to go on with. */
  private async bodyOf(
    call: Call,
    matcher: RouteMatcher,
  ): Promise<Buffer | undefined> {
    const {maxBodyBytes} = matcher.table.bounds;
    const body = await readBody(call.req, maxBodyBytes);
    if (body.ok) return body.value;
    if (body.err === 'too-large')
      this.refuse(call, {status: STATUS_TOO_LARGE, reason: body.err});
    return undefined;
  }

  private refuse(
    {req, res}: Call,
    {status, reason, returnAfterMs, account}: Refusal,
  ): void {
    const {online, log} = this.context;
    const {requestId} = online.protocol.readRequest(req.headers);
    log.event('request-refused', {
      request: requestId,
      path: req.url,
      host: req.headers.host,
      status,
      reason,
      account,
      returnAfterMs,
      ...online.admission.view,
    });
    const retry =
      returnAfterMs === undefined
        ? {}
        : online.protocol.retryAfter(returnAfterMs);
    const headers = {...retry, 'content-length': 0} as OutgoingHttpHeaders;
    res.writeHead(status, headers).end();
    req.resume();
  }
}
