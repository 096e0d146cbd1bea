/**
 * Serves one request of a caller. Tries one target after another, as far as the
 * route allows, until there is a complete response or the deadline has passed.
 */
import {DisposableStore, type PlannedStop, type Random} from '@oathead/core';
import {targetKey} from '../connection/load_message.js';
import type {Target} from '../connection/target.js';
import type {CallerAdmission} from '../process/caller_admission.js';
import type {CallerRetryDetector} from '../process/caller_retry_detector.js';
import type {LateQueue} from '../process/late_queue.js';
import type {RequestPlacement} from '../process/placement.js';
import type {TargetChooser} from '../process/target_chooser.js';
import type {AdmittedRequest} from './admitted_request.js';
import {ResponseWriter} from './response_writer.js';
import {
  type AbortReason,
  type ExchangeOutcome,
  type CompleteResponse,
} from './exchange.js';
import {
  CrashCheck,
  type CrashCheckContext,
  type CrashRefusal,
} from './crash_check.js';
import {failureStatus, STATUS_UNAVAILABLE} from './failure_status.js';
import {forwardedRequest} from './forwarded_request.js';
import {endToEndHeaders} from './forwarded_headers.js';
import {pickService} from './pick_service.js';
import {requestDeadline} from './request_deadline.js';
import {
  RequestReport,
  type ReportContext,
  type RequestProgress,
} from './request_report.js';
import {SendAdmission} from './send_admission.js';
import {watchSilence} from './silence_watch.js';
import {
  OUTLASTS_STOP,
  STOPPING_RETRY_DELAY_MS,
  stopRefusal,
} from './stop_refusal.js';
import {
  StreamContinuation,
  type StreamContinuationContext,
} from './stream_continuation.js';
import {
  sendToTarget,
  type SendContext,
  type ActiveSend,
} from './target_send.js';
import {TargetSearch, type RetryAdvice} from './target_search.js';
import type {RequestMetadata} from './target_protocol.js';

/** Dependencies shared by all online requests of a process. */
export interface OnlineContext
  extends
    SendContext,
    ReportContext,
    StreamContinuationContext,
    CrashCheckContext {
  readonly chooser: TargetChooser;
  readonly placement: RequestPlacement;
  readonly lateQueue: LateQueue;
  /** @returns Whether coordinators schedule the returns of callers. */
  readonly schedulesReturns: () => boolean;
  readonly random: Random;
  readonly retryDetector: CallerRetryDetector;
  readonly admission: CallerAdmission;
  /** @returns The planned stop in progress; undefined if there is none. */
  readonly plannedStop: () => PlannedStop | undefined;
}

/** How many times targets may decline a request before it is refused. */
const MAX_DECLINES = 4;
/**
 * Reasons for an abort after which the request may be retried at another
 * target.
 */
const RETRYABLE_ABORTS: ReadonlySet<AbortReason> = new Set([
  'silent',
  'restarted',
]);

const STATUS_SERVER_ERROR = 500;
/** No target is left of the software version that began the stream. */
const VERSION_GONE = 'software version gone';
/** Several versions may have begun the stream, and no host knows which one. */
const VERSION_UNKNOWN = 'software version unknown';
const CRASH_REFUSALS: readonly CrashRefusal[] = [
  'suspect',
  'prompt part blocked',
];
/**
 * Refusals of requests that nobody can serve before their callers have given
 * them up: a time to return would only bring them back to be refused again.
 */
const FINAL_REASONS: ReadonlySet<string> = new Set([
  VERSION_GONE,
  VERSION_UNKNOWN,
  ...CRASH_REFUSALS,
]);

/** Serves one online request. */
export class OnlineRequest {
  private readonly startedAt: number;
  private readonly deadlineAt: number;
  private readonly metadata: RequestMetadata;
  private readonly report: RequestReport;
  private readonly writer: ResponseWriter;
  private readonly search: TargetSearch;
  private readonly admission: SendAdmission;
  private readonly service: string;
  private readonly stream: StreamContinuation;
  private readonly crashes: CrashCheck;
  private lastFailedResponse: CompleteResponse | undefined;
  private activeSend: ActiveSend | undefined;
  private sentTo: Target | undefined;
  private abortReason: AbortReason | undefined;
  private runs = 0;
  private declines = 0;

