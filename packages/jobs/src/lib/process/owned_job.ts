/** A job that this host works on: its items, and the list of its results. */
import type {EventLog} from '@oathead/core';
import {encodeJson, type RowPut} from '@oathead/stores';
import type {ItemResult} from '../request/job.js';
import type {StoreLimits} from '../request/job_content.js';
import type {StoredResult} from '../request/job_reader.js';
import {
  jobRowRef,
  PARTIAL_TABLE,
  RESULT_TABLE,
  type JobHead,
  type VersionedHead,
} from '../request/job_rows.js';
import {HeadWriter, type HeadWriterContext} from './head_writer.js';
import type {ItemWork} from './item_work.js';

/** What an {@link OwnedJob} needs. */
export interface OwnedJobContext extends HeadWriterContext {
  readonly limits: StoreLimits;
  readonly log: EventLog;
}

/** Texts that are not whole in one transaction at the most; it may have 100
 * rows. */
const PARTIALS_PER_WRITE = 80;
/** Results in one transaction at the most. */
const RESULTS_PER_WRITE = 40;

/** Works on one job until it is done, ended or another's. */
export class OwnedJob implements Disposable {
  private readonly stop = new AbortController();
  private readonly writer: HeadWriter;
  private readonly finished: ItemResult[] = [];
  private readonly failed: ItemWork[] = [];
  private writing: Promise<void> | undefined;
  private checkpointing = false;

  /**
   * @param context - The store and the log.
   * @param head - The head that makes this host the owner.
   * @param work - The items that have no listed result.
   * @param onClosed - Called once when there is nothing left to do here.
   */
  constructor(
    private readonly context: OwnedJobContext,
    head: VersionedHead,
    readonly work: readonly ItemWork[],
    private readonly onClosed: (job: OwnedJob) => void,
  ) {
    this.writer = new HeadWriter(context, head, this.stop.signal);
  }

  /** The head as this owner has it. */
  get head(): JobHead {
    return this.writer.head;
  }

  /** When the results are due, on the store's clock in milliseconds. */
  get dueAtMs(): number {
    return this.head.acceptedAtMs + this.head.completionGoalMs;
  }

  /** Whether it is not worked on any more. */
  get closed(): boolean {
    return this.stop.signal.aborted;
  }

  /**
   * @param work - An item of the job.
   * @param state - What became of it.
   */
  finish(work: ItemWork, state: ItemResult['state']): void {
    if (this.closed || work.stage.kind === 'finished') return;
    work.stage = {kind: 'finished'};
    const text = state === 'succeeded' ? work.texts.join('\n') : '';
    work.texts = [];
    this.finished.push({id: work.item.id, state, text});
    this.flush();
  }

  /**
   * Counts a failed run. The item waits until that is written down: a host that
   * takes the job over must not grant it all its attempts again.
   *
   * @param work - An item of the job.
   */
  fail(work: ItemWork): void {
    work.failures++;
    if (work.failures >= this.head.maxAttempts) {
      this.finish(work, 'failed');
      return;
    }
    work.stage = {kind: 'recording'};
    this.failed.push(work);
    this.flush();
  }

  /** Ends all runs; nothing more is written. */
  [Symbol.dispose](): void {
    if (this.closed) return;
    this.stop.abort();
    for (const {stage} of this.work)
      if (stage.kind === 'running') stage.control.end('stop');
    this.onClosed(this);
  }

  /**
   * Hands the job to another host, with the text that there is so far.
   *
   * @param owner - The run of a process that goes on with it.
   */
  async handOver(owner: string): Promise<void> {
    for (const {stage} of this.work)
      if (stage.kind === 'running') stage.control.end('stop');
    while (this.writing) await this.writing;
    if (this.closed) return;
    const puts = this.partialRows();
    const written = await this.writer.write({owner}, puts);
    this.context.log.event('job-handed-over', {
      job: this.head.id,
      to: owner,
      partials: puts.length,
      outcome: written.ok ? 'written' : written.err.kind,
    });
    this[Symbol.dispose]();
  }

