/**
 * One caller's request: tried at one target after another, as far as its route
 * allows, until it has a whole answer or its time is over.
 */
import {
  DisposableStore,
  patienceMs,
  sleep,
  type Random,
  type WaitDemand,
} from '@oathead/core';
import {targetKey} from '../connection/load_message.js';
import type {Target} from '../connection/target.js';
import type {
  AdmissionRefusal,
  CallerAdmission,
} from '../process/caller_admission.js';
import type {CallerPatience} from '../process/caller_patience.js';
import {CrashSuspects} from '../process/crash_suspects.js';
import type {RequestPlacement} from '../process/placement.js';
import type {TargetChooser} from '../process/target_chooser.js';
import type {AdmittedRequest} from './admitted_request.js';
import {AnswerWriter} from './answer_writer.js';
import {
  mayHaveCrashed,
  type EndedBy,
  type ExchangeEnd,
  type WholeAnswer,
} from './exchange.js';
import {failureStatus, STATUS_UNAVAILABLE} from './failure_status.js';
import {endToEndHeaders} from './forwarded_headers.js';
import {pickService} from './pick_service.js';
import {
  RequestReport,
  type ReportContext,
  type RequestProgress,
} from './request_report.js';
import {sendToTarget, type SendContext, type Sending} from './target_send.js';
import type {RequestFacts, SenderAccount} from './target_protocol.js';

/** What all online requests of a process share. */
export interface OnlineContext extends SendContext, ReportContext {
  readonly chooser: TargetChooser;
  readonly placement: RequestPlacement;
  readonly random: Random;
  readonly crashes: CrashSuspects;
  readonly patience: CallerPatience;
  readonly admission: CallerAdmission;
}

/** How often a request that waits for a target looks again, in milliseconds. */
const LOOK_AGAIN_MS = 10;
/** How often targets may say that they are full before the request is refused. */
const MAX_DECLINES = 4;
/** How long a target may say nothing before a request that may be repeated
 * goes elsewhere, in milliseconds: well beyond a pause of a loaded engine. */
const SILENCE_MS = 1200;
/** How long a request whose run was cut waits for another target, in ms: it can't
 * be refused as not run any more, and targets are back within a second. */
const RETRY_WAIT_MS = 1500;

/** Ends after which the request may go on at another target. */
const RUN_IS_OVER: ReadonlySet<EndedBy> = new Set(['silent', 'restarted']);

const STATUS_SERVER_ERROR = 500;

/** Serves one request. */
export class OnlineRequest {
  private readonly startedAt: number;
  private readonly endsAt: number;
  private readonly facts: RequestFacts;
  private readonly report: RequestReport;
  private readonly answer: AnswerWriter;
  private readonly tried = new Set<string>();
  private readonly service: string;
  private readonly demand: WaitDemand;
  private readonly print: string;
  private failedAnswer: WholeAnswer | undefined;
  private sending: Sending | undefined;
  private endedBy: EndedBy | undefined;
  private runs = 0;
  private declines = 0;

  /**
   * @param context - Shared by all requests.
   * @param admitted - The request.
   */
  constructor(
    private readonly context: OnlineContext,
    private readonly admitted: AdmittedRequest,
  ) {
    const {req, res, route, body, startedAt, account} = admitted;
    this.startedAt = startedAt;
    this.facts = context.protocol.readRequest(req.headers);
    const waits = this.facts.deadlineMs ?? route.timeoutMs;
    this.endsAt = startedAt + Math.min(waits, route.timeoutMs);
    const headers = endToEndHeaders(req.headers);
    this.report = new RequestReport(
      context,
      route,
      this.facts,
      headers,
      account?.name,
    );
    const now = () => this.now();
    this.answer = new AnswerWriter(res, this.facts.lastEventId, now);
    this.print = CrashSuspects.fingerprintOf(req.url ?? '/', body);
    this.service = pickService(route, context.random);
    const {name, goalMs} = route;
    const priority = account?.priority ?? route.priority;
    const {deadlineMs} = this.facts;
    const returning = context.patience.isReturning(name, deadlineMs);
    this.demand = {goalMs, priority, returning};
  }

