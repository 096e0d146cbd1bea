/**
 * Detects stalls of the process itself: it was suspended, starved of CPU time,
 * or its event loop was blocked. A stalled process misses its deadlines, and
 * its request logs look as if the targets were slow. For example, a process
 * that was suspended for 250 of each 255 ms answered a 1 MB request with 504
 * after 2.1 s; with only its targets suspended, it answered with 200 after 0.5
 * to 0.8 s.
 */
import type {Clock, Counters, EventLog} from '@oathead/core';

/**
 * Interval between checks, in milliseconds: a tenth of the shortest route
 * timeout, at the cost of a few wake-ups a second.
 */
const CHECK_INTERVAL_MS = 100;
/**
 * Shortest stall that is reported, in milliseconds: longer than a full garbage
 * collection, and most of the latency objective of a short request.
 */
const STALL_THRESHOLD_MS = 150;

/** Dependencies of {@link watchStalls}. */
export interface StallContext {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: EventLog;
}

/**
 * Starts to detect stalls.
 *
 * @param context - The clock, and the counters and log that stalls are reported
 *     to. A stall produces one log line, so there is at most one line for each
 *     {@link STALL_THRESHOLD_MS} of stalled time.
 * @returns Stops the detection when disposed.
 */
export function watchStalls({clock, counters, log}: StallContext): Disposable {
  let lastCheckAt = clock.now();
  const timer = setInterval(() => {
    const now = clock.now();
    const stalledMs = Math.round(now - lastCheckAt - CHECK_INTERVAL_MS);
    lastCheckAt = now;
    if (stalledMs < STALL_THRESHOLD_MS) return;
    counters.count('process_stalls');
    counters.count('process_stalled_ms', {}, stalledMs);
    log.event('process-stalled', {ms: stalledMs});
  }, CHECK_INTERVAL_MS);
  timer.unref();
  return {[Symbol.dispose]: () => clearInterval(timer)};
}
