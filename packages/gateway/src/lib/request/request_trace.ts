/** The spans of one request: its own, and one for each target it is sent to. */
import {endHop, startHop, traceparentOf} from '@oathead/observe';
import type {Attributes, Span, Tracer} from '@opentelemetry/api';
import type {ExchangeEnd} from './exchange.js';
import type {Headers} from './target_protocol.js';

/** Carries the trace from hop to hop (W3C trace context). */
const TRACE_HEADER = 'traceparent';

/** A hop to a target. */
export interface TargetHop {
  /** The headers with which the target can go on with the trace. */
  readonly headers: Headers;
  /** @param kind - How the target was done with the request. */
  end(kind: ExchangeEnd['kind']): void;
}

/** Records a request and its hops; records nothing where traces are off. */
export class RequestTrace {
  private readonly span: Span;

  /**
   * @param tracer - The process's tracer.
   * @param name - What the span is of.
   * @param headers - Of the request: they may carry a trace that it belongs to.
   * @param attributes - What tells this request from others.
   */
  constructor(
    private readonly tracer: Tracer,
    name: string,
    private readonly headers: Headers,
    attributes: Attributes,
  ) {
    const before = headers[TRACE_HEADER];
    const text = typeof before === 'string' ? before : undefined;
    this.span = startHop(tracer, name, text, attributes);
  }

  /**
   * @param targetId - Where the request is sent.
   * @param run - Which try this is, from 1.
   * @returns The hop, to be ended when the target is done with it.
   */
  toTarget(targetId: string, run: number): TargetHop {
    const before = traceparentOf(this.span);
    // Traces are off: a trace of the caller's goes on as it came.
    if (before === undefined) return {headers: this.headers, end: () => {}};
    const attributes = {target: targetId, run};
    const span = startHop(this.tracer, 'target', before, attributes);
    const headers = {...this.headers, [TRACE_HEADER]: traceparentOf(span)!};
    return {headers, end: kind => endHop(span, failureOf(kind))};
  }

  /** @param outcome - How the request ended; undefined: well. */
  end(outcome?: string): void {
    endHop(this.span, outcome);
  }
}

const WELL: ReadonlySet<ExchangeEnd['kind']> = new Set([
  'answered',
  'streamed',
]);

function failureOf(kind: ExchangeEnd['kind']): string | undefined {
  return WELL.has(kind) ? undefined : kind;
}