  /** Serves the request; never rejects. */
  async serve(): Promise<void> {
    const {res} = this.admitted;
    res.on('close', () => {
      if (!res.writableFinished) this.endBy('caller-left');
    });
    // It may have left while its quota was asked for.
    if (res.closed) this.endBy('caller-left');
    const leftMs = Math.max(0, this.endsAt - this.now());
    using held = new DisposableStore();
    held.add(this.context.clock.after(leftMs, () => this.endBy('timeout')));
    held.add(this.watchSilence());
    while (!(await this.attempt()));
  }

  /** @returns Whether the request is over. */
  private async attempt(): Promise<boolean> {
    if (this.context.crashes.isBlocked(this.print))
      return this.giveUp('suspect');
    const target = await this.findTarget();
    if (this.endedBy) return this.giveUp(this.endedBy);
    const refusal = this.refusalNow();
    if (refusal) return this.giveUp(refusal);
    if (!target) return this.giveUp('no target');
    const end = await this.send(target);
    return this.settle(end, target);
  }

  private async findTarget(): Promise<Target | undefined> {
    const {chooser, placement, clock} = this.context;
    const {service, demand, tried} = this;
    // With few targets all may have been tried; the run there has ended.
    if (!chooser.hasOther(service, tried)) tried.clear();
    const until = this.now() + this.patienceMs();
    for (;;) {
      const target = await placement.forRequest(service, demand, tried);
      if (target || this.endedBy) return target;
      if (this.now() >= until) return undefined;
      await sleep(clock, LOOK_AGAIN_MS);
    }
  }

  /**
   * Guards against a key that is withdrawn, or a host that stands still, while the
   * request waits: what was true when it came may not be true when it is sent. A
   * stream that has begun goes on.
   */
  private refusalNow(): AdmissionRefusal | undefined {
    if (this.answer.begun) return undefined;
    const {admission} = this.context;
    const now = admission.admit(this.facts.key, this.admitted.route);
    if (now.kind === 'refused') return now.reason;
    const isSame = now.account?.name === this.admitted.account?.name;
    return isSame ? undefined : 'unknown-key';
  }

  private senderAccount(): SenderAccount | undefined {
    if (!this.context.admission.inForce) return undefined;
    return {name: this.admitted.account?.name};
  }

  private patienceMs(): number {
    if (this.answer.begun || this.runs > 0) return RETRY_WAIT_MS;
    return this.startedAt + patienceMs(this.demand) - this.now();
  }

  private async send(target: Target): Promise<ExchangeEnd> {
    const {context, answer} = this;
    this.tried.add(target.id);
    const load = context.loads.at(targetKey(target.id));
    this.report.sent(target, load, this.progress());
    const hop = this.report.trace.toTarget(target.serverId, this.runs + 1);
    const facts = {
      requestId: this.facts.requestId,
      serverId: target.serverId,
      deadlineMs: Math.max(1, Math.floor(this.endsAt - this.now())),
      lastEventId: answer.lastEventId,
      account: this.senderAccount(),
    };
    const req = {
      requestId: this.facts.requestId,
      method: this.admitted.req.method ?? 'GET',
      path: this.admitted.req.url ?? '/',
      headers: context.protocol.requestHeaders(hop.headers, facts),
      body: this.admitted.body,
      firstEventId: answer.nextEventId,
    };
    this.sending = sendToTarget(context, target, 'online', req, answer);
    const end = await this.sending.end;
    this.sending = undefined;
    hop.end(end.kind);
    return end;
  }

