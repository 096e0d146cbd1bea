/** The HTTP server that callers connect to, and what is open on it. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {Server as NetServer, type AddressInfo} from 'node:net';
import {CallerConnections} from '../connection/caller_connections.js';
import type {CallerBounds} from '../version/routing_table.js';
import {
  OpenRequests,
  type OpenRequest,
  type OpenRequestsContext,
} from './open_requests.js';

/**
 * Margin by which an idle connection is kept open beyond the idle timeout that
 * callers use, in milliseconds, so that a request in transit does not meet a
 * closed connection.
 */
const IDLE_MARGIN_MS = 1000;
/** Timeout for clients that never complete their request, in milliseconds. */
const REQUEST_TIMEOUT_MS = 30_000;
const MAX_HEADER_BYTES = 64 * 1024;

/** Accepts callers until it is closed. */
export class CallerServer {
  private readonly server: Server;
  private readonly connections = new CallerConnections();
  private readonly open: OpenRequests;

  /**
   * @param context - Clock, log, counters and the planned stop.
   * @param onRequest - Called with each request whose head has arrived.
   */
  constructor(
    private readonly context: OpenRequestsContext,
    private readonly onRequest: (open: OpenRequest) => void,
  ) {
    this.open = new OpenRequests(context);
    this.server = createServer(
      {maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: REQUEST_TIMEOUT_MS},
      (req, res) => this.begin(req, res),
    );
    this.server.on('connection', socket => {
      this.connections.add(socket);
      socket.once('close', () => this.open.removeAllOn(socket));
    });
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
      context.counters.count('front_client_errors', {
        code: err.code ?? 'unknown',
      });
      socket.destroy();
    });
  }

  /** Number of requests in progress. */
  get openRequests(): number {
    return this.open.count;
  }

  /**
   * @param ip - IP address to listen on.
   * @param port - Port to listen on; 0 for any free one.
   * @returns The port, once the server listens; rejects if the address is
   *     unavailable.
   */
  listen(ip: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip, () => {
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** @param bounds - Limits on the requests of callers, from now on. */
  applyBounds({idleTimeoutMs, headerTimeoutMs}: CallerBounds): void {
    this.server.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS;
    this.server.headersTimeout = headerTimeoutMs + IDLE_MARGIN_MS;
  }

  /** Closes connections without a request in progress. */
  closeIdle(): void {
    this.connections.closeIdle();
  }

  /**
   * Tells callers to close their connections after the response that is due.
   * Later requests are told so as they arrive.
   */
  beginStop(): void {
    this.open.closeAfterResponses();
  }

  /**
   * Ends the requests in progress, which outlast the planned stop. Those without
   * a response get one.
   *
   * @returns Number of these requests.
   */
  endOpenRequests(): number {
    return this.open.endAll();
  }

  /**
   * Stops accepting connections; open ones stay.
   *
   * A load balancer that has not noticed the changed readiness keeps opening
   * connections. If these were accepted, there would always be a request in
   * progress, and a planned shutdown would run into its time limit and abort
   * requests. A refused connection has carried no request, so its caller can
   * safely retry elsewhere.
   */
  stopListening(): void {
    // The HTTP server's own method would also close connections whose response
    // has ended but is not sent.
    if (this.server.listening) NetServer.prototype.close.call(this.server);
  }

  /** Closes the server and all its connections, with the requests on them. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private begin(req: IncomingMessage, res: ServerResponse): void {
    const {socket} = req;
    const use = this.connections.beginRequest(socket);
    res.on('close', () => this.connections.endRequest(socket));
    const open = this.open.begin(req, res, use);
    const isStopping = this.context.plannedStop() !== undefined;
    // Makes the client send its next request on a new connection, to another
    // host. A request that cannot be answered is not taken.
    if (isStopping && !this.open.closeAfterResponse(open)) return;
    this.onRequest(open);
  }
}
