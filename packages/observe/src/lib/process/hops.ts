/**
 * One span for each hop of a request. W3C trace context propagates the trace
 * from hop to hop.
 */
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
 * @param tracer - The tracer of the process.
 * @param name - Span name: the operation that the hop performs.
 * @param traceparent - `traceparent` header value of the previous hop. A
 *     missing or malformed value starts a new trace.
 * @param attributes - Span attributes. Must not contain prompts or API keys.
 * @returns The span, which the code that started it must end.
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
    parseTraceparent(traceparent),
  );
}

/**
 * @param span - The span of the current hop.
 * @returns `traceparent` value to send to the next hop, or undefined when
 *     tracing is off.
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
 * @param span - The span to end.
 * @param errorKind - Kind of the refusal that ended the hop, which is recorded
 *     as the error status of the span; undefined on success.
 */
export function endHop(span: Span, errorKind?: string): void {
  if (errorKind !== undefined) {
    span.setStatus({code: SpanStatusCode.ERROR, message: errorKind});
  }
  span.end();
}

function parseTraceparent(traceparent: string | undefined): Context {
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
