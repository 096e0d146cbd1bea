/**
 * HTTP client for the platform, with a pool of keep-alive connections and a
 * timeout for each call. Errors are returned, not thrown.
 */
import {failure, success, type Clock, type Outcome} from '@oathead/core';
import {Pool, type Dispatcher} from 'undici';
import type {StoreError} from '../process/table_store.js';

/** Options of a {@link StoreConnection}. */
export interface StoreConnectionOptions {
  /** Base URLs of the platform. After a failed call the next one is used. */
  readonly baseUrls: readonly string[];
  /** Timeout of a whole call, in milliseconds. */
  readonly timeoutMs: number;
  /** Maximum number of open connections to one base URL. */
  readonly connections: number;
  /** Keep-alive timeout of an idle connection, in milliseconds. */
  readonly keepAliveMs: number;
}

/** Defaults of {@link StoreConnectionOptions}, except for the base URLs. */
export const DEFAULT_STORE_CONNECTION = {
  timeoutMs: 2000,
  connections: 16,
  keepAliveMs: 30_000,
} as const;

/** An HTTP request to the platform. */
export interface StoreRequest {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly body?: string | Uint8Array;
  /**
   * Whether the request writes, so that a lost response leaves its effect
   * unknown.
   */
  readonly writes: boolean;
}

/** An HTTP response of any status. */
export interface StoreResponse {
  readonly status: number;
  readonly body: Uint8Array;
}

/** Codes of errors that occur before any byte of a request is sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const CLOSED_ERROR: StoreError = {
  kind: 'unavailable',
  applied: 'no',
  message: 'the connection to the platform was closed here',
};

/** A connection pool that is replaced after a failed call. */
export class StoreConnection implements AsyncDisposable {
  private pool: Pool;
  private urlIndex = 0;
  private disposed = false;

  /**
   * @param clock - Clock for timeouts.
   * @param options - Base URLs, timeouts and pool size.
   */
  constructor(
    private readonly clock: Clock,
    private readonly options: StoreConnectionOptions,
  ) {
    this.pool = this.createPool();
  }

  /**
   * Sends a request. Does not retry it.
   *
   * @param req - The request.
   * @returns The response, whatever its status, or an `unavailable` error if
   *     the call failed or timed out.
   */
  async call(req: StoreRequest): Promise<Outcome<StoreResponse, StoreError>> {
    if (this.disposed) return failure(CLOSED_ERROR);
    const pool = this.pool;
    const abort = new AbortController();
    const timer = this.clock.after(this.options.timeoutMs, () => abort.abort());
    try {
      return success(await send(pool, req, abort.signal));
    } catch (err) {
      this.replacePool(pool);
      return failure(toStoreError(err, req));
    } finally {
      timer[Symbol.dispose]();
    }
  }

  /** Waits for calls in flight, then closes the connections. */
  async [Symbol.asyncDispose](): Promise<void> {
    if (this.disposed) return;
    this.disposed = true;
    await this.pool.close();
  }

  /**
   * Replaces the pool after a failed call and moves to the next base URL.
   *
   * A middlebox that has dropped the state of a connection leaves it
   * unresponsive for good, which shows as a timeout. The other connections of
   * the pool are as old and may be affected as well, so all of them are
   * replaced. Calls in flight on the old pool still run to completion.
   */
  private replacePool(failed: Pool): void {
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
      // Disabled: the timeout of the whole call is shorter than the defaults.
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
