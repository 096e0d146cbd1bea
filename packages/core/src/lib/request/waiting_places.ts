/**
 * How many requests may wait for a slot of a target, and for how long a request
 * waits for a target that has a place.
 *
 * Answers bursts beyond what the targets can take: a request joins a target's
 * queue only if its first byte is expected there inside its objective. One that
 * joins a longer queue is late, and makes all behind it late; refused at once it
 * can come back when there are places.
 */
import type {ServicePace} from '../process/service_pace.js';

/** What decides whether a request may wait. */
export interface WaitDemand {
  /** Within which time the first byte earns its full worth, in milliseconds. */
  readonly goalMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether its caller was turned away before: it should not be again while
   * others that came later are taken. */
  readonly returning: boolean;
}

/** Share of the wait that an objective leaves which a queue may take. The rest is
 * for requests of other hosts that are not told yet: with loads 60 ms old, 0.7 in
 * place of 0.35 made 24 of 100 requests late in place of 15, on three targets of
 * eight slots in bursts of 65 requests a second (the load of the burst replay). */
const GOAL_SHARE = 0.35;
/** How much smaller that share is for each step of lower priority: what is less
 * urgent is refused first. */
const GOAL_SHARE_STEP = 0.07;
/** How much larger it is for a caller that comes back: without it 9 of 100
 * requests in place of 7 were refused for good (the burst replay). */
const RETURNING_SHARE = 0.1;
/** Share of the objective for which a request waits before it is refused. The
 * waiting requests of all hosts see the same free place and all take it: 0.05 in
 * place of 0.2 left 15 of 100 requests late in place of 20 (the burst replay). */
const PATIENCE_SHARE = 0.05;
/** The same for a caller that comes back, who does not come again. Within a
 * quarter of the objective a refusal counts as early. */
const RETURNING_PATIENCE_SHARE = 0.2;
/** Waiting requests as a share of the slots, and how much smaller it is by step,
 * while nothing is known of the service: an objective is rarely shorter than a
 * third of a run. */
const FIRST_SHARE = 0.3;
const FIRST_SHARE_STEP = 0.1;
/** Priorities below this one are treated alike. */
const LOWEST_PRIORITY = 4;

/**
 * @param slots - How many requests the target runs at once.
 * @param demand - The request.
 * @param pace - How long requests of its service take; undefined: not known yet.
 * @returns How many requests, this one included, may wait there.
 */
export function waitingPlaces(
  slots: number,
  demand: WaitDemand,
  pace: ServicePace | undefined,
): number {
  const steps = Math.min(demand.priority, LOWEST_PRIORITY);
  if (!pace) return Math.ceil(slots * (FIRST_SHARE - steps * FIRST_SHARE_STEP));
  const share =
    GOAL_SHARE -
    steps * GOAL_SHARE_STEP +
    (demand.returning ? RETURNING_SHARE : 0);
  const waitMs = (demand.goalMs - pace.firstByteMs) * share;
  // With n slots one gets free each n-th of a run.
  return Math.max(0, Math.floor((waitMs * slots) / pace.runMs));
}

/**
 * @param demand - A request for which no target has a place.
 * @returns How long it waits before it is refused, in milliseconds.
 */
export function patienceMs({goalMs, returning}: WaitDemand): number {
  return goalMs * (returning ? RETURNING_PATIENCE_SHARE : PATIENCE_SHARE);
}
