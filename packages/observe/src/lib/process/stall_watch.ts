/**
 * Tells when the process itself stood still: it was frozen, starved of its
 * processor, or busy with one thing for too long. Nothing that it does can be in
 * time then, and the lines of its requests look as if their targets were slow: a
 * request of 1 MB was answered 504 after 2.1 s by a process that was stopped for
 * 250 of each 255 ms, and 200 after 0.5 to 0.8 s while only its targets stood still.
 */
import type {Clock, Counters, EventLog} from '@oathead/core';

/** How often the time is looked at, in milliseconds: a tenth of the least timeout of
 * a route, for a few wake-ups a second. */
const LOOK_MS = 100;
/** What is told, in milliseconds: beyond what a full collection of garbage takes,
 * and most of the objective of a short request. */
const STALL_MS = 150;

/** What {@link watchStalls} needs. */
export interface StallContext {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: EventLog;
}

/**
 * @param context - Time, and where stalls are told; at most one line for each
 *     `STALL_MS` in which the process did nothing else.
 * @returns Ends the watch when disposed.
 */
export function watchStalls({clock, counters, log}: StallContext): Disposable {
  let lookedAt = clock.now();
  const timer = setInterval(() => {
    const now = clock.now();
    const stalledMs = Math.round(now - lookedAt - LOOK_MS);
    lookedAt = now;
    if (stalledMs < STALL_MS) return;
    counters.count('process_stalls');
    counters.count('process_stalled_ms', {}, stalledMs);
    log.event('process-stalled', {ms: stalledMs});
  }, LOOK_MS);
  timer.unref();
  return {[Symbol.dispose]: () => clearInterval(timer)};
}
