/** Talks HTTP to an entry. */
import {failure, sleep, success} from '@oathead/core';
import type {Clock, Outcome, Random, Refusal} from '@oathead/core';
import type {Readable} from 'node:stream';
import {Agent, request} from 'undici';
import type {Dispatcher} from 'undici';
import {z} from 'zod';
import type {CliError} from '../process/cli_error.js';

/** What a client needs. */
export interface ApiClientOptions {
  /** Scheme, host and port. */
  readonly origin: string;
  readonly key: string | undefined;
  readonly clock: Clock;
  readonly random: Random;
  /** Ends all requests when aborted. */
  readonly signal: AbortSignal;
  /** Told when an answer may be some seconds old. */
  readonly onStale: () => void;
}

/** A request. Each may be sent again: by its method, or by a key it carries. */
export interface ApiRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  /** Path and query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Sent as JSON. */
  readonly json?: unknown;
  /** Opened anew for each attempt. */
  readonly open?: () => Readable;
}

type Response = Dispatcher.ResponseData;

const ATTEMPTS = 4;
const FIRST_BACKOFF_MS = 200;
const CONNECT_TIMEOUT_MS = 5_000;
const HEADERS_TIMEOUT_MS = 60_000;
const FIRST_ERROR_STATUS = 400;

/** The connection was not made, so nothing was sent. */
const UNSENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Refusals that pass by themselves, often within seconds. */
const PASSING_REFUSALS: ReadonlySet<string> = new Set([
  'store-unavailable',
  'leaving',
  'overloaded',
]);

const refusalBody = z.object({
  error: z.looseObject({
    kind: z.string(),
    message: z.string(),
    ran: z.enum(['not-run', 'may-have-run']),
  }),
});

/**
 * A client of one server. A lost connection and a refusal that passes are tried
 * again a few times.
 */
export class ApiClient implements AsyncDisposable {
  private readonly agent = new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MS},
    headersTimeout: HEADERS_TIMEOUT_MS,
    bodyTimeout: 0,
  });

  /** @param options - What it needs. */
  constructor(private readonly options: ApiClientOptions) {}

  /**
   * Sends a request and reads its answer as JSON.
   *
   * @param req - The request.
   * @returns The answer; its shape is the server's promise.
   */
  async json<T>(req: ApiRequest): Promise<Outcome<T, CliError>> {
    const res = await this.stream(req);
    if (!res.ok) return res;
    if (res.value.headers['oathead-stale']) this.options.onStale();
    try {
      return success((await res.value.body.json()) as T);
    } catch (err) {
      return failure({kind: 'malformed', message: messageOf(err)});
    }
  }

  /**
   * Sends a request.
   *
   * @param req - The request.
   * @returns The answer, its body not yet read.
   */
  async stream(req: ApiRequest): Promise<Outcome<Response, CliError>> {
    const {clock, random, signal} = this.options;
    let backoff = FIRST_BACKOFF_MS;
    for (let attempt = 1; ; attempt++) {
      const res = await this.send(req);
      if (res.ok || !mayPass(res.err)) return res;
      if (attempt === ATTEMPTS || signal.aborted) return res;
      await sleep(clock, backoff * (1 + random.float()), signal);
      backoff *= 2;
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.agent.destroy();
  }

  private async send(req: ApiRequest): Promise<Outcome<Response, CliError>> {
    const {origin, key, signal} = this.options;
    try {
      const res = await request(origin + req.path, {
        method: req.method,
        headers: {
          ...(key === undefined ? {} : {authorization: `Bearer ${key}`}),
          ...(req.json === undefined
            ? {}
            : {'content-type': 'application/json'}),
          ...req.headers,
        },
        body: req.open?.() ?? bodyOf(req.json),
        dispatcher: this.agent,
        signal,
      });
      if (res.statusCode < FIRST_ERROR_STATUS) return success(res);
      return failure(await refusalOf(res));
    } catch (err) {
      const code = String((err as {readonly code?: unknown}).code);
      const sent = !UNSENT_CODES.has(code);
      return failure({kind: 'unreachable', message: messageOf(err), sent});
    }
  }
}

function bodyOf(json: unknown): string | undefined {
  return json === undefined ? undefined : JSON.stringify(json);
}

async function refusalOf(res: Response): Promise<CliError> {
  const text = await res.body.text();
  const parsed = refusalBody.safeParse(parseJson(text));
  if (parsed.success) {
    return {kind: 'refused', refusal: parsed.data.error as unknown as Refusal};
  }
  const message = `HTTP ${res.statusCode} without a typed refusal`;
  return {kind: 'malformed', message};
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function mayPass(err: CliError): boolean {
  if (err.kind === 'unreachable') return true;
  return err.kind === 'refused' && PASSING_REFUSALS.has(err.refusal.kind);
}

/** Errors of a connection attempt to several addresses have no text. */
function messageOf(err: unknown): string {
  const {message, code} = err as {
    readonly message?: string;
    readonly code?: string;
  };
  return message || code || String(err);
}
