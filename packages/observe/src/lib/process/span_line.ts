/** A span as the fields of one line. */
import type {ReadableSpan} from '@opentelemetry/sdk-trace-base';

/** What a line says of a span. */
export interface SpanLine {
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId: string | undefined;
  readonly name: string;
  readonly durationMs: number;
  /** `ok`, or the kind of refusal that the hop ended with. */
  readonly status: string;
  readonly attributes: ReadableSpan['attributes'];
}

/**
 * @param span - A span that has ended.
 * @returns What its line says.
 */
export function spanLine(span: ReadableSpan): SpanLine {
  const [seconds, nanoseconds] = span.duration;
  const durationMs = seconds * 1e3 + nanoseconds / 1e6;
  return {
    traceId: span.spanContext().traceId,
    spanId: span.spanContext().spanId,
    parentSpanId: span.parentSpanContext?.spanId,
    name: span.name,
    durationMs,
    status: span.status.message ?? 'ok',
    attributes: span.attributes,
  };
}
