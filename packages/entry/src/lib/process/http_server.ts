/** The HTTP side of the API: limits, bodies and streams over Node's `http`. */
import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';
import {failure, mayHaveRun, notRun, success} from '@oathead/core';
import type {Counters, Outcome, Refusal} from '@oathead/core';
import {refusalResponse} from '../request/api.js';
import type {ApiRequest, ApiResponse} from '../request/api.js';
import type {Router} from '../request/router.js';

/** Bounds on what one caller can make the server hold. */
export interface HttpLimits {
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  /** Time for a whole request to come in, in milliseconds. */
  readonly requestTimeoutMs: number;
  /** Requests in progress at once; more are refused. */
  readonly maxConcurrent: number;
}

/** Further paths that need no key: health and metrics. */
export type OpenPaths = Readonly<Record<string, () => Promise<ApiResponse>>>;

/** What the server needs. */
export interface HttpServerOptions {
  readonly router: Router;
  readonly limits: HttpLimits;
  readonly open: OpenPaths;
  readonly counters: Counters;
}

/**
 * @param options - What the server needs.
 * @returns The listener for a server's requests.
 */
export function apiListener(options: HttpServerOptions): RequestListener {
  let running = 0;
  return (req, res) => {
    running++;
    void serve(req, res, options, running)
      .catch(err => answerCrash(res, err, options.counters))
      .finally(() => running--);
  };
}

async function serve(
  req: IncomingMessage,
  res: ServerResponse,
  options: HttpServerOptions,
  running: number,
): Promise<void> {
  const url = new URL(req.url ?? '/', 'http://entry');
  const open = options.open[url.pathname];
  if (open) return send(res, await open());
  if (running > options.limits.maxConcurrent) {
    options.counters.count('api_requests_shed');
    return send(res, refusalResponse(TOO_MANY));
  }
  const unknown = options.router.checkKey(req.headers.authorization);
  if (unknown) {
    return send(res, refusalResponse(unknown));
  }
  const limit =
    options.router.maxBodyBytes(req.method ?? 'GET', url.pathname) ??
    options.limits.maxBodyBytes;
  const body = await readBody(req, limit);
  if (!body.ok) return send(res, refusalResponse(body.err), true);
  return send(
    res,
    await options.router.handle(apiRequest(req, res, url, body.value)),
  );
}

function apiRequest(
  req: IncomingMessage,
  res: ServerResponse,
  url: URL,
  body: string,
): ApiRequest {
  const gone = new AbortController();
  res.once('close', () => {
    if (!res.writableFinished) gone.abort();
  });
  return {
    method: req.method ?? 'GET',
    path: url.pathname,
    query: Object.fromEntries(url.searchParams),
    headers: plainHeaders(req),
    body,
    signal: gone.signal,
  };
}

function plainHeaders(req: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(req.headers)) {
    if (value !== undefined) headers[name] = String(value);
  }
  return headers;
}

async function readBody(
  req: IncomingMessage,
  limit: number,
): Promise<Outcome<string, Refusal>> {
  const tooLarge = failure(
    notRun('too-large', `the body is larger than ${limit} bytes`),
  );
  if (Number(req.headers['content-length'] ?? 0) > limit) return tooLarge;
  const parts: Buffer[] = [];
  let bytes = 0;
  for await (const part of req as AsyncIterable<Buffer>) {
    bytes += part.length;
    if (bytes > limit) return tooLarge;
    parts.push(part);
  }
  return success(Buffer.concat(parts).toString('utf8'));
}

async function send(
  res: ServerResponse,
  answer: ApiResponse,
  close = false,
): Promise<void> {
  const headers = close
    ? {...answer.headers, connection: 'close'}
    : answer.headers;
  if (typeof answer.body === 'string') {
    res.writeHead(answer.status, {
      ...headers,
      'content-length': Buffer.byteLength(answer.body),
    });
    res.end(answer.body);
    return;
  }
  res.writeHead(answer.status, headers);
  res.flushHeaders();
  for await (const part of answer.body) {
    if (res.closed) return;
    if (!res.write(part)) await drained(res);
  }
  res.end();
}

/** Waits until a slow reader has caught up, or has gone. */
function drained(res: ServerResponse): Promise<void> {
  return new Promise(resolve => {
    const done = () => {
      res.off('drain', done);
      res.off('close', done);
      resolve();
    };
    res.once('drain', done);
    res.once('close', done);
  });
}

function answerCrash(
  res: ServerResponse,
  err: unknown,
  counters: Counters,
): void {
  counters.count('api_handler_errors');
  if (res.headersSent || res.destroyed) {
    // A stream that broke must not look finished: the connection is cut.
    res.destroy(err as Error);
    return;
  }
  const refusal = mayHaveRun('internal', 'the entry failed');
  void send(res, refusalResponse(refusal));
}

const TOO_MANY = notRun('overloaded', 'too many requests in progress', 1000);
