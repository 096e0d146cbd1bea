/** Routes for completions: whole answers and streams. */
import {isFinalEvent, notRun} from '@oathead/core';
import type {
  ConfigView,
  Refusal,
  ServeEvent,
  ServeOutcome,
} from '@oathead/core';
import {GIVEN_UP, outcomeOf, refusalOf} from './outcome_of.js';
import type {z} from 'zod';
import {jsonResponse, refusalResponse} from './api.js';
import type {ApiCall, ApiResponse} from './api.js';
import {parseBody} from './body.js';
import {callOptions, latestEnd, resultHeaders} from './call_options.js';
import type {CallOptionsDeps} from './call_options.js';
import {
  CHAT_CALL,
  CHAT_FORMAT,
  PROMPT_CALL,
  PROMPT_FORMAT,
} from './completion_api.js';
import type {
  AnswerHead,
  CompletionCall,
  CompletionFormat,
} from './completion_api.js';
import {modelProblem} from './model_check.js';
import type {Serve} from './online_call.js';
import type {Route} from './router.js';

/** What the completion routes need. */
export interface CompletionDeps extends CallOptionsDeps {
  readonly cfg: ConfigView;
  readonly serve: Serve;
}

const MS_PER_SECOND = 1000;
const STREAM_HEADERS = {
  'content-type': 'text/event-stream',
  'cache-control': 'no-store',
} as const;

/**
 * @param deps - The service behind the routes.
 * @returns The routes.
 */
export function completionRoutes(deps: CompletionDeps): readonly Route[] {
  return [
    route('/v1/chat/completions', CHAT_CALL, CHAT_FORMAT, deps),
    route('/v1/completions', PROMPT_CALL, PROMPT_FORMAT, deps),
  ];
}

function route(
  path: string,
  schema: z.ZodType<CompletionCall>,
  format: CompletionFormat,
  deps: CompletionDeps,
): Route {
  return {
    method: 'POST',
    path,
    access: 'caller',
    latestEnd: headers => latestEnd(headers, deps),
    handle: call => complete(call, schema, format, deps),
  };
}

async function complete(
  call: ApiCall,
  schema: z.ZodType<CompletionCall>,
  format: CompletionFormat,
  deps: CompletionDeps,
): Promise<ApiResponse> {
  const parsed = parseBody(call.body, schema);
  if (!parsed.ok) return refusalResponse(parsed.err);
  const {work, stream} = parsed.value;
  const wrong = checkModel(parsed.value, deps.cfg);
  if (wrong) return refusalResponse(wrong);
  const options = callOptions(call, deps);
  if (!options.ok) return refusalResponse(options.err);

  const {resultId, ...common} = options.value;
  const events = deps.serve(
    {...common, class: 'online', work, stream},
    call.signal,
  );
  const head: AnswerHead = {
    id: common.id,
    model: work.model,
    created: Math.trunc(deps.clock.wallTime() / MS_PER_SECOND),
  };
  const headers = resultHeaders(common.id, resultId);
  return stream
    ? streamed(events, format, head, headers)
    : whole(events, format, head, headers);
}

/**
 * @param call - A completion.
 * @param cfg - What is declared.
 * @returns A refusal when no such model is declared or it allows less.
 */
function checkModel(
  {work}: CompletionCall,
  cfg: ConfigView,
): Refusal | undefined {
  const problem = modelProblem(work, cfg.current());
  if (!problem) return undefined;
  if (problem.path !== 'max_tokens')
    return notRun('not-found', problem.message);
  return {
    kind: 'invalid-request',
    message: problem.message,
    ran: 'not-run',
    problems: [problem],
  };
}

async function whole(
  events: AsyncIterable<ServeEvent>,
  format: CompletionFormat,
  head: AnswerHead,
  headers: Readonly<Record<string, string>>,
): Promise<ApiResponse> {
  const outcome = await outcomeOf(events);
  if (outcome.kind === 'done') {
    return jsonResponse(format.whole(head, outcome), 200, headers);
  }
  return refusalResponse(refusalOf(outcome));
}

/**
 * The head of a stream is sent with its first event, so that a request refused
 * before any token still gets its status code.
 */
async function streamed(
  events: AsyncIterable<ServeEvent>,
  format: CompletionFormat,
  head: AnswerHead,
  headers: Readonly<Record<string, string>>,
): Promise<ApiResponse> {
  const iterator = events[Symbol.asyncIterator]();
  const first = await firstPart(iterator);
  if (isFinalEvent(first) && first.kind !== 'done') {
    return refusalResponse(refusalOf(first));
  }
  return {
    status: 200,
    headers: {...STREAM_HEADERS, ...headers},
    body: parts(first, iterator, format, head),
  };
}

async function firstPart(
  iterator: AsyncIterator<ServeEvent>,
): Promise<ServeEvent> {
  for (;;) {
    const next = await iterator.next();
    if (next.done) return {kind: 'refused', refusal: GIVEN_UP};
    if (next.value.kind !== 'started') return next.value;
  }
}

async function* parts(
  first: ServeEvent,
  iterator: AsyncIterator<ServeEvent>,
  format: CompletionFormat,
  head: AnswerHead,
): AsyncGenerator<string> {
  let sent = 0;
  try {
    for (let event = first; ;) {
      if (event.kind === 'tokens') {
        sent += event.text.length;
        yield data(format.part(head, event.text));
      } else if (event.kind === 'done') {
        const rest = unsentText(event, sent);
        if (rest !== '') yield data(format.part(head, rest));
        yield data(format.last(head, event)) + 'data: [DONE]\n\n';
        return;
      } else if (isFinalEvent(event)) {
        yield errorEvent(refusalOf(event));
        return;
      }
      const next = await iterator.next();
      event = next.done ? {kind: 'refused', refusal: GIVEN_UP} : next.value;
    }
  } finally {
    await iterator.return?.();
  }
}

/** A resend of an answered request gets the whole answer without tokens. */
function unsentText(
  {answer}: Extract<ServeOutcome, {readonly kind: 'done'}>,
  sent: number,
): string {
  return answer.kind === 'completion' ? answer.text.slice(sent) : '';
}

/** A cut stream ends with an error event, never as a finished one. */
function errorEvent(refusal: Refusal): string {
  return `event: error\n${data({error: refusal})}`;
}

function data(value: unknown): string {
  return `data: ${JSON.stringify(value)}\n\n`;
}
