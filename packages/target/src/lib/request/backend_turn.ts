/** One turn of a run at its backend: until it ends, fails or is told to stop. */
import {EngineError, InvariantError, mayHaveRun} from '@oathead/core';
import type {AdmissionEvent, Refusal, ServeOutcome} from '@oathead/core';
import {endHop, startHop, traceparentOf} from '@oathead/observe';
import {callBackend} from './backend_call.js';
import type {Backend} from './backend_call.js';
import {refusalKind} from './live_run.js';
import type {LiveRun, LiveRunParts} from './live_run.js';

/** What a turn needs. */
export interface TurnParts extends LiveRunParts {
  /** Tells admission. */
  readonly report: (event: AdmissionEvent) => void;
  /** Only so many tokens of the prompt are to be prefilled in this turn. */
  readonly prefillOnly?: number;
  /** The engine's connection broke under the run. */
  readonly engineLost: () => void;
}

/**
 * @param live - A run that was started.
 * @param backend - What serves it.
 * @param parts - What the turn needs.
 * @returns Its outcome; undefined when the run was told to stop, or only a piece
 *     of its prompt was to be prefilled.
 */
export async function takeTurn(
  live: LiveRun,
  backend: Backend,
  parts: TurnParts,
): Promise<ServeOutcome | undefined> {
  const {run} = live;
  const abort = new AbortController();
  run.abort = abort;
  await run.handedOver(abort.signal);
  const span = startHop(parts.tracer, 'engine', live.traceparent, live.labels);
  const traceparent = traceparentOf(span) ?? live.traceparent;
  let outcome: ServeOutcome | undefined;
  try {
    abort.signal.throwIfAborted();
    outcome = await callBackend(run, backend, {
      signal: abort.signal,
      traceparent,
      onToken: () => parts.report(live.token()),
      prefillOnly: run.preemptible ? parts.prefillOnly : undefined,
    });
  } catch (err) {
    outcome = abort.signal.aborted ? undefined : failed(err, parts);
  } finally {
    run.abort = undefined;
  }
  endHop(span, refusalKind(outcome));
  return outcome;
}

function failed(err: unknown, parts: TurnParts): ServeOutcome {
  if (err instanceof InvariantError) throw err;
  if (!(err instanceof EngineError)) {
    parts.metrics.count('engine_error', {kind: 'unexpected'});
    return {kind: 'refused', refusal: mayHaveRun('internal', String(err))};
  }
  parts.metrics.count('engine_error', {kind: err.kind});
  if (err.kind === 'lost') parts.engineLost();
  return {kind: 'refused', refusal: REFUSALS[err.kind](err)};
}

/**
 * Each says "may have run": the engine was handed the request, and what an
 * engine says of its own failure is no proof.
 */
const REFUSALS: Readonly<
  Record<EngineError['kind'], (err: EngineError) => Refusal>
> = {
  refused: err => mayHaveRun('overloaded', err.message),
  failed: err => ({
    kind: 'invalid-request',
    message: err.message,
    ran: 'may-have-run',
  }),
  lost: err => mayHaveRun('engine-failed', err.message),
};