  /**
   * @param context - Shared dependencies.
   * @param admitted - The request.
   */
  constructor(
    private readonly context: OnlineContext,
    private readonly admitted: AdmittedRequest,
  ) {
    const {req, res, route, startedAt, account} = admitted;
    this.startedAt = startedAt;
    this.metadata = context.protocol.readRequest(req.headers);
    const {deadlineMs} = this.metadata;
    this.deadlineAt = requestDeadline(route, deadlineMs, startedAt);
    const headers = endToEndHeaders(req.headers);
    this.report = new RequestReport(
      context,
      route,
      this.metadata,
      headers,
      account?.name,
    );
    const now = () => this.now();
    this.writer = new ResponseWriter(res, this.metadata.lastEventId, now);
    this.service = pickService(route, context.random);
    const {sharedParts} = this.metadata;
    this.crashes = new CrashCheck(context, {
      fingerprint: admitted.fingerprint,
      prompt: {service: this.service, sharedParts},
    });
    const {goalMs} = route;
    const priority = account?.priority ?? route.priority;
    const {returning} = admitted;
    this.search = new TargetSearch(context, {
      requestId: this.metadata.requestId,
      service: this.service,
      demand: {goalMs, priority, returning, account: account?.name},
      startedAt,
      deadlineAt: this.deadlineAt,
    });
    this.stream = new StreamContinuation(context, {
      metadata: this.metadata,
      isResumable: route.resumable,
      deadlineAt: this.deadlineAt,
      search: this.search,
      writer: this.writer,
    });
    this.admission = new SendAdmission(context, admitted, this.metadata.key);
  }

  /**
   * ID of the target that the request was last sent to; undefined if it was not
   * sent yet.
   */
  get targetId(): string | undefined {
    return this.sentTo?.id;
  }

  /** Serves the request; never rejects. */
  async serve(): Promise<void> {
    const {res} = this.admitted;
    res.on('close', () => {
      if (!res.writableFinished) this.abort('caller-left');
    });
    // The caller may have disconnected while its quota was requested.
    if (res.closed) this.abort('caller-left');
    const leftMs = Math.max(0, this.deadlineAt - this.now());
    using disposables = new DisposableStore();
    disposables.add(
      this.context.clock.after(leftMs, () => this.abort('timeout')),
    );
    if (this.isRepeatable) disposables.add(this.startSilenceWatch());
    if (!(await this.stream.learnVersion(this.service))) {
      this.giveUp(this.abortReason ?? VERSION_UNKNOWN);
      return;
    }
    while (!(await this.attempt()));
  }

  /**
   * Ends the request because the process ends: with a status that says whether
   * it may have run, or by breaking off the response that has begun.
   */
  stop(): void {
    this.abort('stop');
  }

  /** @returns Whether the request is finished. */
  private async attempt(): Promise<boolean> {
    const blocked = await this.crashes.refusal();
    if (blocked) return this.giveUp(blocked);
    const hasRun = this.writer.hasStarted || this.runs > 0;
    const target = await this.search.find(hasRun);
    if (this.abortReason) return this.giveUp(this.abortReason);
    // A stream that has started continues.
    const refusal = this.writer.hasStarted
      ? undefined
      : this.admission.recheck();
    if (refusal) return this.giveUp(refusal);
    if (!target)
      return this.giveUp(
        this.search.isVersionGone ? VERSION_GONE : 'no target',
      );
    const late = hasRun ? undefined : await this.admission.renewQuota();
    const stop = hasRun ? undefined : this.context.plannedStop();
    const stopping = stopRefusal(stop, this.deadlineAt, this.now());
    const reason =
      this.abortReason ?? late ?? this.crashes.recheck() ?? stopping;
    if (reason) return this.giveUp(reason);
    const outcome = await this.send(target);
    return this.handleOutcome(outcome, target);
  }

  private async send(target: Target): Promise<ExchangeOutcome> {
    const {context, writer} = this;
    this.sentTo = target;
    this.search.tried.add(target.id);
    const load = context.loads.totalAt(targetKey(target.id));
    this.report.sent(target, load, this.progress());
    const targetSpan = this.report.trace.startTargetSpan(
      target.serverId,
      this.runs + 1,
    );
    const req = forwardedRequest(context.protocol, this.admitted, target, {
      metadata: this.metadata,
      headers: targetSpan.headers,
      leftMs: this.deadlineAt - this.now(),
      account: this.admission.senderAccount,
      writer,
    });
    const evidence = this.crashes.beginRun();
    const sink = evidence.watched(this.stream.sinkFor(target));
    this.activeSend = sendToTarget(context, target, 'online', req, sink);
    const outcome = await this.activeSend.end;
    this.activeSend = undefined;
    targetSpan.end(outcome.kind);
    evidence.recordOutcome(outcome, target);
    return outcome;
  }

