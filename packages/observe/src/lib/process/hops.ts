/** One span for each hop of a request, carried by W3C trace context. */
import {
  ROOT_CONTEXT,
  SpanKind,
  SpanStatusCode,
  TraceFlags,
  trace,
  type Attributes,
  type Context,
  type Span,
  type Tracer,
} from '@opentelemetry/api';

const TRACEPARENT = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/;

/**
 * Starts the span of one hop.
 *
 * @param tracer - The process's tracer.
 * @param name - What the hop does.
 * @param traceparent - The hop before, as W3C trace context; one that cannot
 *     be read starts a new trace.
 * @param attributes - Never prompts or keys.
 * @returns The span; whoever started it ends it.
 */
export function startHop(
  tracer: Tracer,
  name: string,
  traceparent: string | undefined,
  attributes: Attributes = {},
): Span {
  return tracer.startSpan(
    name,
    {kind: SpanKind.SERVER, attributes},
    contextOf(traceparent),
  );
}

/**
 * @param span - The span of this hop.
 * @returns W3C trace context for the next hop; undefined when traces are off.
 */
export function traceparentOf(span: Span): string | undefined {
  const {traceId, spanId, traceFlags} = span.spanContext();
  if (!trace.isSpanContextValid(span.spanContext())) return undefined;
  const flags = traceFlags.toString(16).padStart(2, '0');
  return `00-${traceId}-${spanId}-${flags}`;
}

/**
 * Ends the span of a hop.
 *
 * @param span - The span.
 * @param errorKind - The kind of refusal it ended with, if any.
 */
export function endHop(span: Span, errorKind?: string): void {
  if (errorKind !== undefined) {
    span.setStatus({code: SpanStatusCode.ERROR, message: errorKind});
  }
  span.end();
}

function contextOf(traceparent: string | undefined): Context {
  const match = TRACEPARENT.exec(traceparent ?? '');
  if (!match) return ROOT_CONTEXT;
  const [, traceId, spanId, flags] = match;
  return trace.setSpanContext(ROOT_CONTEXT, {
    traceId: traceId!,
    spanId: spanId!,
    traceFlags: Number.parseInt(flags!, 16) & TraceFlags.SAMPLED,
    isRemote: true,
  });
}
