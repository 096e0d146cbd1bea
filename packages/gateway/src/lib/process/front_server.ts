/** Admits the requests of callers and hands them to what serves them. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  admitDuringStop,
  type ClientAccount,
  type EventLog,
  type PlannedStop,
  type QuotaVerdict,
} from '@oathead/core';
import {refuse, type Call, type Refusal} from '../request/host_refusal.js';
import {OnlineRequest, type OnlineContext} from '../request/online_request.js';
import type {AdmissionRefusal} from './caller_admission.js';
import {CrashSuspects} from './crash_suspects.js';
import {CallerServer} from './caller_server.js';
import type {OpenRequest} from './open_requests.js';
import {quotaDemand} from '../request/quota_demand.js';
import {readBody} from '../request/read_body.js';
import {requestDeadline} from '../request/request_deadline.js';
import {
  OUTLASTS_STOP,
  STOPPING_RETRY_DELAY_MS,
} from '../request/stop_refusal.js';
import type {RouteMatcher} from '../version/route_matcher.js';
import type {RoutingState} from '../version/routing_state.js';
import type {Route} from '../version/routing_table.js';

/** A request together with the configuration that applies to it. */
export interface RoutedRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly matcher: RouteMatcher;
  readonly route: Route | undefined;
  /** Account of the caller; undefined if the route does not require one. */
  readonly account: ClientAccount | undefined;
}

/** Handles the requests of the batch API. */
export interface BatchApi {
  /**
   * @param req - A request.
   * @param matcher - The configuration that applies to it.
   * @returns Whether a path of the batch API itself is more specific than the
   *     route that matches the request.
   */
  overridesRoute(req: IncomingMessage, matcher: RouteMatcher): boolean;
  /** @returns Whether the request belongs to the batch API. */
  accepts(request: Omit<RoutedRequest, 'account'>): boolean;
  /**
   * Answers such a request; never rejects.
   *
   * @param request - The request.
   * @param body - Its complete body.
   */
  handle(request: RoutedRequest, body: Buffer): Promise<void>;
}

/** Dependencies of {@link FrontServer}. */
export interface FrontServerContext {
  readonly online: OnlineContext;
  readonly routing: RoutingState;
  readonly batch: BatchApi;
  readonly log: EventLog;
  /** @returns The planned stop in progress; undefined if there is none. */
  readonly plannedStop: () => PlannedStop | undefined;
}

/**
 * Longest time of a call of the batch API once its body has arrived, in
 * milliseconds: four writes to a store that does not respond, and the pauses
 * between them. A call that stores large objects first may take longer; it can be
 * repeated, and is told at the end of a stop that its outcome is not known.
 */
const MAX_JOB_CALL_MS = 5500;
/**
 * Retry delay for callers of a host whose configuration is stale, in
 * milliseconds. It is short because the caller can retry at another host
 * immediately.
 */
const STALE_RETRY_DELAY_MS = 50;
const STATUS_UNAUTHORIZED = 401;
const STATUS_NOT_FOUND = 404;
const STATUS_TOO_LARGE = 413;
const STATUS_OVER_QUOTA = 429;
const STATUS_SERVER_ERROR = 500;
const STATUS_UNAVAILABLE = 503;

const NO_CONFIG: Refusal = {status: STATUS_UNAVAILABLE, reason: 'no config'};
const NO_ROUTE: Refusal = {status: STATUS_NOT_FOUND, reason: 'no route'};

/** Serves callers. */
export class FrontServer {
  /** Accepts the callers. */
  readonly server: CallerServer;

  /** @param context - Routes, targets and the batch API. */
  constructor(private readonly context: FrontServerContext) {
    this.server = new CallerServer({...context.online, ...context}, open => {
      this.handle(open).catch((err: unknown) =>
        this.failUnexpectedly(open, err),
      );
    });
    const {routing} = context;
    routing.onAdopted(table => this.server.applyBounds(table.bounds));
  }

  private async handle(open: OpenRequest): Promise<void> {
    const {req, res} = open;
    const matcher = this.context.routing.current;
    if (!matcher) return this.refuse({req, res}, NO_CONFIG);
    const route = this.context.batch.overridesRoute(req, matcher)
      ? undefined
      : matcher.match(req.headers.host, req.url ?? '/');
    const found = {req, res, matcher, route};
    const isBatch = this.context.batch.accepts(found);
    if (!isBatch && !route) return this.refuse({req, res}, NO_ROUTE);
    const {admission, protocol} = this.context.online;
    const {key} = protocol.readRequest(req.headers);
    const admitted = admission.admit(key, route);
    if (admitted.kind === 'refused')
      return this.refuseUnadmitted(found, admitted.reason);
    const onlineRoute = isBatch ? undefined : route;
    if (this.refuseDuringStop(open, onlineRoute)) return undefined;
    const routed: RoutedRequest = {...found, account: admitted.account};
    if (isBatch || !route) return this.handleBatch(routed, matcher, open);
    return this.handleOnline({...routed, route}, matcher, open);
  }

  /**
   * Refuses a caller that was not admitted. If the configuration of this host
   * is too old to authenticate callers, sends the caller to another host.
   */
  private refuseUnadmitted(call: Call, reason: AdmissionRefusal): void {
    if (reason !== 'stale')
      return this.refuse(call, {status: STATUS_UNAUTHORIZED, reason});
    call.res.setHeader('connection', 'close');
    const returnAfterMs = STALE_RETRY_DELAY_MS;
    this.refuse(call, {status: STATUS_UNAVAILABLE, reason, returnAfterMs});
  }

