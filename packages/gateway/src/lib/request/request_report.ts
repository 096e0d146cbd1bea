/** Log events, counters and spans of one request. */
import type {Counters, EventLog} from '@oathead/core';
import type {Tracer} from '@opentelemetry/api';
import type {Target} from '../connection/target.js';
import type {TargetLoad} from '../process/load_table.js';
import type {NotPlaced} from '../process/placement_outcome.js';
import type {ChoiceView} from '../process/target_chooser.js';
import type {Route} from '../version/routing_table.js';
import {RequestTrace} from './request_trace.js';
import type {Headers, RequestMetadata} from './target_protocol.js';
import type {RetryAdvice} from './target_search.js';

/** Destinations of the reports. */
export interface ReportContext {
  readonly log: EventLog;
  readonly counters: Counters;
  readonly tracer: Tracer;
}

/** Why a request has no target. */
export interface FailedSearch {
  /** Undefined if no search has failed. */
  readonly notPlaced: NotPlaced | undefined;
  /** When the caller should retry; undefined if it should not. */
  readonly retry: RetryAdvice | undefined;
}

/** Progress of a request. */
export interface RequestProgress {
  /** Number of runs that have ended. */
  readonly runs: number;
  /** Number of times a target declined to run the request. */
  readonly declines: number;
  /** Time since the request headers were received, in milliseconds. */
  readonly ms: number;
  /**
   * Time until the response was started, in milliseconds; undefined if it has
   * not been started.
   */
  readonly firstMs: number | undefined;
  /** Number of the last event that the caller received. */
  readonly afterEvent: number | undefined;
}

/** Outcomes with which the caller received a response of a target. */
const SUCCESSFUL_OUTCOMES: ReadonlySet<string> = new Set([
  'answered',
  'streamed',
]);

/** Reports the progress and outcome of one request. */
export class RequestReport {
  /** Spans of the request. */
  readonly trace: RequestTrace;

  /**
   * @param context - Log, counters and tracer.
   * @param route - The route of the request.
   * @param metadata - Metadata of the request.
   * @param headers - Headers that are forwarded to targets.
   * @param account - Name of the caller's account.
   */
  constructor(
    private readonly context: ReportContext,
    private readonly route: Route,
    private readonly metadata: RequestMetadata,
    headers: Headers,
    private readonly account: string | undefined,
  ) {
    this.trace = new RequestTrace(context.tracer, 'request', headers, {
      request: metadata.requestId,
      route: route.name,
    });
  }

  /**
   * Reports that the request is sent to a target.
   *
   * @param target - The target.
   * @param load - In-flight requests at the target, as known to this host.
   * @param progress - Progress of the request.
   */
  sent(
    target: Target,
    {online, batch}: TargetLoad,
    progress: RequestProgress,
  ): void {
    this.context.log.event('request-sent', {
      request: this.metadata.requestId,
      route: this.route.name,
      target: target.id,
      softwareVersion: target.softwareVersion,
      run: progress.runs + 1,
      inFlight: online,
      items: batch,
      afterEvent: progress.afterEvent,
      waitedMs: Math.round(progress.ms),
    });
  }

  /**
   * Reports the end of a run that gave no final response.
   *
   * @param event - Name of the log event.
   * @param reason - Why the run ended.
   * @param target - Where the request ran.
   * @param progress - Progress of the request.
   */
  run(
    event: string,
    reason: string,
    target: Target,
    {runs, afterEvent}: RequestProgress,
  ): void {
    this.context.log.event(event, {
      request: this.metadata.requestId,
      target: target.id,
      reason,
      runs,
      afterEvent,
      sharedParts: this.metadata.sharedParts,
    });
  }

  /**
   * Reports that the request ends without a response of a target.
   *
   * @param service - The service whose targets were considered.
   * @param reason - Why there is no response.
   * @param view - State of the targets that the choice was based on.
   * @param search - What the latest search for a target said.
   */
  givenUp(
    service: string,
    reason: string,
    view: ChoiceView,
    {notPlaced, retry}: FailedSearch,
  ): void {
    this.context.log.event('request-given-up', {
      request: this.metadata.requestId,
      service,
      reason,
      ...view,
      cause: notPlaced?.cause,
      ...notPlaced?.figures,
      retryAfterMs: retry && Math.round(retry.delayMs),
      promised: retry?.isPromised,
    });
  }

  /**
   * Reports the end of the request.
   *
   * @param outcome - Outcome of the request.
   * @param progress - Progress of the request.
   * @param status - HTTP status sent to the caller; undefined for streams, and
   *     if nothing was sent.
   * @param target - The target whose response was sent, if any.
   */
  ended(
    outcome: string,
    {runs, declines, ms, firstMs}: RequestProgress,
    status: number | undefined,
    target: Target | undefined,
  ): void {
    this.trace.end(SUCCESSFUL_OUTCOMES.has(outcome) ? undefined : outcome);
    this.context.counters.count('online_requests', {outcome});
    this.context.log.event('request-ended', {
      request: this.metadata.requestId,
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
