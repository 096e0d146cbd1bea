/** Conversion of spans to log lines. */
import type {ReadableSpan} from '@opentelemetry/sdk-trace-base';

/** Fields of the line that is written for a span. */
export interface SpanLine {
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId: string | undefined;
  readonly name: string;
  readonly durationMs: number;
  /** `ok`, or the kind of the refusal that ended the hop. */
  readonly status: string;
  readonly attributes: ReadableSpan['attributes'];
}

/**
 * @param span - A span that has ended.
 * @returns The fields of its line.
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
