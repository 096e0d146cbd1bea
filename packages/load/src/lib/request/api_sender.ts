/** Sends requests to an entry, as a caller would. */
import {Agent} from 'undici';
import type {Dispatcher} from 'undici';
import {z} from 'zod';
import type {OnPart, Send, SendOutcome} from './send.js';
import {sseParts} from './sse_parts.js';

/** What is sent, and where to. */
export interface ApiSenderOptions {
  /** Base addresses of entries; requests take them in turn. */
  readonly urls: readonly string[];
  readonly key: string | undefined;
  /** The model or service. */
  readonly pool: string;
  /** Path behind the name of a plain service; absent for a model. */
  readonly servicePath?: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly stream: boolean;
  /** Gives each request an idempotency key that begins with this. */
  readonly keyPrefix?: string;
}

/** A sender with its connections. */
export interface ApiSender extends AsyncDisposable {
  readonly send: Send;
}

const STATUS_OK = 200;
const END_OF_STREAM = '[DONE]';
/** Letters to a token, as the engines' estimate has it. */
const TOKEN_TEXT = 'pay ';

const REFUSED = z.object({
  error: z.object({kind: z.string(), ran: z.string()}),
});

/**
 * @param options - What is sent, and where to.
 * @returns A sender. Each request gets a connection at once: one that waits for
 *     another's would hide the wait from the report.
 */
export function createApiSender(options: ApiSenderOptions): ApiSender {
  const agent = new Agent({pipelining: 1, connections: null});
  return {
    send: (index, onPart, signal) =>
      sendOne(options, agent, index, onPart, signal),
    [Symbol.asyncDispose]: () => agent.destroy(),
  };
}

async function sendOne(
  options: ApiSenderOptions,
  agent: Agent,
  index: number,
  onPart: OnPart,
  signal: AbortSignal,
): Promise<SendOutcome> {
  const {urls} = options;
  try {
    const res = await agent.request({
      ...requestOf(options, index),
      origin: urls[index % urls.length]!,
      signal,
    });
    if (res.statusCode !== STATUS_OK) return refusalIn(await res.body.text());
    const type = String(res.headers['content-type']);
    if (type.startsWith('text/event-stream')) {
      return await readStream(res.body, onPart);
    }
    await res.body.text();
    onPart();
    return {kind: 'done'};
  } catch (err) {
    return {kind: 'broken', message: (err as Error).message};
  }
}

function requestOf(
  options: ApiSenderOptions,
  index: number,
): Pick<Dispatcher.RequestOptions, 'method' | 'path' | 'headers' | 'body'> {
  const {key, pool, servicePath, keyPrefix} = options;
  const headers = {
    'content-type': 'application/json',
    ...(key === undefined ? {} : {authorization: `Bearer ${key}`}),
    ...(keyPrefix === undefined
      ? {}
      : {'idempotency-key': `${keyPrefix}-${index}`}),
  };
  if (servicePath !== undefined) {
    const path = `/v1/services/${encodeURIComponent(pool)}/${servicePath}`;
    return {method: 'POST', path, headers, body: '{}'};
  }
  const body = JSON.stringify({
    model: pool,
    prompt: promptOf(options, index),
    max_tokens: options.maxTokens,
    stream: options.stream,
  });
  return {method: 'POST', path: '/v1/completions', headers, body};
}

/** Each prompt differs at its start, so that no cache makes the load light. */
function promptOf({promptTokens}: ApiSenderOptions, index: number): string {
  return `${index} [[slow]] ${TOKEN_TEXT.repeat(promptTokens)}`;
}

async function readStream(
  body: AsyncIterable<Uint8Array>,
  onPart: OnPart,
): Promise<SendOutcome> {
  for await (const {event, data} of sseParts(body)) {
    if (event === 'error') return refusalIn(data);
    if (data === END_OF_STREAM) return {kind: 'done'};
    if (hasText(data)) onPart();
  }
  return {kind: 'broken', message: 'the stream ended before the answer'};
}

const PART = z.object({
  choices: z.array(z.object({text: z.string().optional()})),
});

function hasText(data: string): boolean {
  const part = PART.safeParse(JSON.parse(data));
  return part.success && part.data.choices.some(({text}) => text);
}

function refusalIn(text: string): SendOutcome {
  const parsed = REFUSED.safeParse(parseJson(text));
  if (!parsed.success) return {kind: 'broken', message: text.slice(0, 200)};
  const {kind, ran} = parsed.data.error;
  return {kind: 'refused', refusal: kind, ran};
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
