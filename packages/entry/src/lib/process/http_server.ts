/** The HTTP side of the API: limits, bodies and streams over Node's `http`. */
import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';
import {finished} from 'node:stream';
import {failure, mayHaveRun, notRun, success} from '@oathead/core';
import type {Clock, Counters, Outcome, Refusal} from '@oathead/core';
import {refusalResponse} from '../request/api.js';
import type {ApiRequest, ApiResponse} from '../request/api.js';
import type {Router} from '../request/router.js';
import {CUT} from './entry_stop.js';
import type {EntryStop} from './entry_stop.js';

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
  readonly clock: Clock;
  /** The stop of the process, from its begin on. */
  readonly stop: EntryStop;
}

/** Time for handlers to answer by themselves when a stop ends, in ms. */
const LAST_ANSWER_MS = 50;

/**
 * @param options - What the server needs.
 * @returns The listener for a server's requests.
 */
export function apiListener(options: HttpServerOptions): RequestListener {
  let running = 0;
  return (req, res) => {
    running++;
    heedStop(req, res, options);
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
  const late = options.stop.refusal(
    options.router.latestEnd(
      req.method ?? 'GET',
      url.pathname,
      plainHeaders(req),
    ),
  );
  if (late) return sendUnread(req, res, refusalResponse(late));
  const limit =
    options.router.maxBodyBytes(req.method ?? 'GET', url.pathname) ??
    options.limits.maxBodyBytes;
  const body = await readBody(req, limit);
  if (!body.ok) return send(res, refusalResponse(body.err), true);
  return send(
    res,
    await options.router.handle(
      apiRequest(req, res, url, body.value, options.stop),
    ),
  );
}

/**
 * Answers in a stop tell their callers to close. What has no answer when it ends
 * gets one, or is seen to be broken off.
 */
function heedStop(
  req: IncomingMessage,
  res: ServerResponse,
  {stop, clock}: HttpServerOptions,
): void {
  const end = () => {
    if (res.writableEnded || res.destroyed) return;
    stop.countCut(`${req.method} ${req.url}`);
    if (res.headersSent) res.destroy();
    else void send(res, refusalResponse(req.complete ? CUT : NOT_WHOLE), true);
  };
  const {begun, over} = stop;
  const closeAfter = () => (res.shouldKeepAlive = false);
  const onOver = () => void clock.after(LAST_ANSWER_MS, end);
  if (begun.aborted) closeAfter();
  else begun.addEventListener('abort', closeAfter, {once: true});
  if (over.aborted) onOver();
  else over.addEventListener('abort', onOver, {once: true});
  res.once('close', () => {
    begun.removeEventListener('abort', closeAfter);
    over.removeEventListener('abort', onOver);
  });
}

function apiRequest(
  req: IncomingMessage,
  res: ServerResponse,
  url: URL,
  body: string,
  {begun}: EntryStop,
): ApiRequest {
  const gone = new AbortController();
  const leave = () => gone.abort();
  // A watch has no end of its own; whoever watches goes on at another entry.
  const watches = req.method === 'GET' && url.searchParams.has('watch');
  if (watches) begun.addEventListener('abort', leave, {once: true});
  res.once('close', () => {
    begun.removeEventListener('abort', leave);
    if (!res.writableFinished) leave();
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

/**
 * Answers a request whose body is not read. The connection is closed after the
 * body has come: closed with unread data it is reset, and the answer with it.
 */
function sendUnread(
  req: IncomingMessage,
  res: ServerResponse,
  {status, headers, body}: ApiResponse,
): void {
  res.writeHead(status, {
    ...headers,
    connection: 'close',
    'content-length': Buffer.byteLength(body as string),
  });
  res.write(body);
  finished(req, () => res.end());
  req.resume();
}

async function send(
  res: ServerResponse,
  answer: ApiResponse,
  close = false,
): Promise<void> {
  // A stop that ended before this answer has answered in its place.
  if (res.headersSent) return;
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

const NOT_WHOLE = notRun('leaving', 'this entry stopped before it was whole');
const TOO_MANY = notRun('overloaded', 'too many requests in progress', 1000);
