/** Where the spans of a process go: nowhere, to lines of JSON, or to a collector. */
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
