/** Runs an open-loop load. */
import {setMaxListeners} from 'node:events';
import {sleep} from '@oathead/core';
import type {Clock} from '@oathead/core';
import type {Send} from '../request/send.js';
import {LoadRecorder} from './load_recorder.js';

/** A load. */
export interface LoadOptions {
  readonly clock: Clock;
  readonly send: Send;
  /** Times of sending in milliseconds from the start, in order. */
  readonly arrivals: readonly number[];
  /** Longest wait for answers after the last request, in milliseconds. */
  readonly drainMs: number;
  /** Ends the load early. */
  readonly signal: AbortSignal;
}

/**
 * Sends each request at its time, whatever has become of those before.
 *
 * @param options - The load.
 * @returns What was measured, once all have ended.
 */
export async function runLoad(options: LoadOptions): Promise<LoadRecorder> {
  const {clock, arrivals, send, signal, drainMs} = options;
  const recorder = new LoadRecorder();
  const running = new Set<Promise<void>>();
  const giveUp = new AbortController();
  // Each request in flight listens to it.
  setMaxListeners(0, giveUp.signal);
  const startedAt = clock.now();
  for (const [index, at] of arrivals.entries()) {
    const intendedAt = startedAt + at;
    await waitUntil(clock, intendedAt, signal);
    if (signal.aborted) break;
    const record = recorder.begin(intendedAt, () => clock.now());
    const ended = send(index, record.part, giveUp.signal).then(outcome => {
      record.ended(outcome);
      running.delete(ended);
    });
    running.add(ended);
  }
  const drained = new AbortController();
  await Promise.race([
    Promise.all(running),
    sleep(clock, drainMs, drained.signal),
  ]);
  drained.abort();
  giveUp.abort();
  await Promise.all(running);
  return recorder;
}

async function waitUntil(
  clock: Clock,
  at: number,
  signal: AbortSignal,
): Promise<void> {
  const wait = at - clock.now();
  if (wait > 0) await sleep(clock, wait, signal);
}