  /**
   * Keeps the text that there is so far, so that a host that takes the job over
   * goes on from there. Nothing fences these rows: each holds the first events
   * of an item up to a number, whoever has written it.
   */
  async checkpoint(): Promise<void> {
    const puts = this.partialRows();
    if (this.checkpointing || this.closed || puts.length === 0) return;
    this.checkpointing = true;
    const {store, log} = this.context;
    const written = await store.transact({expect: [], puts, removes: []});
    this.checkpointing = false;
    if (!written.ok)
      log.event('checkpoint-failed', {
        job: this.head.id,
        reason: written.err.kind,
      });
  }

  /** @returns Texts that have grown since they were written last. */
  private partialRows(): readonly RowPut[] {
    const puts: RowPut[] = [];
    let bytes = 0;
    for (const work of this.work) {
      const {index, stage, lastEventId, texts} = work;
      if (stage.kind === 'finished' || texts.length === work.keptTexts)
        continue;
      const value = encodeJson({lastEventId, texts});
      bytes += value.length;
      const {rowBytes, transactionBytes} = this.context.limits;
      if (value.length > rowBytes || bytes > transactionBytes) continue;
      if (puts.length >= PARTIALS_PER_WRITE) break;
      work.keptTexts = texts.length;
      puts.push({...jobRowRef(PARTIAL_TABLE, this.head.id, index), value});
    }
    return puts;
  }

  private flush(): void {
    if (this.writing || this.closed) return;
    if (this.finished.length === 0 && this.failed.length === 0) return;
    this.writing = this.writeNext().finally(() => {
      this.writing = undefined;
      this.flush();
    });
  }

  private async writeNext(): Promise<void> {
    const {puts, results} = await this.nextRows();
    const failed = this.failed.splice(0);
    const listed = this.head.listed + results.length;
    const done = listed === this.head.items;
    const written = await this.writer.write(
      {
        listed,
        failures: withFailures(this.head.failures, failed),
        ...(done
          ? {state: 'done', closedAtMs: this.context.store.storeTimeMs()}
          : {}),
      },
      puts,
    );
    if (!written.ok) {
      const {state, owner} = written.err;
      this.context.log.event('job-lost', {job: this.head.id, state, owner});
      this[Symbol.dispose]();
      return;
    }
    this.finished.splice(0, results.length);
    for (const work of failed) work.stage = {kind: 'waiting', notBefore: 0};
    for (const {id, state} of results)
      this.context.log.event('item-listed', {
        job: this.head.id,
        item: id,
        state,
      });
    if (done) this[Symbol.dispose]();
  }

  private async nextRows(): Promise<{
    readonly puts: readonly RowPut[];
    readonly results: readonly ItemResult[];
  }> {
    const puts: RowPut[] = [];
    const results: ItemResult[] = [];
    let bytes = 0;
    for (const result of this.finished.slice(0, RESULTS_PER_WRITE)) {
      const position = this.head.listed + results.length;
      const value = await this.resultValue(result);
      bytes += value.length;
      if (results.length > 0 && bytes > this.context.limits.transactionBytes)
        break;
      const ref = jobRowRef(RESULT_TABLE, this.head.id, position);
      puts.push({...ref, value});
      results.push(result);
    }
    return {puts, results};
  }

  private async resultValue(result: ItemResult): Promise<Uint8Array> {
    const here = encodeJson({kind: 'here', ...result} satisfies StoredResult);
    if (here.length <= this.context.limits.rowBytes) return here;
    // The same item may have run twice with one text: its name tells runs apart.
    const name = `text-${encodeURIComponent(result.id)}-${this.head.nonce}`;
    for (;;) {
      const put = await this.context.store.putObject(name, here);
      const stored = put.ok || put.err.kind === 'conflict';
      if (stored || this.closed)
        return encodeJson({kind: 'object', name} satisfies StoredResult);
    }
  }
}

function withFailures(
  known: JobHead['failures'],
  failed: readonly ItemWork[],
): JobHead['failures'] {
  const failures = {...known};
  for (const {index, failures: count} of failed) failures[index] = count;
  return failures;
}
