import test from 'ava';
import {
  BasicTracerProvider,
  SimpleSpanProcessor,
} from '@opentelemetry/sdk-trace-base';
import {endHop, startHop, traceparentOf} from '../../lib/process/hops.js';
import {JsonLineExporter} from '../../lib/process/tracing.js';

test('a hop continues the trace of the previous hop', t => {
  const lines: string[] = [];
  const exporter = new JsonLineExporter(line => lines.push(line));
  const provider = new BasicTracerProvider({
    spanProcessors: [new SimpleSpanProcessor(exporter)],
  });
  const tracer = provider.getTracer('test');
  const first = startHop(tracer, 'entry', undefined);
  const second = startHop(tracer, 'target', traceparentOf(first));
  endHop(second, 'overloaded');
  endHop(first);
  const [inner, outer] = lines.map(
    line => JSON.parse(line) as Record<string, unknown>,
  );
  t.is(inner?.['traceId'], outer?.['traceId']);
  t.is(inner?.['parentSpanId'], outer?.['spanId']);
  t.is(inner?.['status'], 'overloaded');
  t.is(outer?.['status'], 'ok');
});

test('a malformed traceparent starts a new trace', t => {
  const provider = new BasicTracerProvider();
  const span = startHop(provider.getTracer('test'), 'entry', 'nonsense');
  t.regex(traceparentOf(span) ?? '', /^00-[0-9a-f]{32}-[0-9a-f]{16}-01$/);
});
