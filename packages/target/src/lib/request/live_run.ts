/** A run that has no outcome yet, with what is measured of it. */
import {DisposableStore, poolOf} from '@oathead/core';
import type {
  AdmissionEvent,
  Clock,
  Counters,
  Labels,
  ServeOutcome,
  ServeRequest,
} from '@oathead/core';
import {endHop, startHop, traceparentOf} from '@oathead/observe';
import type {Span, Tracer} from '@opentelemetry/api';
import {TargetRun} from './target_run.js';

/** Counters, and histograms of latencies in milliseconds. */
export interface TargetMetrics extends Counters {
  record(name: string, ms: number, labels?: Labels): void;
}

/** What live runs are measured with. */
export interface LiveRunParts {
  readonly clock: Clock;
  readonly metrics: TargetMetrics;
  readonly tracer: Tracer;
}

/** A run with its span, its deadline and what ends with it. */
export class LiveRun {
  readonly run: TargetRun;
  /** Released with the outcome. */
  readonly owned = new DisposableStore();
  readonly labels: Labels;
  private readonly span: Span;
  /** When nobody wants its outcome any more, on the process's clock, in ms. */
  readonly deadline: number;
  /** When it arrived, or had its last token. */
  private lastAt: number;

  /**
   * @param req - A request that has arrived.
   * @param parts - What it is measured with.
   */
  constructor(
    req: ServeRequest,
    private readonly parts: LiveRunParts,
  ) {
    this.run = new TargetRun(req);
    this.labels = {class: req.class, pool: poolOf(req.work)};
    const attributes = {...this.labels, request: req.id, attempt: req.attempt};
    const {tracer, clock} = parts;
    this.span = startHop(tracer, 'target', req.traceparent, attributes);
    this.lastAt = clock.now();
    this.deadline = this.lastAt + req.timeoutMs;
  }

  /** Trace context for what is done for it. */
  get traceparent(): string | undefined {
    return traceparentOf(this.span) ?? this.run.req.traceparent;
  }

  /** @returns What admission is told when it arrives, and after a preempt. */
  arrival(): AdmissionEvent {
    const {req, key, tokenCount, preemptible} = this.run;
    const request = {
      id: key,
      pool: poolOf(req.work),
      class: req.class,
      caller: req.caller,
      promptTokens: req.promptTokens,
      maxTokens: req.work.kind === 'completion' ? req.work.maxTokens : 0,
      deadline: this.deadline,
      suspect: req.suspect ?? false,
      resumedTokens: tokenCount,
      preemptible,
    };
    return {kind: 'arrived', request};
  }

  /** @returns What admission is told of one more token. */
  token(): AdmissionEvent {
    const {run, labels} = this;
    const {clock, metrics} = this.parts;
    const now = clock.now();
    const sinceMs = now - this.lastAt;
    this.lastAt = now;
    if (run.state !== 'started') {
      metrics.record('target_between_tokens', sinceMs, labels);
      return {kind: 'tokens', id: run.key, count: 1};
    }
    run.step({type: 'first-token'});
    metrics.record('target_first_token', sinceMs, labels);
    return {kind: 'first-token', id: run.key};
  }

  /** @param outcome - How the run ended. */
  end(outcome: ServeOutcome): void {
    this.run.end(outcome);
    this.owned[Symbol.dispose]();
    const refusal = refusalKind(outcome);
    endHop(this.span, refusal);
    const labels = {...this.labels, outcome: refusal ?? outcome.kind};
    this.parts.metrics.count('target_requests', labels);
  }
}

/**
 * @param outcome - How a run ended, if it has.
 * @returns Why it was refused, if it was.
 */
export function refusalKind(
  outcome: ServeOutcome | undefined,
): string | undefined {
  return outcome?.kind === 'refused' ? outcome.refusal.kind : undefined;
}
