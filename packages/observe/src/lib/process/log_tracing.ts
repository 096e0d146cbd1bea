/** Exports spans to the event log, for programs without a trace collector. */
import type {Tracer} from '@opentelemetry/api';
import type {EventLog} from '@oathead/core';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
  BasicTracerProvider,
  SimpleSpanProcessor,
  type ReadableSpan,
  type SpanExporter,
} from '@opentelemetry/sdk-trace-base';
import {spanLine} from './span_line.js';

/**
 * Writes each span as an event of the log. The log is bounded and never blocks,
 * so neither does the export.
 */
export class EventLogExporter implements SpanExporter {
  /** @param log - Receives one `span` event for each span. */
  constructor(private readonly log: EventLog) {}

  /** {@inheritDoc SpanExporter.export} */
  export(spans: ReadableSpan[], done: (result: {code: number}) => void): void {
    for (const span of spans) this.write(span);
    done({code: 0});
  }

  /** {@inheritDoc SpanExporter.shutdown} */
  async shutdown(): Promise<void> {}

  private write(span: ReadableSpan): void {
    const {attributes, ...line} = spanLine(span);
    const texts = Object.entries(attributes).map(
      ([name, value]) => [name, String(value)] as const,
    );
    this.log.event('span', {...Object.fromEntries(texts), ...line});
  }
}

/**
 * Starts tracing to the event log.
 *
 * @param serviceName - Value of the `service.name` resource attribute.
 * @param log - Receives one `span` event for each span.
 * @returns A tracer that records all spans.
 */
export function startLogTracing(serviceName: string, log: EventLog): Tracer {
  const provider = new BasicTracerProvider({
    resource: resourceFromAttributes({'service.name': serviceName}),
    spanProcessors: [new SimpleSpanProcessor(new EventLogExporter(log))],
  });
  return provider.getTracer(serviceName);
}
