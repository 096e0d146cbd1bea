/** The events of a run, as one follower gets them. */
import {DisposableStore} from '@oathead/core';
import type {Clock, ServeEvent} from '@oathead/core';
import type {TargetRun} from './target_run.js';

/** Where a follower stands in the stream. */
export interface RunPosition {
  readonly startedSeen: boolean;
  readonly tokensSeen: number;
  /** Whether the follower wants tokens. */
  readonly stream: boolean;
}

/**
 * Tells a run's events from a position on. The first token goes at once; then
 * those that come within `coalesceMs` of the last frame share the next, since
 * a frame costs far more processor time than a token in it.
 *
 * @param run - What to follow.
 * @param from - Where to begin.
 * @param clock - The clock that frames are timed on.
 * @param coalesceMs - Shortest time between frames, in milliseconds.
 * @param signal - Ends the events.
 * @returns The events, the outcome last.
 */
export async function* followRun(
  run: TargetRun,
  from: RunPosition,
  clock: Clock,
  coalesceMs: number,
  signal: AbortSignal,
): AsyncGenerator<ServeEvent, void, undefined> {
  let started = from.startedSeen;
  if (started) run.startSeen();
  let seen = from.tokensSeen;
  let nextFrameAt = -Infinity;
  while (!signal.aborted) {
    if (!started && run.version !== undefined) {
      started = true;
      yield {kind: 'started', version: run.version};
      run.startSeen();
      continue;
    }
    const fresh = from.stream && run.tokenCount > seen;
    if (fresh && (run.outcome || clock.now() >= nextFrameAt)) {
      const count = run.tokenCount - seen;
      const text = run.textFrom(seen);
      const index = seen;
      seen += count;
      nextFrameAt = clock.now() + coalesceMs;
      yield {kind: 'tokens', index, count, text};
      continue;
    }
    if (run.outcome) {
      yield run.outcome;
      return;
    }
    await nextChange(
      run,
      fresh ? nextFrameAt - clock.now() : Infinity,
      clock,
      signal,
    );
  }
}

/** Resolves at the run's next change, on abort, or after `withinMs`. */
function nextChange(
  run: TargetRun,
  withinMs: number,
  clock: Clock,
  signal: AbortSignal,
): Promise<void> {
  return new Promise(resolve => {
    const pending = new DisposableStore();
    const done = () => {
      pending[Symbol.dispose]();
      resolve();
    };
    pending.add(run.onceChanged(done));
    if (withinMs < Infinity) pending.add(clock.after(withinMs, done));
    signal.addEventListener('abort', done, {once: true});
    pending.defer(() => signal.removeEventListener('abort', done));
  });
}
