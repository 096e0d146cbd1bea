/**
 * Sends a request to a target and records its effect on load, connections and
 * health.
 */
import {
  failure,
  success,
  type Clock,
  type Counters,
  type EventLog,
  type Outcome,
} from '@oathead/core';
import type {ConnectionPool} from '../connection/connection_pool.js';
import {targetKey} from '../connection/load_message.js';
import type {Target} from '../connection/target.js';
import type {TargetConnection} from '../connection/target_connection.js';
import type {Lane, LoadTable} from '../process/load_table.js';
import type {ServiceHealth} from '../process/service_health.js';
import type {ServiceOverload} from '../process/service_overload.js';
import type {TargetDirectory} from '../process/target_directory.js';
import type {TargetSuspensions} from '../process/target_suspensions.js';
import {
  Exchange,
  type EventSink,
  type ExchangeControl,
  type ExchangeOutcome,
  type TargetRequest,
} from './exchange.js';
import {reasonOf} from './exchange_outcome.js';
import {RunMeasurement} from './run_measurement.js';
import type {TargetProtocol} from './target_protocol.js';

/**
 * A target that has sent nothing for this long is suspended, in milliseconds.
 * It may have become unresponsive without closing its connections, and a
 * request that may run only once cannot be moved elsewhere. Longer than the
 * longest wait for a slot.
 */
const SILENT_TARGET_MS = 1000;
const STATUS_SERVER_ERROR = 500;

/** Dependencies shared by all requests of a process. */
export interface SendContext {
  readonly protocol: TargetProtocol;
  readonly pool: ConnectionPool;
  readonly loads: LoadTable;
  readonly suspensions: TargetSuspensions;
  readonly health: ServiceHealth;
  readonly directory: TargetDirectory;
  readonly overload: ServiceOverload;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: EventLog;
}

/** A request in flight and its outcome. */
export interface ActiveSend {
  readonly control: ExchangeControl;
  readonly end: Promise<ExchangeOutcome>;
}

/**
 * Never throws: a target to which no connection can be opened counts as one that
 * refuses connections.
 *
 * @param context - Connections, loads and health of the targets.
 * @param target - The target.
 * @param lane - Whether the request counts as online or as batch load.
 * @param req - The request.
 * @param sink - Receives the events of a stream.
 * @returns The request in flight.
 */
export function sendToTarget(
  context: SendContext,
  target: Target,
  lane: Lane,
  req: TargetRequest,
  sink: EventSink,
): ActiveSend {
  const {pool, loads, clock, protocol} = context;
  const run = new RunMeasurement(context, target, lane);
  const acquired = acquire(context, target, req);
  if (!acquired.ok) return unsent(context, target, lane, acquired.err);
  const connection = acquired.value;
  const load = loads.begin(targetKey(target.id), lane);
  const now = () => clock.now();
  const onActivity = () => context.suspensions.recordActivity(target.id);
  const exchange = new Exchange(connection, req, {
    protocol,
    sink: run.measured(sink),
    now,
    onActivity,
    onError: err =>
      logError('response-handling-failed', context, target, req, err),
  });
  exchange.start();
  const sentAt = clock.now();
  const silenceTimer = clock.after(SILENT_TARGET_MS, () => {
    if (!context.suspensions.hasActivitySince(target.id, sentAt))
      recordFailure(context, target, 'silent');
    // The target responds to most requests, including health checks, but not to
    // this one. Only the sender can detect that, so the target gets a smaller
    // traffic share without being suspended. At a full target, the request may
    // just be queued.
    else if (exchange.firstByteMs === undefined && !isFull(loads, target))
      context.health.recordFailure(target);
  });
  const restartListener = context.directory.onRestarted(target, () =>
    exchange.end('restarted'),
  );
  const end = exchange.outcome$.then(outcome => {
    silenceTimer[Symbol.dispose]();
    restartListener[Symbol.dispose]();
    load[Symbol.dispose]();
    if (exchange.isConnectionReusable) pool.release(target.id, connection);
    else connection[Symbol.dispose]();
    recordOutcome(context, target, lane, outcome, firstByteMsOf(run, exchange));
    if (isComplete(outcome)) run.complete(outcome, exchange.firstByteMs);
    return outcome;
  });
  return {control: exchange, end};
}

/**
 * Guards against one target that ends each request which is sent to it, while
 * others could serve it: a connection may not even be possible to open.
 *
 * @returns A connection, or why there is none.
 */
function acquire(
  context: SendContext,
  target: Target,
  req: TargetRequest,
): Outcome<TargetConnection, string> {
  try {
    return success(context.pool.acquire(target, req.requestId));
  } catch (err) {
    logError('connection-not-opened', context, target, req, err);
    return failure(reasonOf(err));
  }
}

/** @returns The end of a request for which there was no connection. */
function unsent(
  context: SendContext,
  target: Target,
  lane: Lane,
  reason: string,
): ActiveSend {
  const outcome: ExchangeOutcome = {kind: 'unsent', reason};
  recordOutcome(context, target, lane, outcome, undefined);
  const control = {end: () => {}, silentMs: () => 0};
  return {control, end: Promise.resolve(outcome)};
}

/**
 * Time to the first byte relative to the known speed of the target, in
 * milliseconds: a slow target is not faulty, and its lower speed counts
 * already.
 */
function firstByteMsOf(
  run: RunMeasurement,
  {firstByteMs}: Exchange,
): number | undefined {
  return firstByteMs === undefined
    ? undefined
    : run.relativeToTarget(firstByteMs);
}

function isFull(loads: LoadTable, {id, slots}: Target): boolean {
  const {online, batch} = loads.totalAt(targetKey(id));
  return online + batch > slots;
}

function logError(
  event: string,
  {log}: SendContext,
  target: Target,
  {requestId}: TargetRequest,
  err: unknown,
): void {
  log.event(event, {
    request: requestId,
    target: target.id,
    error: err instanceof Error ? err.stack : String(err),
  });
}

/** Updates suspensions and health of the target after a request. */
function recordOutcome(
  context: SendContext,
  target: Target,
  lane: Lane,
  outcome: ExchangeOutcome,
  firstByteMs: number | undefined,
): void {
  const {suspensions, health, counters} = context;
  counters.count('target_exchanges', {end: outcome.kind, lane});
  switch (outcome.kind) {
    case 'answered':
    case 'streamed':
      suspensions.recordSuccess(target.id);
      if (isTargetError(outcome)) health.recordFailure(target);
      else if (lane === 'online')
        health.recordSuccess(target, firstByteMs ?? 0);
      return;
    case 'declined':
      suspensions.recordDecline(target.id);
      return;
    case 'broken':
      if (outcome.unattributed)
        counters.count('unattributed_answers', {reason: outcome.unattributed});
      recordFailure(context, target, outcome.reason);
      return;
    case 'unsent':
      recordFailure(context, target, outcome.reason);
      return;
    case 'ended':
      if (outcome.by === 'silent') recordFailure(context, target, outcome.by);
  }
}

function isComplete(outcome: ExchangeOutcome): boolean {
  return outcome.kind === 'streamed' || outcome.kind === 'answered';
}

function isTargetError(outcome: ExchangeOutcome): boolean {
  return (
    outcome.kind === 'answered' && outcome.head.status >= STATUS_SERVER_ERROR
  );
}

function recordFailure(
  context: SendContext,
  target: Target,
  reason: string,
): void {
  context.suspensions.recordFailure(target.id, reason);
  context.health.recordFailure(target);
}
