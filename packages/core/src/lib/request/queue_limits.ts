/**
 * Limits of the queues: how many requests may wait for a slot of a target, and
 * how long a request waits for a target with free capacity.
 *
 * Guards against bursts beyond the capacity of the targets: a request joins the
 * queue of a target only if its first byte is expected within its latency
 * objective. A request that joins a longer queue is late and delays all that
 * follow. If it is refused at once instead, it can be retried when slots are
 * free.
 */
import type {ServiceLatency} from '../process/service_latency.js';

/** Properties of a request that determine whether it may wait. */
export interface WaitDemand {
  /** Time within which the first byte has its full value, in milliseconds. */
  readonly goalMs: number;
  /** Priority of the request; 0 is the most urgent. */
  readonly priority: number;
  /**
   * Whether the request is a retry after a refusal. It should not be refused
   * again while requests that arrived later are admitted.
   */
  readonly returning: boolean;
  /**
   * Name of the client account that sends the request; undefined if the
   * configuration has no accounts or the route is public.
   */
  readonly account?: string | undefined;
  /**
   * Whether the request can no longer be answered within its latency objective.
   * It gets only slots that requests in time do not need.
   */
  readonly late?: boolean | undefined;
  /**
   * Whether this search for a target repeats one for the same request, which
   * has then been counted as demand of its account.
   */
  readonly isRepeated?: boolean | undefined;
  /**
   * Whether the request may only have a free slot, because its account is over
   * its share.
   */
  readonly mustNotQueue?: boolean;
  /**
   * Longest retry delay that the caller accepts, in milliseconds. Set only if
   * the request is refused now unless it gets a target, and its caller may
   * return.
   */
  readonly returnWithinMs?: number | undefined;
}

/**
 * Fraction of the wait permitted by a latency objective that a queue may use.
 * The rest is kept for requests of other hosts that are not reported yet: with
 * loads 60 ms old, 0.7 instead of 0.35 made 24 instead of 15 of 100 requests
 * late, on three targets with eight slots in bursts of 65 requests per second
 * (the load of burst_replay_test).
 */
const QUEUE_WAIT_FRACTION = 0.35;
/**
 * Decrease of that fraction per step of lower priority, so that less urgent
 * requests are refused first.
 */
const QUEUE_WAIT_FRACTION_STEP = 0.07;
/**
 * Increase of that fraction for a retry: without it 9 instead of 7 of 100
 * requests were refused for good (burst_replay_test).
 */
const RETRY_QUEUE_WAIT_BONUS = 0.1;
/**
 * Fraction of the latency objective that a request waits before it is refused.
 * The waiting requests of all hosts see the same free slot and all take it:
 * 0.05 instead of 0.2 left 15 instead of 20 of 100 requests late
 * (burst_replay_test).
 */
const MAX_WAIT_FRACTION = 0.05;
/**
 * The same for a retry, which is not retried again. A refusal within a quarter
 * of the latency objective counts as early.
 */
const RETRY_MAX_WAIT_FRACTION = 0.2;
/**
 * Queue length as a fraction of the slots, and its decrease per step of lower
 * priority, while the latency of the service is unknown. A latency objective is
 * rarely shorter than a third of a run.
 */
const DEFAULT_QUEUE_FRACTION = 0.3;
const DEFAULT_QUEUE_FRACTION_STEP = 0.1;
/**
 * Fraction of the slots of a target that must stay free beside a late request.
 * A rise in which requests are refused leaves single slots free for moments;
 * requests that are still in time need these.
 */
const LATE_FREE_FRACTION = 0.25;
/** Priorities lower than this one (larger numbers) are treated like it. */
const LOWEST_PRIORITY = 4;

/**
 * @param slots - Number of requests that the target runs at once.
 * @param demand - The request.
 * @param latency - Observed latency of the service; undefined if unknown.
 * @returns The maximum number of requests, including this one, that may wait
 *     for the target; for a late request, minus the number of slots that must
 *     stay free.
 */
export function maxQueueLength(
  slots: number,
  demand: WaitDemand,
  latency: ServiceLatency | undefined,
): number {
  if (demand.late) return -Math.floor(slots * LATE_FREE_FRACTION);
  if (demand.mustNotQueue) return 0;
  const steps = Math.min(demand.priority, LOWEST_PRIORITY);
  if (!latency)
    return Math.ceil(
      slots * (DEFAULT_QUEUE_FRACTION - steps * DEFAULT_QUEUE_FRACTION_STEP),
    );
  const fraction =
    QUEUE_WAIT_FRACTION -
    steps * QUEUE_WAIT_FRACTION_STEP +
    (demand.returning ? RETRY_QUEUE_WAIT_BONUS : 0);
  const waitMs = (demand.goalMs - latency.firstByteMs) * fraction;
  // With n slots, one becomes free every n-th part of a run.
  return Math.max(0, Math.floor((waitMs * slots) / latency.runMs));
}

/**
 * @param demand - A request for which no target has free capacity.
 * @returns The time that it waits before it is refused, in milliseconds.
 */
export function maxQueueWaitMs({goalMs, returning}: WaitDemand): number {
  return goalMs * (returning ? RETRY_MAX_WAIT_FRACTION : MAX_WAIT_FRACTION);
}
