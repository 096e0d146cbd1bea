/** One request's time at the engine or plain service. */
import {EngineError, invariant} from '@oathead/core';
import type {
  Completion,
  EngineClient,
  EngineEvent,
  ServeOutcome,
  ServiceCall,
  ServiceClient,
} from '@oathead/core';
import {promptPiece} from './prompt_piece.js';
import type {TargetRun} from './target_run.js';

type EngineDone = Extract<EngineEvent, {readonly kind: 'done'}>;

/** What serves one pool. */
export type Backend =
  | {readonly kind: 'model'; readonly engine: EngineClient}
  | {readonly kind: 'service'; readonly service: ServiceClient};

/** What belongs to one call. */
export interface CallOptions {
  /** Cancels the work at the backend. */
  readonly signal: AbortSignal;
  /** Trace context for the backend. */
  readonly traceparent?: string;
  /** Told after each token. */
  readonly onToken: () => void;
  /** Only so many tokens of the prompt are to be prefilled. */
  readonly prefillOnly?: number;
}

/**
 * Has a run's work done, from where it stands.
 *
 * @param run - The run, marked as started.
 * @param backend - What serves its pool.
 * @param options - What belongs to the call.
 * @returns How the work ended; undefined when only a piece of the prompt was to
 *     be prefilled.
 * @throws EngineError when the backend gave no answer.
 */
export async function callBackend(
  run: TargetRun,
  backend: Backend,
  options: CallOptions,
): Promise<ServeOutcome | undefined> {
  const {work} = run.req;
  if (work.kind === 'call') {
    invariant(backend.kind === 'service', 'a call needs a service');
    return call(work, backend.service, options);
  }
  invariant(backend.kind === 'model', 'a completion needs an engine');
  return options.prefillOnly === undefined
    ? generate(run, work, backend.engine, options)
    : prefill(run, work, backend.engine, options);
}

async function generate(
  run: TargetRun,
  completion: Completion,
  engine: EngineClient,
  {signal, traceparent, onToken}: CallOptions,
): Promise<ServeOutcome> {
  const {version} = run;
  const resume = run.tokenCount > 0 ? run.partial() : undefined;
  const req = {id: run.key, completion, version, resume, traceparent};
  const tokens = new TokenOrder(run.tokenCount);
  for await (const event of engine.generate(req, signal)) {
    if (event.kind === 'done') return answered(run, event);
    tokens.check(event.index);
    run.add(event.text);
    onToken();
  }
  throw new EngineError('lost', 'the stream ended without an end event');
}

/** Asks for one token behind the prompt's beginning, and drops it. */
async function prefill(
  run: TargetRun,
  completion: Completion,
  engine: EngineClient,
  {signal, traceparent, prefillOnly}: CallOptions,
): Promise<undefined> {
  const piece = promptPiece(completion, prefillOnly! / run.req.promptTokens);
  const id = `${run.key}/prefill-${prefillOnly}`;
  const req = {id, completion: piece, version: run.version, traceparent};
  for await (const event of engine.generate(req, signal)) {
    if (event.kind === 'done') return undefined;
  }
  throw new EngineError('lost', 'the stream ended without an end event');
}

function answered(run: TargetRun, done: EngineDone): ServeOutcome {
  return {
    kind: 'done',
    answer: {
      kind: 'completion',
      text: run.partial().text,
      usage: {...done.usage, completionTokens: run.tokenCount},
      finishReason: done.finishReason,
      version: run.version!,
    },
  };
}

async function call(
  work: ServiceCall,
  service: ServiceClient,
  {signal, traceparent}: CallOptions,
): Promise<ServeOutcome> {
  const response = await service.call(work, signal, traceparent);
  return {kind: 'done', answer: {kind: 'response', ...response}};
}

/**
 * Guards against an answer with a hole in it: when the engine's stream loses or
 * repeats a token, the text would read on as if nothing were missing. The
 * indices must go up one by one; a resumed stream counts on from the tokens it
 * resumes, or anew from 0.
 */
class TokenOrder {
  private next: number | undefined;

  constructor(private readonly resumed: number) {}

  check(index: number): void {
    const fits =
      this.next === undefined
        ? index === 0 || index === this.resumed
        : index === this.next;
    if (!fits) throw new EngineError('lost', `token ${index} is out of order`);
    this.next = index + 1;
  }
}
