/** What is written down of one request: log lines, counters and spans. */
import type {Counters, EventLog} from '@oathead/core';
import type {Tracer} from '@opentelemetry/api';
import type {Target} from '../connection/target.js';
import type {TargetLoad} from '../process/load_table.js';
import type {ChoiceView} from '../process/target_chooser.js';
import type {Route} from '../version/routing_table.js';
import {RequestTrace} from './request_trace.js';
import type {Headers, RequestFacts} from './target_protocol.js';

/** Where it is written. */
export interface ReportContext {
  readonly log: EventLog;
  readonly counters: Counters;
  readonly tracer: Tracer;
}

/** How far a request has come. */
export interface RequestProgress {
  /** Runs that have ended. */
  readonly runs: number;
  /** How often targets said that they did not run it. */
  readonly declines: number;
  /** Since its head came, in milliseconds. */
  readonly ms: number;
  /** Until the first of its answer was written, in milliseconds. */
  readonly firstMs: number | undefined;
  /** The last event that its caller has. */
  readonly afterEvent: number | undefined;
}

/** Ends of a request with which its caller has a target's answer. */
const SERVED: ReadonlySet<string> = new Set(['answered', 'streamed']);

/** Reports one request. */
export class RequestReport {
  /** Its spans. */
  readonly trace: RequestTrace;

  /**
   * @param context - Log, counters and tracer.
   * @param route - The route it came by.
   * @param facts - What it says of itself.
   * @param headers - Those that go on to targets.
   * @param account - Whose request it is.
   */
  constructor(
    private readonly context: ReportContext,
    private readonly route: Route,
    private readonly facts: RequestFacts,
    headers: Headers,
    private readonly account: string | undefined,
  ) {
    this.trace = new RequestTrace(context.tracer, 'request', headers, {
      request: facts.requestId,
      route: route.name,
    });
  }

  /**
   * @param target - Where it is sent.
   * @param load - What is in flight there, as far as this host knows.
   * @param progress - How far it has come.
   */
  sent(
    target: Target,
    {online, batch}: TargetLoad,
    progress: RequestProgress,
  ): void {
    this.context.log.event('request-sent', {
      request: this.facts.requestId,
      route: this.route.name,
      target: target.id,
      run: progress.runs + 1,
      inFlight: online,
      items: batch,
      afterEvent: progress.afterEvent,
      waitedMs: Math.round(progress.ms),
    });
  }

  /**
   * @param event - What became of a run.
   * @param reason - Why.
   * @param target - Where it was.
   * @param progress - How far the request has come.
   */
  run(
    event: string,
    reason: string,
    target: Target,
    {runs, afterEvent}: RequestProgress,
  ): void {
    this.context.log.event(event, {
      request: this.facts.requestId,
      target: target.id,
      reason,
      runs,
      afterEvent,
    });
  }

  /**
   * @param service - Whose targets were asked.
   * @param reason - Why there will be no answer.
   * @param view - What the choice among the targets went by.
   */
  givenUp(service: string, reason: string, view: ChoiceView): void {
    const request = this.facts.requestId;
    const inputs = {request, service, reason, ...view};
    this.context.log.event('request-given-up', inputs);
  }

  /**
   * @param outcome - How the request ended.
   * @param progress - How far it had come.
   * @param status - What its caller was told; undefined: a stream, or nothing.
   * @param target - Whose answer it was.
   */
  ended(
    outcome: string,
    {runs, declines, ms, firstMs}: RequestProgress,
    status: number | undefined,
    target: Target | undefined,
  ): void {
    this.trace.end(SERVED.has(outcome) ? undefined : outcome);
    this.context.counters.count('online_requests', {outcome});
    this.context.log.event('request-ended', {
      request: this.facts.requestId,
      route: this.route.name,
      account: this.account,
      outcome,
      status,
      target: target?.id,
      runs,
      declines,
      ms: Math.round(ms),
      firstMs: firstMs === undefined ? undefined : Math.round(firstMs),
    });
  }
}
