/**
 * Trace spans of one request: one for the request and one for each target that
 * it is sent to.
 */
import {endHop, startHop, traceparentOf} from '@oathead/observe';
import type {Attributes, Span, Tracer} from '@opentelemetry/api';
import type {ExchangeOutcome} from './exchange.js';
import type {Headers} from './target_protocol.js';

/** Header that propagates the trace (W3C Trace Context). */
const TRACE_HEADER = 'traceparent';

/** Span of one run at a target. */
export interface TargetSpan {
  /** Request headers with the trace context for the target. */
  readonly headers: Headers;
  /** @param kind - Kind of the outcome at the target. */
  end(kind: ExchangeOutcome['kind']): void;
}

/** Records the spans of a request. Records nothing if tracing is disabled. */
export class RequestTrace {
  private readonly span: Span;

  /**
   * @param tracer - Tracer of the process.
   * @param name - Name of the span.
   * @param headers - Headers of the request, which may contain a trace context.
   * @param attributes - Attributes of the span.
   */
  constructor(
    private readonly tracer: Tracer,
    name: string,
    private readonly headers: Headers,
    attributes: Attributes,
  ) {
    const parent = headers[TRACE_HEADER];
    const traceparent = typeof parent === 'string' ? parent : undefined;
    this.span = startHop(tracer, name, traceparent, attributes);
  }

  /**
   * @param targetId - The target that the request is sent to.
   * @param run - Number of the run, starting at 1.
   * @returns The span, to be ended with the outcome at the target.
   */
  startTargetSpan(targetId: string, run: number): TargetSpan {
    const parent = traceparentOf(this.span);
    // Tracing is disabled. A trace context of the caller is forwarded
    // unchanged.
    if (parent === undefined) return {headers: this.headers, end: () => {}};
    const attributes = {target: targetId, run};
    const span = startHop(this.tracer, 'target', parent, attributes);
    const headers = {...this.headers, [TRACE_HEADER]: traceparentOf(span)!};
    return {headers, end: kind => endHop(span, errorOf(kind))};
  }

  /** @param outcome - How the request failed; undefined if it succeeded. */
  end(outcome?: string): void {
    endHop(this.span, outcome);
  }
}

const SUCCESSFUL_KINDS: ReadonlySet<ExchangeOutcome['kind']> = new Set([
  'answered',
  'streamed',
]);

function errorOf(kind: ExchangeOutcome['kind']): string | undefined {
  return SUCCESSFUL_KINDS.has(kind) ? undefined : kind;
}
