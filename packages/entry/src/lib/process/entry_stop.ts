/** What an entry does with requests from the moment it was told to stop. */
import {setMaxListeners} from 'node:events';
import {admitDuringStop, mayHaveRun, notRun} from '@oathead/core';
import type {
  Clock,
  Counters,
  PlannedStop,
  Refusal,
  ServeEvent,
} from '@oathead/core';
import {createDebugLog} from '@oathead/observe';

/** Part of the grace period in which no request may run any more. */
const END_SHARE = 0.1;
/** Longest such time: for last answers, and to hand shares over; in ms. */
const MAX_END_MS = 1000;

const log = createDebugLog('entry:stop');

/** The planned stop of one entry, if it is in progress. */
export class EntryStop {
  private planned: PlannedStop | undefined;
  private readonly begins = new AbortController();
  private readonly ends = new AbortController();

  /**
   * @param clock - Time of the stop.
   * @param counters - Count what is refused and cut.
   */
  constructor(
    private readonly clock: Clock,
    private readonly counters: Counters,
  ) {
    // Each request in progress listens.
    setMaxListeners(0, this.begins.signal, this.ends.signal);
  }

  /** Aborted when the stop begins. */
  get begun(): AbortSignal {
    return this.begins.signal;
  }

  /** Aborted when the time for work is over. */
  get over(): AbortSignal {
    return this.ends.signal;
  }

  /**
   * Begins the stop.
   *
   * @param graceMs - Time for all of it, in milliseconds.
   * @returns When it began, and when work must have ended.
   */
  begin(graceMs: number): PlannedStop {
    const startedAt = this.clock.now();
    const workMs = graceMs - Math.min(MAX_END_MS, graceMs * END_SHARE);
    this.planned = {startedAt, endsAt: startedAt + workMs};
    this.begins.abort();
    this.clock.after(workMs, () => this.ends.abort());
    return this.planned;
  }

  /**
   * @param workEndsAt - When a request ends at the latest, on the process's
   *     clock, in milliseconds.
   * @returns Why it is not taken; undefined when it is.
   */
  refusal(workEndsAt: number): Refusal | undefined {
    const now = this.clock.now();
    const verdict = admitDuringStop(this.planned, workEndsAt, now);
    if (verdict.kind === 'take') return undefined;
    const {sinceStopMs, neededMs, leftMs} = verdict;
    this.counters.count('requests_refused_by_stop');
    log(
      'refused %d ms after the signal: needs %d of %d ms',
      sinceStopMs,
      neededMs,
      leftMs,
    );
    return notRun('leaving', 'this entry stops before the request would end');
  }

  /** @param what - What the end of the stop cuts off, for the log. */
  countCut(what: string): void {
    this.counters.count('requests_cut_by_stop');
    log('cut off at the end of the stop: %s', what);
  }

  /**
   * Serves a request unless it may outlast the stop.
   *
   * @param events - Its events; not read if it is refused.
   * @param workEndsAt - As for {@link refusal}.
   * @param id - Names it in the log.
   * @returns Its events; the last one is a refusal when it is not taken, or
   *     when it has not ended with the stop.
   */
  async *serve(
    events: AsyncIterable<ServeEvent>,
    workEndsAt: number,
    id: string,
  ): AsyncGenerator<ServeEvent> {
    const refusal = this.refusal(workEndsAt);
    if (refusal) {
      yield {kind: 'refused', refusal};
      return;
    }
    const iterator = events[Symbol.asyncIterator]();
    const over = abortion(this.over);
    try {
      for (;;) {
        const next = await Promise.race([iterator.next(), over.happened]);
        if (next === 'aborted') {
          this.countCut(id);
          yield {kind: 'refused', refusal: CUT};
          return;
        }
        if (next.done) return;
        yield next.value;
      }
    } finally {
      over[Symbol.dispose]();
      // Not waited for: it may be in the middle of a wait of its own.
      void iterator.return?.(undefined)?.catch(() => {});
    }
  }
}

/** What is told of a request that has not ended with the stop. */
export const CUT = mayHaveRun(
  'leaving',
  'this entry has stopped before the request ended',
);

function abortion(
  signal: AbortSignal,
): Disposable & {readonly happened: Promise<'aborted'>} {
  let onAbort = () => {};
  const happened = new Promise<'aborted'>(resolve => {
    onAbort = () => resolve('aborted');
    if (signal.aborted) onAbort();
    else signal.addEventListener('abort', onAbort, {once: true});
  });
  return {
    happened,
    [Symbol.dispose]: () => signal.removeEventListener('abort', onAbort),
  };
}
