/** Lets a stopping process finish its requests and hand over its jobs. */
import {
  sleep,
  type Clock,
  type EventLog,
  type PlannedStop,
} from '@oathead/core';
import type {CallerServer} from '@oathead/gateway';

/** Dependencies of {@link drain}. */
export interface DrainContext {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly server: Pick<
    CallerServer,
    | 'openRequests'
    | 'beginStop'
    | 'stopListening'
    | 'closeIdle'
    | 'endOpenRequests'
  >;
  /** Hands the jobs of this host over; resolves when all have other owners. */
  handOver(): Promise<void>;
}

/**
 * How long callers may still arrive after readiness is withdrawn, in
 * milliseconds: the load balancer checks once a second and removes a host after
 * two failed checks.
 */
const LINGER_MS = 3000;
/** Interval at which is checked whether all has ended, in milliseconds. */
const POLL_INTERVAL_MS = 50;
/**
 * Time in which the last responses are sent, in milliseconds. It is less than
 * what is reserved for the exit.
 */
const LAST_RESPONSES_MS = 250;

/**
 * Guards against a request that is cut off unread. A process that stood still
 * handles its timers before it reads what has arrived meanwhile.
 *
 * @returns Resolves once what has arrived by now has been read.
 */
function inputRead(): Promise<void> {
  return new Promise(resolve => setImmediate(() => setImmediate(resolve)));
}

/**
 * Waits until no request is in progress and all jobs are handed over, or until
 * the stop ends. Requests that are in progress then get an answer.
 *
 * @param stop - When it began and ends.
 * @param context - Clock, log, the server for callers, and the jobs.
 * @returns Resolves when the process may exit.
 */
export async function drain(
  {startedAt, endsAt}: PlannedStop,
  {clock, log, server, handOver}: DrainContext,
): Promise<void> {
  // Jobs cannot be handed over while the store does not respond. Callers must
  // not notice: they leave and their requests end in the meantime.
  let handedOver = false;
  void handOver().then(() => {
    handedOver = true;
  });
  server.beginStop();
  while (clock.now() < endsAt) {
    await inputRead();
    const lingers = clock.now() < startedAt + LINGER_MS;
    if (!lingers) {
      server.stopListening();
      server.closeIdle();
    }
    if (!lingers && handedOver && server.openRequests === 0) break;
    await sleep(clock, POLL_INTERVAL_MS);
  }
  const open = server.endOpenRequests();
  const ms = Math.round(clock.now() - startedAt);
  log.event('process-drained', {ms, open, handedOver});
  const closesAt = clock.now() + LAST_RESPONSES_MS;
  while (server.openRequests > 0 && clock.now() < closesAt)
    await sleep(clock, POLL_INTERVAL_MS);
}
