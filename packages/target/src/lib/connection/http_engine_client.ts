/** A model engine over HTTP, its tokens as server-sent events. */
import {
  EngineError,
  type CacheEvent,
  type EngineClient,
  type EngineEvent,
  type EngineLoad,
  type EngineRequest,
  type Order,
  type OrderOutcome,
} from '@oathead/core';
import {REFUSAL_SCHEMA} from '@oathead/wire';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import type {Dispatcher} from 'undici';
import {z} from 'zod';
import {
  backendRequest,
  checkStatus,
  parseJson,
  toldError,
  wholeRequest,
  type BackendRequest,
} from './backend_request.js';

/** No limit of the whole length: a stream is read event by event. */
const UNBOUNDED = -1;
/** Maximum size of one event of a stream, in bytes. */
const MAX_EVENT_BYTES = 2 * 1024 * 1024;
/** Maximum size of an exported cache, in bytes. */
const MAX_CACHE_BYTES = 64 * 1024 * 1024;

const COUNT = z.number().int().nonnegative();

const EVENT_SCHEMA = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('token'), index: COUNT, text: z.string()}),
  z.object({
    kind: z.literal('done'),
    usage: z.object({promptTokens: COUNT, completionTokens: COUNT}),
    finishReason: z.enum(['stop', 'length']),
  }),
]) satisfies z.ZodType<EngineEvent>;

const LOAD_SCHEMA = z.object({
  running: COUNT,
  waiting: COUNT,
  kvTokensUsed: COUNT,
  kvTokensTotal: COUNT,
  ageMs: z.number(),
  versions: z.array(
    z.object({
      model: z.string(),
      version: z.string(),
      adapters: z.array(z.string()),
      state: z.enum(['loading', 'ready', 'unloading', 'failed']),
    }),
  ),
}) satisfies z.ZodType<EngineLoad>;

const ORDER_OUTCOME_SCHEMA = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('taken')}),
  z.object({kind: z.literal('refused'), refusal: REFUSAL_SCHEMA}),
]) satisfies z.ZodType<OrderOutcome>;

const CACHE_EVENTS_SCHEMA = z.object({
  events: z.array(
    z.object({
      sequence: COUNT,
      kind: z.enum(['stored', 'evicted', 'cleared']),
      prefix: z.string(),
      tokens: COUNT,
    }) satisfies z.ZodType<CacheEvent>,
  ),
});

/** An engine at the other end of HTTP connections. */
export class HttpEngineClient implements EngineClient {
  /** @param baseUrl - Where the engine listens. */
  constructor(private readonly baseUrl: string) {}

  generate(
    req: EngineRequest,
    signal: AbortSignal,
  ): AsyncGenerator<EngineEvent> {
    const {traceparent} = req;
    const maxBytes = UNBOUNDED;
    const post = {...postJson('v1/generate', req), traceparent, maxBytes};
    return backendRequest(this.baseUrl, post, signal, readEvents);
  }

  load(signal: AbortSignal): Promise<EngineLoad> {
    const get = {method: 'GET', path: 'v1/load'};
    return this.ask(get, signal, LOAD_SCHEMA);
  }

  order(order: Order, signal: AbortSignal): Promise<OrderOutcome> {
    const post = postJson('v1/orders', order);
    return this.ask(post, signal, ORDER_OUTCOME_SCHEMA);
  }

  async cacheEvents(
    sequence: number,
    signal: AbortSignal,
  ): Promise<readonly CacheEvent[]> {
    const path = `v1/cache-events?after=${sequence}`;
    const get = {method: 'GET', path};
    return (await this.ask(get, signal, CACHE_EVENTS_SCHEMA)).events;
  }

  exportCache(prefix: string, signal: AbortSignal): Promise<Uint8Array> {
    const path = `v1/cache/${encodeURIComponent(prefix)}`;
    const get = {method: 'GET', path, maxBytes: MAX_CACHE_BYTES};
    return wholeRequest(this.baseUrl, get, signal, async res => {
      await checkStatus(res);
      return res.body.bytes();
    });
  }

  importCache(cache: Uint8Array, signal: AbortSignal): Promise<void> {
    const contentType = 'application/octet-stream';
    const path = 'v1/cache';
    const post = {method: 'POST', path, body: cache, contentType};
    return wholeRequest(this.baseUrl, post, signal, checkStatus);
  }

  private ask<T>(
    req: BackendRequest,
    signal: AbortSignal,
    schema: z.ZodType<T>,
  ): Promise<T> {
    return wholeRequest(this.baseUrl, req, signal, async res => {
      await checkStatus(res);
      return check(await res.body.text(), schema);
    });
  }
}

/** @throws EngineError unless the stream ends with `done`. */
async function* readEvents(
  res: Dispatcher.ResponseData,
): AsyncGenerator<EngineEvent> {
  await checkStatus(res);
  const messages: EventSourceMessage[] = [];
  const parser = createParser({onEvent: message => messages.push(message)});
  const decoder = new TextDecoder();
  let bytes = 0;
  for await (const chunk of res.body as AsyncIterable<Uint8Array>) {
    bytes += chunk.length;
    parser.feed(decoder.decode(chunk, {stream: true}));
    if (messages.length > 0) bytes = 0;
    if (bytes > MAX_EVENT_BYTES)
      throw new EngineError('lost', 'event too large');
    for (const message of messages.splice(0)) {
      const event = toEvent(message);
      yield event;
      if (event.kind === 'done') return;
    }
  }
  // A broken connection can look like an end: only `done` is one.
  throw new EngineError('lost', 'the stream ended before the answer');
}

function toEvent({event, data}: EventSourceMessage): EngineEvent {
  if (event !== 'error') return check(data, EVENT_SCHEMA);
  throw toldError(data) ?? new EngineError('lost', data);
}

function check<T>(text: string, schema: z.ZodType<T>): T {
  const parsed = schema.safeParse(parseJson(text));
  if (parsed.success) return parsed.data;
  throw new EngineError('lost', z.prettifyError(parsed.error));
}

function postJson(path: string, body: object): BackendRequest {
  const contentType = 'application/json';
  return {method: 'POST', path, body: JSON.stringify(body), contentType};
}
