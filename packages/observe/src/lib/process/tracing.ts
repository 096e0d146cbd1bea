/** Trace exporters of a process: off, JSON lines, or an OTLP collector. */
import {trace, type Tracer} from '@opentelemetry/api';
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
import {spanLine} from './span_line.js';

/** Schema of the trace exporter settings. */
export const TRACING_SETTINGS = z
  .discriminatedUnion('exporter', [
    z.strictObject({exporter: z.literal('off')}),
    z.strictObject({exporter: z.literal('json')}),
    z.strictObject({exporter: z.literal('otlp'), url: z.url()}),
  ])
  .default({exporter: 'off'});

/** The selected trace exporter. */
export type TracingSettings = z.infer<typeof TRACING_SETTINGS>;

/** The tracing of a process. */
export interface Tracing {
  readonly tracer: Tracer;
  /** Exports the remaining spans and shuts the exporter down. */
  shutdown(): Promise<void>;
}

/** Writes each span as one JSON line. */
export class JsonLineExporter implements SpanExporter {
  /** @param write - Receives each line, without a line terminator. */
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
 * Starts tracing.
 *
 * @param serviceName - Value of the `service.name` resource attribute.
 * @param settings - Selects the exporter.
 * @returns The tracing of the process; records no spans if the exporter is
 *     `off`.
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
