/** Sends a request to a target and keeps the books: load, connection, health. */
import type {Clock, Counters} from '@oathead/core';
import type {ConnectionPool} from '../connection/connection_pool.js';
import {targetKey} from '../connection/load_message.js';
import type {Target} from '../connection/target.js';
import type {Lane, LoadTable} from '../process/load_table.js';
import type {ServiceHealth} from '../process/service_health.js';
import type {ServiceOverload} from '../process/service_overload.js';
import type {TargetDirectory} from '../process/target_directory.js';
import type {TargetSuspensions} from '../process/target_suspensions.js';
import {
  Exchange,
  type EventSink,
  type ExchangeControl,
  type ExchangeEnd,
  type TargetRequest,
} from './exchange.js';
import type {TargetProtocol} from './target_protocol.js';

/** A target that has said nothing for so long gets nothing new for a while, in
 * milliseconds: it may have gone dark, and who waits for it can't go elsewhere
 * where a request may run once only. Beyond the longest wait for a slot. */
const SILENT_TARGET_MS = 1000;
const STATUS_SERVER_ERROR = 500;

/** What sending needs, the same for all requests of a process. */
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
}

/** A request under way, and what becomes of it. */
export interface Sending {
  readonly control: ExchangeControl;
  readonly end: Promise<ExchangeEnd>;
}

/**
 * @param context - Connections, loads and health of the targets.
 * @param target - Where it goes.
 * @param lane - What it counts as.
 * @param req - What is sent.
 * @param sink - Takes the events of a stream.
 * @returns The request, under way.
 */
export function sendToTarget(
  context: SendContext,
  target: Target,
  lane: Lane,
  req: TargetRequest,
  sink: EventSink,
): Sending {
  const {pool, loads, clock, protocol} = context;
  const foundFree = hasFreeSlot(loads, target);
  const load = loads.begin(targetKey(target.id), lane);
  const connection = pool.take(target.id, target.address);
  const now = () => clock.now();
  const onHeard = () => context.suspensions.heard(target.id);
  const exchange = new Exchange(connection, req, {
    protocol,
    sink,
    now,
    onHeard,
  });
  exchange.start();
  const sentAt = clock.now();
  const silence = clock.after(SILENT_TARGET_MS, () => {
    if (!context.suspensions.heardSince(target.id, sentAt))
      suspect(context, target, 'silent');
    // Guards against a target that answers most requests and leaves some
    // without a word: its health check is good, and only who was sent to it
    // sees what is missing. It loses share, but is not suspended. At a full
    // target a request may just be waiting for its turn.
    else if (exchange.firstByteMs === undefined && !isFull(loads, target))
      context.health.failed(target);
  });
  const restart = context.directory.onceRestarted(target, () =>
    exchange.end('restarted'),
  );
  const end = exchange.end$.then(outcome => {
    silence[Symbol.dispose]();
    restart[Symbol.dispose]();
    load[Symbol.dispose]();
    if (exchange.leavesConnectionUsable) pool.keep(target.id, connection);
    else connection[Symbol.dispose]();
    judge(context, target, lane, outcome, exchange.firstByteMs);
    const firstByteMs = exchange.firstByteMs;
    if (lane === 'online' && foundFree && isWhole(outcome) && firstByteMs)
      context.overload.ran(target.service, {
        firstByteMs,
        runMs: clock.now() - sentAt,
      });
    return outcome;
  });
  return {control: exchange, end};
}

function hasFreeSlot(loads: LoadTable, {id, slots}: Target): boolean {
  const {online, batch} = loads.at(targetKey(id));
  return online + batch < slots;
}

function isFull(loads: LoadTable, {id, slots}: Target): boolean {
  const {online, batch} = loads.at(targetKey(id));
  return online + batch > slots;
}

/** What an end says of the target. */
function judge(
  context: SendContext,
  target: Target,
  lane: Lane,
  end: ExchangeEnd,
  firstByteMs: number | undefined,
): void {
  const {suspensions, health, counters} = context;
  counters.count('target_exchanges', {end: end.kind, lane});
  switch (end.kind) {
    case 'answered':
    case 'streamed':
      suspensions.succeeded(target.id);
      if (isTargetError(end)) health.failed(target);
      else if (lane === 'online') health.answered(target, firstByteMs ?? 0);
      return;
    case 'declined':
      suspensions.declined(target.id);
      return;
    case 'unsent':
    case 'broken':
      suspect(context, target, end.reason);
      return;
    case 'ended':
      if (end.by === 'silent') suspect(context, target, end.by);
  }
}

function isWhole(end: ExchangeEnd): boolean {
  return end.kind === 'streamed' || end.kind === 'answered';
}

function isTargetError(end: ExchangeEnd): boolean {
  return end.kind === 'answered' && end.head.status >= STATUS_SERVER_ERROR;
}

function suspect(context: SendContext, target: Target, reason: string): void {
  context.suspensions.failed(target.id, reason);
  context.health.failed(target);
}
