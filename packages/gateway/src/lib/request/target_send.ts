/** Sends a request to a target and keeps the books: load, connection, health. */
import type {Clock, Counters} from '@oathead/core';
import type {ConnectionPool} from '../connection/connection_pool.js';
import {targetKey} from '../connection/load_message.js';
import type {Target} from '../connection/target.js';
import type {Lane, LoadTable} from '../process/load_table.js';
import type {TargetSuspensions} from '../process/target_suspensions.js';
import {
  Exchange,
  type EventSink,
  type ExchangeControl,
  type ExchangeEnd,
  type TargetRequest,
} from './exchange.js';
import type {TargetProtocol} from './target_protocol.js';

/** What sending needs, the same for all requests of a process. */
export interface SendContext {
  readonly protocol: TargetProtocol;
  readonly pool: ConnectionPool;
  readonly loads: LoadTable;
  readonly suspensions: TargetSuspensions;
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
  const load = loads.begin(targetKey(target.id), lane);
  const connection = pool.take(target.id, target.address);
  const now = () => clock.now();
  const exchange = new Exchange(connection, req, protocol, sink, now);
  exchange.start();
  const end = exchange.end$.then(outcome => {
    load[Symbol.dispose]();
    if (exchange.leavesConnectionUsable) pool.keep(target.id, connection);
    judge(context, target, outcome);
    return outcome;
  });
  return {control: exchange, end};
}

/** What an end says of the target's health. */
function judge(context: SendContext, target: Target, end: ExchangeEnd): void {
  const {suspensions, counters} = context;
  counters.count('target_exchanges', {end: end.kind});
  switch (end.kind) {
    case 'answered':
    case 'streamed':
      suspensions.succeeded(target.id);
      return;
    case 'declined':
      suspensions.declined(target.id);
      return;
    case 'unsent':
    case 'broken':
      suspensions.failed(target.id, end.reason);
      return;
    case 'ended':
      if (end.by === 'silent') suspensions.failed(target.id, end.by);
  }
}
