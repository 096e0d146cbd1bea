/** Traces: one span for each hop, carried by W3C trace context. */
import {SpanKind, SpanStatusCode, TraceFlags, trace} from '@opentelemetry/api';
import {ROOT_CONTEXT} from '@opentelemetry/api';
import type {Attributes, Context, Span, Tracer} from '@opentelemetry/api';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
  BasicTracerProvider,
  BatchSpanProcessor,
  SimpleSpanProcessor,
} from '@opentelemetry/sdk-trace-base';
import type {
  ReadableSpan,
  SpanExporter,
  SpanProcessor,
} from '@opentelemetry/sdk-trace-base';
import {z} from 'zod';

/** Where traces go. */
export const TRACING_SETTINGS = z
  .discriminatedUnion('exporter', [
    z.strictObject({exporter: z.literal('off')}),
    z.strictObject({exporter: z.literal('json')}),
    z.strictObject({exporter: z.literal('otlp'), url: z.url()}),
  ])
  .default({exporter: 'off'});

/** Where traces go. */
export type TracingSettings = z.infer<typeof TRACING_SETTINGS>;

/** A process's traces. */
export interface Tracing {
  readonly tracer: Tracer;
  /** Sends what is left, and ends. */
  shutdown(): Promise<void>;
}

/** Writes each span as one JSON line. */
export class JsonLineExporter implements SpanExporter {
  /** @param write - Takes a line without its end. */
  constructor(private readonly write: (line: string) => void) {}

  /** {@inheritDoc SpanExporter.export} */
  export(spans: ReadableSpan[], done: (result: {code: number}) => void): void {
    for (const span of spans) this.write(JSON.stringify(spanLine(span)));
    done({code: 0});
  }

  /** {@inheritDoc SpanExporter.shutdown} */
  async shutdown(): Promise<void> {}
}

const PROCESSORS: {
  readonly [K in TracingSettings['exporter']]: (
    settings: Extract<TracingSettings, {readonly exporter: K}>,
  ) => readonly SpanProcessor[];
} = {
  off: () => [],
  json: () => [
    new SimpleSpanProcessor(
      new JsonLineExporter(line => process.stderr.write(line + '\n')),
    ),
  ],
  otlp: ({url}) => [new BatchSpanProcessor(new OTLPTraceExporter({url}))],
};

/**
 * @param serviceName - Names the process in the traces.
 * @param settings - Where the traces go.
 * @returns The process's traces; nothing is recorded when they are off.
 */
export function startTracing(
  serviceName: string,
  settings: TracingSettings,
): Tracing {
  if (settings.exporter === 'off') {
    return {tracer: trace.getTracer(serviceName), shutdown: async () => {}};
  }
  const processorsOf = PROCESSORS[settings.exporter] as (
    settings: TracingSettings,
  ) => SpanProcessor[];
  const provider = new BasicTracerProvider({
    resource: resourceFromAttributes({'service.name': serviceName}),
    spanProcessors: processorsOf(settings),
  });
  return {
    tracer: provider.getTracer(serviceName),
    shutdown: () => provider.shutdown(),
  };
}

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

function spanLine(span: ReadableSpan): Readonly<Record<string, unknown>> {
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
