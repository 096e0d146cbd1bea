/** One request's time at the engine or plain service. */
import {EngineError, invariant} from '@oathead/core';
import type {
  Completion,
  EngineClient,
  EngineRequest,
  ServeOutcome,
  ServiceCall,
  ServiceClient,
} from '@oathead/core';
import type {TargetRun} from './target_run.js';

/** What serves one pool. */
export type Backend =
  | {readonly kind: 'model'; readonly engine: EngineClient}
  | {readonly kind: 'service'; readonly service: ServiceClient};

/**
 * Has a run's work done, from where it stands.
 *
 * @param run - The run, marked as started.
 * @param backend - What serves its pool.
 * @param onToken - Told after each token.
 * @param signal - Cancels the work at the backend.
 * @param traceparent - Trace context for the backend.
 * @returns How the work ended.
 * @throws EngineError when the backend gave no answer.
 */
export async function callBackend(
  run: TargetRun,
  backend: Backend,
  onToken: () => void,
  signal: AbortSignal,
  traceparent?: string,
): Promise<ServeOutcome> {
  const {work} = run.req;
  if (work.kind === 'completion') {
    invariant(backend.kind === 'model', 'a completion needs an engine');
    const req = engineRequest(run, work, traceparent);
    return generate(run, backend.engine, req, onToken, signal);
  }
  invariant(backend.kind === 'service', 'a call needs a service');
  return call(work, backend.service, signal, traceparent);
}

function engineRequest(
  run: TargetRun,
  completion: Completion,
  traceparent?: string,
): EngineRequest {
  const resume = run.tokenCount > 0 ? run.partial() : undefined;
  return {id: run.key, completion, version: run.version, resume, traceparent};
}

async function generate(
  run: TargetRun,
  engine: EngineClient,
  req: EngineRequest,
  onToken: () => void,
  signal: AbortSignal,
): Promise<ServeOutcome> {
  const tokens = new TokenOrder(run.tokenCount);
  for await (const event of engine.generate(req, signal)) {
    if (event.kind === 'token') {
      tokens.check(event.index);
      run.add(event.text);
      onToken();
      continue;
    }
    const usage = {...event.usage, completionTokens: run.tokenCount};
    const {text} = run.partial();
    return {
      kind: 'done',
      answer: {
        kind: 'completion',
        text,
        usage,
        finishReason: event.finishReason,
        version: run.version!,
      },
    };
  }
  throw new EngineError('lost', 'the stream ended without an end event');
}

async function call(
  work: ServiceCall,
  service: ServiceClient,
  signal: AbortSignal,
  traceparent?: string,
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