  /** @returns Whether the request is finished. */
  private handleOutcome(outcome: ExchangeOutcome, target: Target): boolean {
    switch (outcome.kind) {
      case 'answered':
        // The target was asked to resume a stream and sent another response
        // instead.
        if (this.writer.hasStarted) return this.retryOrGiveUp('failed', target);
        if (outcome.head.status >= STATUS_SERVER_ERROR && this.canRetry())
          return this.recordFailedResponse(outcome, target);
        this.writer.sendComplete(outcome.head, outcome.body);
        return this.finish('answered', outcome.head.status, target);
      case 'streamed':
        this.writer.endStream(outcome.head);
        this.stream.end();
        return this.finish('streamed', undefined, target);
      case 'declined':
        this.declines++;
        this.search.tried.delete(target.id);
        this.logRun('request-declined', outcome.kind, target);
        return this.declines > MAX_DECLINES ? this.giveUp('declined') : false;
      case 'unsent':
        this.logRun('request-unsent', outcome.reason, target);
        return this.declines++ > MAX_DECLINES ? this.giveUp('unsent') : false;
      case 'broken':
        return this.retryOrGiveUp(outcome.reason, target);
      case 'ended':
        if (RETRYABLE_ABORTS.has(outcome.by))
          return this.retryOrGiveUp(outcome.by, target);
        // Its status must not say that it has not run.
        if (outcome.by === 'stop') this.runs++;
        return this.giveUp(outcome.by);
    }
  }

  /**
   * Keeps the error response of a target for a request that can be retried. It
   * is sent to the caller only if no other target succeeds.
   *
   * @returns False: the request is not finished.
   */
  private recordFailedResponse(
    response: CompleteResponse,
    target: Target,
  ): false {
    this.runs++;
    this.lastFailedResponse = response;
    this.logRun('request-failed', String(response.head.status), target);
    return false;
  }

  /**
   * Handles a run that ended without a usable response.
   *
   * @returns Whether the request is finished.
   */
  private retryOrGiveUp(reason: string, target: Target): boolean {
    this.logRun('request-broken', reason, target);
    const retry = this.canRetry();
    this.runs++;
    return retry ? false : this.giveUp(reason);
  }

  private get isRepeatable(): boolean {
    return this.admitted.route.idempotent || this.admitted.route.resumable;
  }

  private canRetry(): boolean {
    const {route} = this.admitted;
    const mayRunAgain = this.writer.hasStarted
      ? route.resumable && this.writer.canGoOn
      : this.isRepeatable;
    return (
      mayRunAgain && this.runs + 1 < route.maxAttempts && !this.abortReason
    );
  }

  /**
   * Ends the request without a successful response. The status states that the
   * request did not run only if no target may have run it. If a stream has
   * started, the connection is closed, so that the caller cannot mistake the
   * interruption for the end of the stream.
   *
   * @returns True: the request is finished.
   */
  private giveUp(reason: string): boolean {
    if (reason === 'caller-left') return this.finish(reason);
    if (this.writer.hasStarted) {
      this.writer.abort();
      return this.finish(reason);
    }
    if (this.lastFailedResponse && reason !== 'timeout') {
      const {head, body} = this.lastFailedResponse;
      this.writer.sendComplete(head, body);
      return this.finish(reason, head.status);
    }
    const {service} = this;
    const status = failureStatus(reason, this.runs);
    const mayReturn =
      status === STATUS_UNAVAILABLE && !FINAL_REASONS.has(reason);
    const retry = mayReturn ? this.retryAdvice(reason) : undefined;
    const view = this.context.chooser.view(service);
    this.report.givenUp(service, reason, view, {
      retry,
      notPlaced: this.search.notPlaced,
    });
    if (this.runs === 0) this.admission.refundQuota(retry?.delayMs);
    const headers = retry && this.context.protocol.retryAfter(retry.delayMs);
    this.writer.sendFailure(status, headers ?? {});
    return this.finish(reason, status);
  }

  private retryAdvice(reason: string): RetryAdvice {
    const advice = this.search.retry();
    return reason === OUTLASTS_STOP || reason === 'stop'
      ? {...advice, delayMs: STOPPING_RETRY_DELAY_MS, isPromised: false}
      : advice;
  }

  private abort(by: AbortReason): void {
    this.abortReason ??= by;
    this.search.stop();
    this.activeSend?.control.end(by);
  }

  private startSilenceWatch(): Disposable {
    const movableRun = () =>
      this.canRetry() ? this.activeSend?.control : undefined;
    return watchSilence(movableRun, () => this.now());
  }

  private logRun(event: string, reason: string, target: Target): void {
    this.report.run(event, reason, target, this.progress());
  }

  private finish(outcome: string, status?: number, target?: Target): true {
    this.report.ended(outcome, this.progress(), status, target);
    return true;
  }

  private progress(): RequestProgress {
    const {runs, declines} = this;
    const ms = this.now() - this.startedAt;
    const {firstWriteAt, lastEventId: afterEvent} = this.writer;
    const firstMs =
      firstWriteAt === undefined ? undefined : firstWriteAt - this.startedAt;
    return {runs, declines, ms, firstMs, afterEvent};
  }

  private now(): number {
    return this.context.clock.now();
  }
}
