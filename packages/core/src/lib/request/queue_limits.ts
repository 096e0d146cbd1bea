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
  /**
   * Software version that the target must have, because the stream of the
   * request began at a target of that version; undefined if any will do.
   */
  readonly softwareVersion?: string | undefined;
}

/**
 * Fraction of the wait permitted by a latency objective that a queue may use.
 * The rest covers requests that other hosts have sent and not reported yet, and
 * runs that are longer than the mean.
 */
const QUEUE_WAIT_FRACTION = 0.35;
/**
 * Decrease of that fraction per step of lower priority, so that less urgent
 * requests are refused first: the lowest priority has a fifth of it left.
 */
const QUEUE_WAIT_FRACTION_STEP = 0.07;
/**
 * Increase of that fraction for a retry, so that it is not refused while
 * requests that came later are admitted.
 */
const RETRY_QUEUE_WAIT_BONUS = 0.1;
/**
 * Fraction of the latency objective after which a refusal no longer counts as
 * early.
 */
const EARLY_REFUSAL_FRACTION = 0.25;
/**
 * Fraction of the latency objective that a retry waits before it is refused:
 * that of an early refusal, less the time until the caller has it.
 */
const RETRY_MAX_WAIT_FRACTION = EARLY_REFUSAL_FRACTION * 0.8;
/**
 * The same for a first attempt, a quarter of it. The waiting requests of all
 * hosts see the same free slot, and a caller that is refused sooner can return
 * sooner.
 */
const MAX_WAIT_FRACTION = RETRY_MAX_WAIT_FRACTION / 4;
/**
 * Expected duration of a run while the latency of the service is unknown, in
 * latency objectives: an objective is rarely shorter than a third of a run.
 */
export const DEFAULT_RUN_OBJECTIVES = 3;
/**
 * Queue length as a fraction of the slots, and its decrease per step of lower
 * priority, while the latency of the service is unknown.
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
