/**
 * Detects stalls of the process itself: it was suspended, starved of CPU time,
 * or its event loop was blocked. A stalled process misses its deadlines, and
 * its request logs look as if the targets were slow. For example, a process
 * that was suspended for 250 of each 255 ms answered a 1 MB request with 504
 * after 2.1 s; with only its targets suspended, it answered with 200 after 0.5
 * to 0.8 s.
 */
import {cpuUsage} from 'node:process';
import type {Clock, Counters, EventLog} from '@oathead/core';
import {earliestArrival} from './signal_arrival.js';

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
  /** @returns Processor time used by this process so far, in milliseconds. */
  readonly processorTimeMs: () => number;
  readonly counters: Counters;
  readonly log: EventLog;
}

/** Detects stalls until it is disposed. */
export interface StallWatch extends Disposable {
  /**
   * @returns The earliest moment at which a signal may have come that is handled
   *     now, in monotonic milliseconds.
   */
  earliestSignalAt(): number;
}

/**
 * @returns Processor time that all threads of this process have used, in their
 *     own code and in the kernel, in milliseconds.
 */
export function processorTimeMs(): number {
  const {user, system} = cpuUsage();
  return (user + system) / 1000;
}

/**
 * Starts to detect stalls.
 *
 * @param context - The clock, the processor time, and the counters and log that
 *     stalls are reported to. A stall produces one log line, so there is at most one line for each
 *     {@link STALL_THRESHOLD_MS} of stalled time.
 * @returns Stops the detection when disposed.
 */
export function watchStalls(context: StallContext): StallWatch {
  const {clock, counters, log} = context;
  let lastCheckAt = clock.now();
  let previousCheckAt = lastCheckAt;
  let lastProcessorMs = context.processorTimeMs();
  const timer = setInterval(() => {
    const now = clock.now();
    const stalledMs = Math.round(now - lastCheckAt - CHECK_INTERVAL_MS);
    previousCheckAt = lastCheckAt;
    lastCheckAt = now;
    const totalProcessorMs = context.processorTimeMs();
    const processorMs = Math.round(totalProcessorMs - lastProcessorMs);
    lastProcessorMs = totalProcessorMs;
    if (stalledMs < STALL_THRESHOLD_MS) return;
    counters.count('process_stalls');
    counters.count('process_stalled_ms', {}, stalledMs);
    log.event('process-stalled', {ms: stalledMs, processorMs});
  }, CHECK_INTERVAL_MS);
  timer.unref();
  return {
    earliestSignalAt: () =>
      earliestArrival({
        lastAt: lastCheckAt,
        previousAt: previousCheckAt,
        longestGapMs: CHECK_INTERVAL_MS + STALL_THRESHOLD_MS,
      }),
    [Symbol.dispose]: () => clearInterval(timer),
  };
}
