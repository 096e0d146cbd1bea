/** A small HTTP server with a table of routes, for the stand-ins. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {buffer} from 'node:stream/consumers';
import {z} from 'zod';

/** A request with its body. */
export interface StandInRequest {
  readonly method: string;
  readonly url: URL;
  /** The last segment of the path, where the route ends with `*`. */
  readonly key: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: Uint8Array;
}

/** Answers a request; the route may stream, or leave it unanswered. */
export type RouteHandler = (
  req: StandInRequest,
  res: ServerResponse,
) => void | Promise<void>;

/** Handlers by method and path, as in `GET /v1/objects/*`. */
export type Routes = Readonly<Record<string, RouteHandler>>;

const STATUS_NO_CONTENT = 204;
const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const LOOPBACK = '127.0.0.1';

/** A server on the loopback interface. */
export class StandInServer implements AsyncDisposable {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  /**
   * @param routes - What is answered, and how.
   * @param fallback - Answers everything else.
   */
  constructor(
    private readonly routes: Routes,
    private readonly fallback: RouteHandler = sendNotFound,
  ) {
    this.server = createServer((req, res) => void this.answer(req, res));
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  /**
   * @param port - Where to listen; 0 for any free port.
   * @returns The port.
   */
  async listen(port = 0): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, LOOPBACK, resolve);
    });
    return this.port;
  }

  /** Where it listens. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Where it listens, as a URL without a trailing slash. */
  get url(): string {
    return `http://${LOOPBACK}:${this.port}`;
  }

  /**
   * Makes all present connections silent for good: nothing more goes either
   * way, and neither end is told. New connections work.
   */
  silenceConnections(): void {
    for (const socket of this.sockets) {
      socket.pause();
      // Never uncorked: what is written from now on stays in memory.
      socket.cork();
    }
  }

  /**
   * Answers, and then makes all present connections silent.
   *
   * @param res - The answer to the request that asked for it.
   */
  silenceAfter(res: ServerResponse): void {
    res.once('close', () => this.silenceConnections());
    res.writeHead(STATUS_NO_CONTENT, {connection: 'close'}).end();
  }

  /** Breaks all present connections. */
  breakConnections(): void {
    for (const socket of this.sockets) socket.destroy();
  }

  /** Breaks all connections and stops. */
  async [Symbol.asyncDispose](): Promise<void> {
    // Closing a server that is closed calls back with an error: no matter.
    const closed = new Promise(resolve => this.server.close(resolve));
    this.breakConnections();
    await closed;
  }

  private async answer(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://stand-in');
    const slash = url.pathname.lastIndexOf('/');
    const wild = `${req.method} ${url.pathname.slice(0, slash)}/*`;
    const exact = this.routes[`${req.method} ${url.pathname}`];
    const route = exact ?? this.routes[wild] ?? this.fallback;
    try {
      const {method = 'GET', headers} = req;
      const key = decodeURIComponent(url.pathname.slice(slash + 1));
      const body = await buffer(req);
      await route({method, url, key, headers, body}, res);
    } catch (err) {
      fail(res, err);
    }
  }
}

/**
 * @param res - The answer.
 * @param status - Its status.
 * @param body - Its body, sent as JSON.
 */
export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
): void {
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(body));
}

/**
 * @param req - A request with a JSON body.
 * @param schema - What the body must be.
 * @returns The checked body.
 * @throws z.ZodError, answered as a bad request.
 */
export function readJson<T>(req: StandInRequest, schema: z.ZodType<T>): T {
  const text = new TextDecoder().decode(req.body);
  const json = z.string().transform(parse).pipe(schema);
  return json.parse(text);
}

const sendNotFound: RouteHandler = (req, res) => {
  const message = `no route for ${req.method} ${req.url.pathname}`;
  sendJson(res, STATUS_NOT_FOUND, {kind: 'failed', message});
};

function parse(text: string, context: z.RefinementCtx): unknown {
  try {
    return JSON.parse(text);
  } catch {
    context.addIssue('not JSON');
    return z.NEVER;
  }
}

function fail(res: ServerResponse, err: unknown): void {
  if (!(err instanceof z.ZodError) || res.headersSent) {
    res.destroy();
    return;
  }
  const message = z.prettifyError(err);
  sendJson(res, STATUS_BAD_REQUEST, {kind: 'failed', message});
}
