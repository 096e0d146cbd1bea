/**
 * Connections to one service of the platform over HTTP: pooled and kept alive,
 * with a timeout for each call and errors as values.
 */
import {failure, success, type Clock, type Outcome} from '@oathead/core';
import {Pool, type Dispatcher} from 'undici';
import type {StoreError} from '../process/table_store.js';

/** How the platform is reached. */
export interface StoreConnectionOptions {
  /** Where it listens; the next one is tried after a failure. */
  readonly baseUrls: readonly string[];
  /** Time for a whole call, in milliseconds. */
  readonly timeoutMs: number;
  /** Open connections to one base URL at the most. */
  readonly connections: number;
  /** How long an idle connection is kept, in milliseconds. */
  readonly keepAliveMs: number;
}

/** Defaults of {@link StoreConnectionOptions}, apart from where to connect. */
export const DEFAULT_STORE_CONNECTION = {
  timeoutMs: 2000,
  connections: 16,
  keepAliveMs: 30_000,
} as const;

/** One call. */
export interface StoreRequest {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly body?: string | Uint8Array;
  /** Whether a lost answer leaves open what was written. */
  readonly writes: boolean;
}

/** What came back, whatever its status. */
export interface StoreResponse {
  readonly status: number;
  readonly body: Uint8Array;
}

/** Errors that come before any byte of a request is sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const CLOSED: StoreError = {
  kind: 'unavailable',
  applied: 'no',
  message: 'the connection to the platform was closed here',
};

/** A pool of connections that replaces itself when one goes silent. */
export class StoreConnection implements AsyncDisposable {
  private pool: Pool;
  private urlIndex = 0;
  private disposed = false;

  /**
   * @param clock - Time for timeouts.
   * @param options - Where and how to connect.
   */
  constructor(
    private readonly clock: Clock,
    private readonly options: StoreConnectionOptions,
  ) {
    this.pool = this.createPool();
  }

  /**
   * @param req - What to ask.
   * @returns What came back, or why nothing did.
   */
  async call(req: StoreRequest): Promise<Outcome<StoreResponse, StoreError>> {
    if (this.disposed) return failure(CLOSED);
    const pool = this.pool;
    const abort = new AbortController();
    const timer = this.clock.after(this.options.timeoutMs, () => abort.abort());
    try {
      return success(await send(pool, req, abort.signal));
    } catch (err) {
      this.replace(pool);
      return failure(toStoreError(err, req));
    } finally {
      timer[Symbol.dispose]();
    }
  }

  /** Waits for calls under way, then closes the connections. */
  async [Symbol.asyncDispose](): Promise<void> {
    if (this.disposed) return;
    this.disposed = true;
    await this.pool.close();
  }

  /**
   * Guards against connections that have gone silent for good because
   * something between the two ends has lost track of them. It shows as a
   * timeout. The others of the pool are as old and may be as silent, so all of
   * them are given up at once; calls under way on them still run to their end.
   */
  private replace(failed: Pool): void {
    if (failed !== this.pool || this.disposed) return;
    this.urlIndex++;
    this.pool = this.createPool();
    void failed.close();
  }

  private createPool(): Pool {
    const {baseUrls, connections, keepAliveMs, timeoutMs} = this.options;
    const origin = baseUrls[this.urlIndex % baseUrls.length]!;
    return new Pool(origin, {
      connections,
      keepAliveTimeout: keepAliveMs,
      connect: {timeout: timeoutMs},
      // The timeout of the whole call is shorter than these would be.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }
}

async function send(
  pool: Pool,
  req: StoreRequest,
  signal: AbortSignal,
): Promise<StoreResponse> {
  const {method, path, body} = req;
  const options: Dispatcher.RequestOptions = {method, path, signal};
  if (body !== undefined) options.body = body as string | Buffer;
  if (typeof body === 'string')
    options.headers = {'content-type': 'application/json'};
  const res = await pool.request(options);
  return {status: res.statusCode, body: await res.body.bytes()};
}

function toStoreError(err: unknown, req: StoreRequest): StoreError {
  const {code, message} = err as {code?: string; message?: string};
  const sent = !NOT_SENT_CODES.has(code ?? '');
  return {
    kind: 'unavailable',
    applied: req.writes && sent ? 'unknown' : 'no',
    message: `${req.method} ${req.path}: ${message ?? String(err)}`,
  };
}