  private async handleBatch(
    routed: RoutedRequest,
    matcher: RouteMatcher,
    open: OpenRequest,
  ): Promise<void> {
    const body = await this.readBodyOrRefuse(routed, matcher);
    if (!body || routed.res.headersSent) return;
    // Its body may have taken long to arrive.
    if (this.refuseDuringStop(open, undefined)) return;
    open.work = {kind: 'job-call'};
    await this.context.batch.handle(routed, body);
  }

  /**
   * Refuses a request that may outlast the planned stop. Its caller can send it
   * to another host at once, whereas one that is cut off may have run.
   *
   * @returns Whether it is refused.
   */
  private refuseDuringStop(
    open: OpenRequest,
    onlineRoute: Route | undefined,
  ): boolean {
    const {online, plannedStop} = this.context;
    const stop = plannedStop();
    if (!stop) return false;
    const now = online.clock.now();
    const endsAt = this.latestEnd(open, onlineRoute);
    const verdict = admitDuringStop(stop, endsAt, now);
    if (verdict.kind === 'take') return false;
    const {connectionUse: connection} = open;
    online.counters.count('requests_refused_by_stop', {connection});
    this.refuse(open, {
      status: STATUS_UNAVAILABLE,
      reason: OUTLASTS_STOP,
      returnAfterMs: STOPPING_RETRY_DELAY_MS,
      fields: {
        connection,
        sinceStopMs: Math.round(verdict.sinceStopMs),
        leftMs: Math.round(verdict.leftMs),
        neededMs: Math.round(verdict.neededMs),
      },
    });
    return true;
  }

  /** @returns When the request has ended at the latest, in monotonic ms. */
  private latestEnd(
    {req, arrivedAt}: OpenRequest,
    route: Route | undefined,
  ): number {
    const {clock, protocol} = this.context.online;
    if (!route) return clock.now() + MAX_JOB_CALL_MS;
    const {deadlineMs} = protocol.readRequest(req.headers);
    return requestDeadline(route, deadlineMs, arrivedAt);
  }

  private async handleOnline(
    routed: RoutedRequest & {readonly route: Route},
    matcher: RouteMatcher,
    open: OpenRequest,
  ): Promise<void> {
    const {arrivedAt: startedAt} = open;
    const body = await this.readBodyOrRefuse(routed, matcher);
    if (!body) return;
    const {online} = this.context;
    const {req, res, route, account} = routed;
    const {deadlineMs} = online.protocol.readRequest(req.headers);
    const returning = online.retryDetector.isRetry(route.name, deadlineMs);
    const fingerprint = CrashSuspects.fingerprintOf(req.url ?? '/', body);
    const caller = {account, returning, fingerprint};
    const request = {req, res, route, body, startedAt, ...caller};
    const demand = quotaDemand(request, online);
    const quota = await online.admission.takeQuota(account, demand);
    // The process may have come to its end meanwhile.
    if (res.headersSent) return;
    if (quota.kind === 'over') return this.refuseOverQuota(routed, quota);
    const {grantedAt} = quota;
    const onlineRequest = new OnlineRequest(online, {...request, grantedAt});
    open.work = {kind: 'online', request: onlineRequest};
    await onlineRequest.serve();
  }

  /**
   * Refuses a request beyond its quota. A caller that returns in time finds the
   * room that is reserved for it. If there is no room within the time after
   * which it would return, it is told the true time: with a shorter one it
   * would return to be refused again.
   */
  private refuseOverQuota(
    routed: RoutedRequest,
    {waitMs: returnAfterMs, isReserved}: Extract<QuotaVerdict, {kind: 'over'}>,
  ): void {
    const outcome = isReserved ? 'made' : 'none';
    this.context.online.counters.count('quota_promises', {outcome});
    const account = routed.account?.name;
    const reason = 'over-quota';
    const refusal = {status: STATUS_OVER_QUOTA, reason, returnAfterMs};
    this.refuse(routed, {...refusal, fields: {isReserved, account}});
  }

  /**
   * Ends one request whose handling has thrown. Guards against a process that
   * ends, with all requests on it, because of one of them. The response does not
   * state that the request has not run, since a target may have got it.
   */
  private failUnexpectedly({req, res}: Call, err: unknown): void {
    const {online, log} = this.context;
    log.event('request-handling-failed', {
      request: online.protocol.readRequest(req.headers).requestId,
      path: req.url,
      host: req.headers.host,
      error: err instanceof Error ? err.stack : String(err),
    });
    if (res.headersSent) {
      res.destroy();
      return;
    }
    res.writeHead(STATUS_SERVER_ERROR, {'content-length': 0}).end();
    req.resume();
  }

  /**
   * @returns The request body; undefined if it could not be read. A body that
   *     is too large is answered with an error.
   */
  private async readBodyOrRefuse(
    call: Call,
    matcher: RouteMatcher,
  ): Promise<Buffer | undefined> {
    const {maxBodyBytes} = matcher.table.bounds;
    const body = await readBody(call.req, maxBodyBytes);
    if (body.ok) return body.value;
    if (body.err === 'too-large')
      this.refuse(call, {status: STATUS_TOO_LARGE, reason: body.err});
    return undefined;
  }

  private refuse(call: Call, refusal: Refusal): void {
    const {online, log} = this.context;
    const fields = {...refusal.fields, ...online.admission.logFields};
    refuse({...online, log}, call, {...refusal, fields});
  }
}
