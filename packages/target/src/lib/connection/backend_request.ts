/** One HTTP request to the engine or plain service beside this process. */
import {EngineError} from '@oathead/core';
import {Client, type Dispatcher} from 'undici';
import {z} from 'zod';

/** What is asked of a backend. */
export interface BackendRequest {
  readonly method: string;
  readonly path: string;
  readonly body?: string | Uint8Array;
  readonly contentType?: string;
  readonly traceparent?: string;
  /** Maximum size of the response, in bytes; a usual one by default. */
  readonly maxBytes?: number;
}

/** Errors that come before any byte of a request is sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);
/**
 * Maximum size of a response that is read as a whole, in bytes: many times the
 * longest answer. Bounds the memory that a backend can take.
 */
const MAX_WHOLE_BYTES = 16 * 1024 * 1024;
/** Maximum size of the body of a failure, in bytes. */
const MAX_FAILURE_BYTES = 1024 * 1024;
const CONNECT_TIMEOUT_MS = 1000;
const FIRST_CLIENT_ERROR_STATUS = 400;

/** Body by which a backend says what became of a request. */
const ERROR_SCHEMA = z.object({
  kind: z.enum(['refused', 'failed']),
  message: z.string(),
});

/**
 * Sends a request on a connection of its own. Guards against two failures of
 * reused connections: one that has gone silent for good, which shows as a
 * request without an answer while new connections work; and one that the other
 * end closes at the moment of writing, which leaves open whether the request
 * was taken. The backend is next door, so a new connection costs little.
 *
 * @param baseUrl - Where the backend listens.
 * @param req - What to ask.
 * @param signal - Aborting breaks the connection off.
 * @param read - Reads the answer; the connection ends with it.
 * @returns What `read` returns.
 * @throws EngineError
 */
export async function* backendRequest<T>(
  baseUrl: string,
  req: BackendRequest,
  signal: AbortSignal,
  read: (res: Dispatcher.ResponseData) => AsyncIterable<T>,
): AsyncGenerator<T> {
  if (signal.aborted) throw new EngineError('refused', 'aborted before');
  const client = new Client(baseUrl, {
    pipelining: 0,
    connect: {timeout: CONNECT_TIMEOUT_MS},
    // The sender's signal bounds the time.
    headersTimeout: 0,
    bodyTimeout: 0,
    maxResponseSize: req.maxBytes ?? MAX_WHOLE_BYTES,
  });
  try {
    const res = await client.request(toOptions(baseUrl, req, signal));
    yield* read(res);
  } catch (err) {
    throw toEngineError(err);
  } finally {
    void client.destroy();
  }
}

/**
 * As {@link backendRequest}, for an answer that is read as a whole.
 *
 * @param baseUrl - Where the backend listens.
 * @param req - What to ask.
 * @param signal - Aborting breaks the connection off.
 * @param read - Reads the answer.
 * @returns What `read` returns.
 * @throws EngineError
 */
export async function wholeRequest<T>(
  baseUrl: string,
  req: BackendRequest,
  signal: AbortSignal,
  read: (res: Dispatcher.ResponseData) => Promise<T>,
): Promise<T> {
  const readOne = async function* (res: Dispatcher.ResponseData) {
    yield await read(res);
  };
  for await (const value of backendRequest(baseUrl, req, signal, readOne))
    return value;
  throw new EngineError('lost', 'no answer');
}

/**
 * @param res - An answer.
 * @throws EngineError when its status is an error. A backend that did not take
 *     the request must say so in the body: what stands in between may send a
 *     bare status after the backend has begun.
 */
export async function checkStatus(res: Dispatcher.ResponseData): Promise<void> {
  if (res.statusCode < FIRST_CLIENT_ERROR_STATUS) return;
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of res.body as AsyncIterable<Uint8Array>) {
    bytes += chunk.length;
    if (bytes > MAX_FAILURE_BYTES)
      throw new EngineError('lost', `status ${res.statusCode}, without end`);
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString('utf8');
  throw toldError(text) ?? new EngineError('lost', `status ${res.statusCode}`);
}

/**
 * @param text - A body, or the data of an event.
 * @returns The error that it tells, if it tells one.
 */
export function toldError(text: string): EngineError | undefined {
  const parsed = ERROR_SCHEMA.safeParse(parseJson(text));
  if (!parsed.success) return undefined;
  return new EngineError(parsed.data.kind, parsed.data.message);
}

/**
 * @param text - What should be JSON.
 * @returns Its value, or undefined when it is not.
 */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function toOptions(
  baseUrl: string,
  req: BackendRequest,
  signal: AbortSignal,
): Dispatcher.RequestOptions {
  const {method, body, contentType, traceparent} = req;
  const prefix = new URL(baseUrl).pathname.replace(/\/$/, '');
  return {
    method: method as Dispatcher.HttpMethod,
    path: `${prefix}/${req.path}`,
    body: (body ?? null) as string | Buffer | null,
    headers: {
      ...(contentType === undefined ? {} : {'content-type': contentType}),
      ...(traceparent === undefined ? {} : {traceparent}),
    },
    signal,
  };
}

function toEngineError(err: unknown): EngineError {
  if (err instanceof EngineError) return err;
  const {code, message} = err as {code?: string; message?: string};
  const kind = NOT_SENT_CODES.has(code ?? '') ? 'refused' : 'lost';
  return new EngineError(kind, message ?? String(err));
}
