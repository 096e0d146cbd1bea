/** One attempt at an item, and what its outcome does to the item. */
import {mayHaveRun, notRun} from '@oathead/core';
import type {BatchItem, ItemOutcome, ItemRunner} from '@oathead/core';
import type {BatchDeps} from '../request/job_intake.js';
import type {BatchSettings} from './batch_settings.js';
import type {ChunkWork} from './chunk_work.js';

/** When an item may be run again: now, later, or never. */
type Again = {readonly delayMs: number} | undefined;

type Handlers = {
  readonly [K in ItemOutcome['kind']]: (
    chunk: ChunkWork,
    index: number,
    outcome: Extract<ItemOutcome, {readonly kind: K}>,
  ) => Again;
};

/** Runs items, and settles what comes of them. */
export class ItemRuns {
  private readonly handlers: Handlers = {
    done: (chunk, index, {answer}) => {
      this.conclude(chunk, index, {type: 'complete'}, {answer});
      return undefined;
    },
    failed: (chunk, index, {refusal}) => {
      this.conclude(chunk, index, {type: 'fail'}, {refusal});
      return undefined;
    },
    returned: (chunk, index, {partial, refusal}) => {
      chunk.tell(index, {type: 'return'});
      if (partial !== undefined) chunk.history.keepPartial(index, partial);
      if (refusal === undefined) return {delayMs: 0};
      // Idle time comes in seconds: an item must not sit one out in a pause.
      const delayMs = Math.min(
        this.backoff(chunk.history.countReturn(index)),
        this.settings.maxReturnBackoffMs,
      );
      return {delayMs: Math.max(delayMs, refusal.retryAfterMs ?? 0)};
    },
    lost: (chunk, index, {refusal, suspect}) => {
      const {idempotent} = chunk.items[index]!;
      const losses = chunk.history.countLoss(index);
      const last = losses > this.settings.maxLosses;
      const event = {type: 'lose', idempotent, suspect, last} as const;
      chunk.tell(index, event);
      if (chunk.isFinal(index)) {
        chunk.conclude(index, {refusal}, this.deps.clock.now());
        return undefined;
      }
      if (suspect) chunk.urgent = true;
      return {delayMs: this.backoff(losses)};
    },
  };

  /**
   * @param deps - Clock, randomness and counters.
   * @param settings - Bounds of attempts and backoff.
   * @param runner - Sends items to targets.
   * @param onSettled - Called when an attempt has ended.
   */
  constructor(
    private readonly deps: BatchDeps,
    private readonly settings: BatchSettings,
    private readonly runner: ItemRunner,
    private readonly onSettled: () => void,
  ) {}

  /**
   * Runs an item that was leased, and recorded as started if need be.
   *
   * @param chunk - Its chunk.
   * @param index - Its index.
   */
  async run(chunk: ChunkWork, index: number): Promise<void> {
    const abort = new AbortController();
    chunk.tell(index, {type: 'start'});
    chunk.running.set(index, abort);
    this.deps.counters.count('batch_items_started');
    const outcome = await this.runner.run(itemOf(chunk, index), abort.signal);
    if (chunk.running.get(index) === abort) chunk.running.delete(index);
    if (chunk.dropped.signal.aborted) this.drop('not-held');
    else if (abort.signal.aborted && isPlainLoss(outcome)) {
      this.settle(chunk, index, givenUp(chunk, index));
    } else this.settle(chunk, index, outcome);
    this.onSettled();
  }

  /**
   * Cancels what of a chunk has no outcome yet. What runs is aborted, and its
   * outcome awaited for a while: it may have been answered already.
   *
   * @param chunk - The chunk of a cancelled job.
   */
  cancel(chunk: ChunkWork): void {
    if (chunk.cancelling) return;
    chunk.cancelling = true;
    for (const index of chunk.items.keys()) {
      if (!chunk.running.has(index)) this.cancelItem(chunk, index);
    }
    if (chunk.running.size === 0) return;
    for (const abort of chunk.running.values()) abort.abort();
    const {clock} = this.deps;
    clock.after(this.settings.cancelMs, () => this.giveUpRunning(chunk));
  }

  private settle(chunk: ChunkWork, index: number, outcome: ItemOutcome): void {
    if (chunk.isFinal(index)) {
      this.drop('late');
      return;
    }
    const handler = this.handlers[outcome.kind] as (
      chunk: ChunkWork,
      index: number,
      outcome: ItemOutcome,
    ) => Again;
    const again = handler(chunk, index, outcome);
    if (again === undefined) return;
    if (chunk.cancelling) this.cancelItem(chunk, index);
    else this.runAgain(chunk, index, again.delayMs);
  }

  private runAgain(chunk: ChunkWork, index: number, delayMs: number): void {
    if (delayMs === 0) {
      chunk.putReady(index, 'first');
      return;
    }
    this.deps.clock.after(delayMs, () => {
      if (chunk.dropped.signal.aborted) return;
      chunk.putReady(index);
      this.onSettled();
    });
  }

  private conclude(
    chunk: ChunkWork,
    index: number,
    event: {readonly type: 'complete' | 'fail'},
    body: Parameters<ChunkWork['conclude']>[1],
  ): void {
    chunk.tell(index, event);
    chunk.conclude(index, body, this.deps.clock.now());
    this.deps.counters.count('batch_items_ended', {how: event.type});
  }

  private cancelItem(chunk: ChunkWork, index: number): void {
    const {idempotent} = chunk.items[index]!;
    const neverRan = chunk.neverRan(index);
    if (!chunk.tell(index, {type: 'cancel', idempotent})) return;
    const message = 'the job was cancelled';
    const refusal = neverRan
      ? notRun('cancelled', message)
      : mayHaveRun('cancelled', message);
    chunk.conclude(index, {refusal}, this.deps.clock.now());
    this.deps.counters.count('batch_items_ended', {how: 'cancel'});
  }

  /** A target that does not let go must not keep a cancelled job open. */
  private giveUpRunning(chunk: ChunkWork): void {
    for (const index of [...chunk.running.keys()]) {
      chunk.running.delete(index);
      this.settle(chunk, index, givenUp(chunk, index));
    }
    this.onSettled();
  }

  private drop(why: string): void {
    this.deps.counters.count('batch_outcomes_dropped', {why});
  }

  private backoff(failures: number): number {
    const {firstBackoffMs, maxBackoffMs} = this.settings;
    const cap = Math.min(maxBackoffMs, firstBackoffMs * 2 ** failures);
    return cap * (0.5 + 0.5 * this.deps.random.float());
  }
}

function isPlainLoss(outcome: ItemOutcome): boolean {
  return outcome.kind === 'lost' && !outcome.suspect;
}

/**
 * An attempt that this entry gave up is no loss of an item that may be repeated:
 * one that is handed over again and again would fail for it.
 */
function givenUp(chunk: ChunkWork, index: number): ItemOutcome {
  if (chunk.items[index]!.idempotent) return {kind: 'returned'};
  const refusal = mayHaveRun('outcome-unknown', 'it was given up as it ran');
  return {kind: 'lost', suspect: false, refusal};
}

function itemOf(chunk: ChunkWork, index: number): BatchItem {
  const {id, work, idempotent} = chunk.items[index]!;
  const resume = chunk.history.partial(index);
  return {
    caller: chunk.job.caller,
    job: chunk.job.job,
    item: id,
    work,
    idempotent,
    attempt: chunk.history.nextAttempt(index),
    ...(chunk.state(index) === 'suspectStarted' ? {suspect: true} : {}),
    ...(resume === undefined ? {} : {resume}),
  };
}
