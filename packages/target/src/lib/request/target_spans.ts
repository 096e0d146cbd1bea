/** Spans of a request at the target process and at the engine. */
import {
  ROOT_CONTEXT,
  SpanKind,
  SpanStatusCode,
  propagation,
  trace,
} from '@opentelemetry/api';
import type {Context, Span} from '@opentelemetry/api';
import {poolOf} from '@oathead/core';
import type {ServeOutcome, ServeRequest} from '@oathead/core';

const TRACER = '@oathead/target';

/** A span with what its children need. */
export interface TargetSpan {
  readonly span: Span;
  readonly context: Context;
  /** Trace context for the next hop. */
  readonly traceparent: string | undefined;
}

/**
 * @param req - A request that has arrived.
 * @returns The span of its time at this process.
 */
export function startRequestSpan(req: ServeRequest): TargetSpan {
  const parent = propagation.extract(ROOT_CONTEXT, {
    traceparent: req.traceparent,
  });
  const attributes = {
    'oathead.request': req.id,
    'oathead.attempt': req.attempt,
    'oathead.class': req.class,
    'oathead.pool': poolOf(req.work),
  };
  return start('target', SpanKind.SERVER, parent, attributes, req);
}

/**
 * @param parent - The span of the request.
 * @param req - The request.
 * @returns The span of one part of its time at the engine or service.
 */
export function startEngineSpan(
  parent: TargetSpan,
  req: ServeRequest,
): TargetSpan {
  return start('engine', SpanKind.CLIENT, parent.context, {}, req);
}

/**
 * @param span - A span to end.
 * @param outcome - How the request ended; absent when it was interrupted.
 */
export function endSpan({span}: TargetSpan, outcome?: ServeOutcome): void {
  span.setAttribute('oathead.outcome', outcome?.kind ?? 'interrupted');
  if (outcome?.kind === 'refused') {
    const {kind, ran} = outcome.refusal;
    span.setAttributes({'oathead.refusal': kind, 'oathead.ran': ran});
    span.setStatus({code: SpanStatusCode.ERROR, message: kind});
  }
  span.end();
}

function start(
  name: string,
  kind: SpanKind,
  parent: Context,
  attributes: Readonly<Record<string, string | number>>,
  req: ServeRequest,
): TargetSpan {
  const options = {kind, attributes};
  const span = trace.getTracer(TRACER).startSpan(name, options, parent);
  const own = trace.setSpan(parent, span);
  const carrier: {traceparent?: string} = {};
  propagation.inject(own, carrier);
  // Without a tracer the caller's own context goes on.
  const traceparent = carrier.traceparent ?? req.traceparent;
  return {span, context: own, traceparent};
}