  /** @returns Whether the request is over. */
  private settle(end: ExchangeEnd, target: Target): boolean {
    if (!this.answer.begun && mayHaveCrashed(end))
      this.context.crashes.broke(this.print, target.id);
    switch (end.kind) {
      case 'answered':
        // A run that should have gone on with a stream refused to.
        if (this.answer.begun) return this.runAgain('failed', target);
        if (end.head.status >= STATUS_SERVER_ERROR && this.mayRunOnceMore())
          return this.afterFailure(end, target);
        this.context.crashes.answered(this.print);
        this.answer.whole(end.head, end.body);
        return this.done('answered', end.head.status, target);
      case 'streamed':
        this.answer.end(end.head);
        return this.done('streamed', undefined, target);
      case 'declined':
        this.declines++;
        this.tried.delete(target.id);
        this.note('request-declined', end.kind, target);
        return this.declines > MAX_DECLINES ? this.giveUp('declined') : false;
      case 'unsent':
        this.note('request-unsent', end.reason, target);
        return this.declines++ > MAX_DECLINES ? this.giveUp('unsent') : false;
      case 'broken':
        return this.runAgain(end.reason, target);
      case 'ended':
        return RUN_IS_OVER.has(end.by)
          ? this.runAgain(end.by, target)
          : this.giveUp(end.by);
    }
  }

  /** A target that fails a request, which may be repeated: another one may not.
   * What it answered is kept for the case that none does better. */
  private afterFailure(answer: WholeAnswer, target: Target): false {
    this.runs++;
    this.failedAnswer = answer;
    this.note('request-failed', String(answer.head.status), target);
    return false;
  }

  /** After a run that gave no answer. @returns Whether the request is over. */
  private runAgain(reason: string, target: Target): boolean {
    this.note('request-broken', reason, target);
    const more = this.mayRunOnceMore();
    this.runs++;
    return more ? false : this.giveUp(reason);
  }

  private mayRunOnceMore(): boolean {
    const {route} = this.admitted;
    const repeatable = route.idempotent || route.resumable;
    return repeatable && this.runs + 1 < route.maxAttempts && !this.endedBy;
  }

  /**
   * Answers at once that there will be no answer: "not run" only where no
   * target may have run it. A stream that has begun is broken off, which no
   * caller takes for its end.
   *
   * @returns That the request is over.
   */
  private giveUp(reason: string): boolean {
    if (reason === 'caller-left') return this.done(reason);
    if (this.answer.begun) {
      this.answer.breakOff();
      return this.done(reason);
    }
    if (this.failedAnswer && reason !== 'timeout') {
      const {head, body} = this.failedAnswer;
      this.answer.whole(head, body);
      return this.done(reason, head.status);
    }
    const {service} = this;
    this.report.givenUp(service, reason, this.context.chooser.view(service));
    const status = failureStatus(reason, this.runs);
    if (this.runs === 0)
      this.context.admission.giveBackQuota(this.admitted.account);
    const retry =
      status === STATUS_UNAVAILABLE
        ? this.context.protocol.retryAfter(this.returnAfterMs())
        : {};
    this.answer.failure(status, retry);
    return this.done(reason, status);
  }

  private returnAfterMs(): number {
    const {protocol, overload} = this.context;
    const leftMs = this.endsAt - this.now();
    const latestMs = protocol.latestReturnMs(leftMs);
    return overload.returnAfterMs(this.service, latestMs);
  }

  private endBy(by: EndedBy): void {
    this.endedBy ??= by;
    this.sending?.control.end(by);
  }

  /** Ends a run at a target that has gone silent, if it may go on elsewhere. */
  private watchSilence(): Disposable {
    const {idempotent, resumable} = this.admitted.route;
    if (!idempotent && !resumable) return {[Symbol.dispose]: () => {}};
    const timer = setInterval(() => {
      const control = this.sending?.control;
      if (!control || !this.mayRunOnceMore()) return;
      if (control.silentMs(this.now()) > SILENCE_MS) control.end('silent');
    }, SILENCE_MS / 4);
    return {[Symbol.dispose]: () => clearInterval(timer)};
  }

  private note(event: string, reason: string, target: Target): void {
    this.report.run(event, reason, target, this.progress());
  }

  private done(outcome: string, status?: number, target?: Target): true {
    this.report.ended(outcome, this.progress(), status, target);
    return true;
  }

  private progress(): RequestProgress {
    const {runs, declines} = this;
    const ms = this.now() - this.startedAt;
    const {begunAt, lastEventId: afterEvent} = this.answer;
    const firstMs =
      begunAt === undefined ? undefined : begunAt - this.startedAt;
    return {runs, declines, ms, firstMs, afterEvent};
  }

  private now(): number {
    return this.context.clock.now();
  }
}
