/**
 * Decides which requests may wait for a slot although their first byte can no
 * longer be in time, in which order they are served, and which are refused.
 *
 * Answers rises of twice the mean load that end before the deadline of the
 * callers that came back in them, e.g. 2.4 of each 6 seconds with callers that
 * have 3 seconds left: an answer that is late still has some value, and a
 * caller does not come back twice. Late requests take only slots that nothing
 * else needs. One that cannot be served before its deadline is refused at
 * once, because its caller gains nothing by waiting.
 */
import type {ServiceLatency} from '../process/service_latency.js';
import {DEFAULT_RUN_OBJECTIVES} from './queue_limits.js';

/** A request that waits for a slot, or asks to. */
export interface LateRequest {
  /** Priority of the request; 0 is the most urgent. */
  readonly priority: number;
  /**
   * Time at which it must start at the latest, on a monotonic clock, in
   * milliseconds.
   */
  readonly startBy: number;
}

/** What determines how soon waiting requests get slots. */
export interface LateRoom {
  /** Expected duration of a run, in milliseconds. */
  readonly runMs: number;
  /** Total number of slots of all targets of the service. */
  readonly slots: number;
  /** Number of hosts, including this one, at which requests wait. */
  readonly hosts: number;
}

/** Requests that wait, the next one first, and requests to refuse now. */
export interface LateOrder<R extends LateRequest> {
  readonly waiting: readonly R[];
  readonly refused: readonly R[];
}

/**
 * Time reserved for a run, relative to the mean duration. Covers slow targets
 * and runs that are slower than the mean because the target is full.
 */
const RUN_TIME_MARGIN = 1.5;
/**
 * Largest part of the time left that a request waits. What remains of it is
 * enough for the caller to turn elsewhere after a refusal.
 */
const MAX_WAIT_SHARE = 0.5;
/**
 * Fraction of the slots that become free which late requests can expect; the
 * others are needed by requests within their latency objective.
 */
const LATE_SLOT_SHARE = 0.5;
/**
 * How long a service counts as full after it had no room for a request in time,
 * in runs: until then a good part of its slots have become free once.
 */
const FULL_RUNS = 0.5;
/** The same at a host that knows only what it has refused itself. */
const FULL_RUNS_ALONE = 1.5;
/**
 * Maximum number of requests that wait at a host for one service. Bounds the
 * memory for their bodies and the time to order them.
 */
const MAX_WAITING = 100;

/**
 * @param latency - Observed latency of the service; undefined if unknown.
 * @param goalMs - Latency objective, in milliseconds.
 * @returns The expected duration of a run, in milliseconds.
 */
export function expectedRunMs(
  latency: ServiceLatency | undefined,
  goalMs: number,
): number {
  return latency?.runMs ?? goalMs * DEFAULT_RUN_OBJECTIVES;
}

/**
 * @param now - Time on a monotonic clock, in milliseconds.
 * @param deadlineAt - When the caller gives up, on the same clock.
 * @param runMs - Expected duration of a run, in milliseconds.
 * @returns The latest time at which the request is worth starting.
 */
export function latestStart(
  now: number,
  deadlineAt: number,
  runMs: number,
): number {
  const longestWaitMs = (deadlineAt - now) * MAX_WAIT_SHARE;
  return Math.min(deadlineAt - runMs * RUN_TIME_MARGIN, now + longestWaitMs);
}

/**
 * @param room - Slots and hosts of the service.
 * @returns The mean time between two slots for late requests of one host, in
 *     milliseconds.
 */
export function lateSlotIntervalMs({runMs, slots, hosts}: LateRoom): number {
  return (runMs * Math.max(1, hosts)) / (slots * LATE_SLOT_SHARE);
}

/**
 * @param fullAt - When a request in time last found no room, on a monotonic
 *     clock, in milliseconds.
 * @param runMs - Expected duration of a run, in milliseconds.
 * @param now - Time on the same clock.
 * @param isAlone - Whether the requests of other hosts are not known.
 * @returns Whether requests in time need all slots, so that late ones must not
 *     take any.
 */
export function isServiceFull(
  fullAt: number,
  runMs: number,
  now: number,
  isAlone: boolean,
): boolean {
  return now - fullAt < runMs * (isAlone ? FULL_RUNS_ALONE : FULL_RUNS);
}

/**
 * Orders requests by priority, then by the time at which they must start, and
 * finds those that would not get a slot in time.
 *
 * @param requests - All requests of this host that wait for the service.
 * @param room - Slots and hosts of the service.
 * @param now - Time on a monotonic clock, in milliseconds.
 * @returns The order of the requests that keep waiting, and the others.
 */
export function orderLate<R extends LateRequest>(
  requests: readonly R[],
  room: LateRoom,
  now: number,
): LateOrder<R> {
  const intervalMs = lateSlotIntervalMs(room);
  const waiting: R[] = [];
  const refused: R[] = [];
  for (const request of requests.toSorted(compareLate)) {
    const waitMs = waiting.length === 0 ? 0 : waiting.length * intervalMs;
    const isServed =
      room.slots > 0 &&
      waiting.length < MAX_WAITING &&
      now + waitMs <= request.startBy;
    (isServed ? waiting : refused).push(request);
  }
  return {waiting, refused};
}

function compareLate(a: LateRequest, b: LateRequest): number {
  return a.priority - b.priority || a.startBy - b.startBy;
}
