/** A job that this host owns: its items and the list of its results. */
import {sleep} from '@oathead/core';
import type {FailureDoubt} from '@oathead/gateway';
import {encodeJson, type ExpectedRow, type RowPut} from '@oathead/stores';
import type {ItemResult} from '../request/job.js';
import type {StoreLimits} from '../request/job_content.js';
import type {StoredResult} from '../request/job_reader.js';
import {
  jobRowRef,
  PARTIAL_TABLE,
  RESULT_TABLE,
  type FailedRun,
  type JobHead,
  type VersionedHead,
} from '../request/job_rows.js';
import {HeadWriter, type HeadWriterContext} from './head_writer.js';
import {reportListedItem, type ItemReportContext} from './item_report.js';
import {withCounts, type ItemWork} from './item_work.js';

/** Dependencies of an {@link OwnedJob}. */
export interface OwnedJobContext extends HeadWriterContext, ItemReportContext {
  readonly limits: StoreLimits;
}

/** An item whose result is not written yet, though its text is stored. */
interface FinishedItem {
  readonly work: ItemWork;
  readonly state: ItemResult['state'];
  /** Value of the result's row. */
  readonly value: Uint8Array;
  /** Row on which the result is based; it must not have changed. */
  readonly basis: ExpectedRow | undefined;
  /** On the host's monotonic clock, in milliseconds. */
  readonly finishedAtMs: number;
}

/**
 * Maximum number of partial texts in one transaction, below the store's limit
 * of 100 rows.
 */
const MAX_PARTIALS_PER_TRANSACTION = 80;
/** Maximum number of results in one transaction. */
const MAX_RESULTS_PER_TRANSACTION = 40;
/** Delay before a text that was not stored is sent again, in milliseconds. */
const OBJECT_RETRY_DELAY_MS = 250;
/**
 * Delay before an item that was kept is looked at again, in milliseconds: a
 * quarter of the time within which a host knows of a new configuration.
 */
const KEPT_ITEM_DELAY_MS = 500;
/**
 * How long a handover waits for texts that are being stored, in milliseconds. An
 * item whose text is not stored by then is run again by the next owner.
 */
const HANDOVER_STORING_MS = 2000;

/**
 * An item is given up after this many times its maximum number of failed runs
 * if runs that are in doubt count, too. It bounds how often an item that fails
 * at each run reaches targets.
 */
const MAX_ATTEMPTS_FACTOR_IN_DOUBT = 2;
/**
 * Maximum number of runs described in a head, so that it fits into a row. Each
 * takes some hundred bytes.
 */
const MAX_FAILED_RUNS_IN_HEAD = 100;
/** Number of doubtful statements that an item can't be done that suffice. */
const MAX_UNPROCESSABLE_IN_DOUBT = 2;

/** Why an item is given up. */
export type GiveUpReason =
  /** As many runs failed as the job allows. */
  | 'failed-runs'
  /** The target stated that the item can never be done. */
  | 'unprocessable'
  /** The time for which the job is kept is over. */
  | 'retention'
  /** No configuration had a route for the item for some time. */
  | 'no-route';

/** A response that states, or may state, that a run failed. */
export type FailedResponse = Pick<FailedRun, 'target' | 'status'> & {
  readonly doubt: FailureDoubt | undefined;
};

/** The configuration under which an item has no route. */
export interface MissingRoute {
  /** The row that holds the configuration. */
  readonly row: ExpectedRow;
  readonly version: number;
  /** How long ago it was last known to be the newest, in milliseconds. */
  readonly ageMs: number;
}

/** Processes one job until it is done, cancelled or owned by another host. */
export class OwnedJob implements Disposable {
  private readonly stop = new AbortController();
  private readonly writer: HeadWriter;
  /**
   * When this host became the owner, on its monotonic clock in milliseconds.
   */
  readonly adoptedAtMs: number;
  private readonly finished: FinishedItem[] = [];
  private readonly failed: ItemWork[] = [];
  private writing: Promise<void> | undefined;
  /** Settles when all texts that are too large for a row are stored. */
  private storing = Promise.resolve();
  /** Whether texts that are not stored yet are no longer waited for. */
  private storingEnded = false;
  private checkpointing = false;

  /**
   * @param context - Store, limits and log.
   * @param head - Head that makes this host the owner.
   * @param work - Items that have no result in the store.
   * @param onClosed - Called once when this host has nothing left to do for the
   *   job.
   */
  constructor(
    private readonly context: OwnedJobContext,
    head: VersionedHead,
    readonly work: readonly ItemWork[],
    private readonly onClosed: (job: OwnedJob) => void,
  ) {
    this.writer = new HeadWriter(context, head, this.stop.signal);
    this.adoptedAtMs = context.clock.now();
  }

  /** The head after this owner's last write. */
  get head(): JobHead {
    return this.writer.head;
  }

  /**
   * The newest head that is known to be stored, whichever host wrote it;
   * undefined if the job is gone.
   */
  get newestHead(): VersionedHead | undefined {
    return this.writer.newest;
  }

  /**
   * Time at which the results are due, on the store's clock in milliseconds.
   */
  get dueAtMs(): number {
    return this.head.acceptedAtMs + this.head.completionGoalMs;
  }

  /** Whether this host has stopped processing the job. */
  get closed(): boolean {
    return this.stop.signal.aborted;
  }

  /**
   * Records the text of an item that is complete.
   *
   * @param work - Item of the job.
   */
  succeed(work: ItemWork): void {
    this.finish(work, {state: 'succeeded', text: work.texts.join('\n')});
  }

  /**
   * Records that an item is not run again.
   *
   * @param work - Item of the job.
   * @param reason - Why it is given up, for the log.
   * @param missing - Configuration without a route for it. If it has changed
   *   before the result is written, the item waits again.
   */
  giveUp(work: ItemWork, reason: GiveUpReason, missing?: MissingRoute): void {
    if (this.closed || work.stage.kind === 'finished') return;
    this.context.log.event('item-given-up', {
      job: this.head.id,
      item: work.item.id,
      reason,
      failures: work.failures,
      doubts: work.doubts || undefined,
      failedRuns: work.failedRuns.length > 0 ? work.failedRuns : undefined,
      config: missing?.version,
      configAgeMs: missing && Math.round(missing.ageMs),
    });
    this.finish(work, {state: 'failed', text: ''}, missing?.row);
  }

  /**
   * Counts a failed run. The item is not retried until the failure is in the
   * store: otherwise a host that takes the job over would grant it all attempts
   * again.
   *
   * @param work - Item of the job.
   * @param run - The response.
   */
  fail(work: ItemWork, run: FailedResponse): void {
    work.failures++;
    this.recordRun(work, run);
  }

  /**
   * Counts a run whose response may be less than a failure, as a broken off or
   * foreign one. It uses up no attempt, but an item is not run without end.
   *
   * @param work - Item of the job.
   * @param run - The response.
   */
  doubt(work: ItemWork, run: FailedResponse): void {
    work.doubts++;
    this.recordRun(work, run);
  }

  /**
   * Counts a response that may state that the item can never be done.
   *
   * @param work - Item of the job.
   * @param run - The response.
   */
  doubtProcessable(work: ItemWork, run: FailedResponse): void {
    const earlier = work.failedRuns.filter(({status}) => status === run.status);
    if (earlier.length + 1 >= MAX_UNPROCESSABLE_IN_DOUBT)
      this.giveUp(work, 'unprocessable');
    else this.doubt(work, run);
  }

  private recordRun(work: ItemWork, run: FailedResponse): void {
    work.failedRuns = [...work.failedRuns, this.describe(work, run)];
    const {failures, doubts} = work;
    const {maxAttempts} = this.head;
    const maxInDoubt = maxAttempts * MAX_ATTEMPTS_FACTOR_IN_DOUBT;
    if (failures >= maxAttempts || failures + doubts >= maxInDoubt) {
      this.giveUp(work, 'failed-runs');
      return;
    }
    work.stage = {kind: 'recording'};
    this.failed.push(work);
    this.flush();
  }

  private describe({runs}: ItemWork, response: FailedResponse): FailedRun {
    const {owner, acceptedAtMs} = this.head;
    const atMs = Math.round(this.context.store.storeTimeMs() ?? 0);
    const sinceAcceptedMs = atMs - Math.round(acceptedAtMs);
    return {...response, run: runs, owner, sinceAcceptedMs};
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
   * Hands the job over to another host, including its partial texts.
   *
   * @param owner - Member ID of the host incarnation that takes it over.
   */
  async handOver(owner: string): Promise<void> {
    for (const {stage} of this.work)
      if (stage.kind === 'running') stage.control.end('stop');
    const {clock} = this.context;
    const timeout = sleep(clock, HANDOVER_STORING_MS, this.stop.signal);
    await Promise.race([this.storing, timeout]);
    this.storingEnded = true;
    while (this.writing) await this.writing;
    if (this.closed) return;
    // Writes of the head must not overlap: a run that ends meanwhile is not
    // written any more.
    this.writing = this.writeOwner(owner);
    await this.writing;
    this[Symbol.dispose]();
  }

  private async writeOwner(owner: string): Promise<void> {
    const puts = this.partialRows();
    const written = await this.writer.write({owner}, puts);
    this.context.log.event('job-handed-over', {
      job: this.head.id,
      to: owner,
      partials: puts.length,
      outcome: written.ok ? 'written' : written.err.kind,
    });
  }

  /**
   * Stores the partial texts, so that a host that takes the job over resumes
   * from them. These rows are not fenced: each holds the events of an item from
   * the first up to some ID, whichever host has written it.
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

  /**
   * @returns Rows of the partial texts that have grown since they were last
   *   stored.
   */
  private partialRows(): readonly RowPut[] {
    const puts: RowPut[] = [];
    let bytes = 0;
    for (const work of this.work) {
      const {index, stage, lastEventId, texts, softwareVersion} = work;
      if (stage.kind === 'finished' || texts.length === work.checkpointedTexts)
        continue;
      const value = encodeJson({lastEventId, texts, softwareVersion});
      const {rowBytes, transactionBytes} = this.context.limits;
      if (value.length > rowBytes) continue;
      if (bytes + value.length > transactionBytes) continue;
      if (puts.length >= MAX_PARTIALS_PER_TRANSACTION) break;
      bytes += value.length;
      work.checkpointedTexts = texts.length;
      puts.push({...jobRowRef(PARTIAL_TABLE, this.head.id, index), value});
    }
    return puts;
  }

  private finish(
    work: ItemWork,
    {state, text}: Pick<ItemResult, 'state' | 'text'>,
    basis?: ExpectedRow,
  ): void {
    if (this.closed || work.stage.kind === 'finished') return;
    work.stage = {kind: 'finished'};
    if (!basis) work.texts = [];
    const result: ItemResult = {id: work.item.id, state, text};
    const finishedAtMs = this.context.clock.now();
    const item = {work, state, basis, finishedAtMs};
    const value = encodeJson({kind: 'here', ...result} satisfies StoredResult);
    if (value.length <= this.context.limits.rowBytes) {
      this.enlist({...item, value});
      return;
    }
    // Guards against results, and failures, that wait for the text of another
    // item: a host may reach the rows of the store, but not its objects.
    this.storing = this.storing.then(async () => {
      const reference = await this.storeText(result.id, value);
      if (reference && !this.storingEnded)
        this.enlist({...item, value: reference});
    });
  }

  private enlist(item: FinishedItem): void {
    this.finished.push(item);
    this.flush();
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
    const {puts, items} = this.nextRows();
    const failed = this.failed.splice(0);
    const listed = this.head.listed + items.length;
    const done = listed === this.head.items;
    const written = await this.writer.write(
      {
        listed,
        failures: withCounts(this.head.failures, failed, 'failures'),
        doubts: withCounts(this.head.doubts, failed, 'doubts'),
        failedRuns: this.failedRuns(),
        ...(done
          ? {state: 'done', closedAtMs: this.context.store.storeTimeMs()}
          : {}),
      },
      puts,
      items.flatMap(({basis}) => basis ?? []),
    );
    if (!written.ok) {
      if (written.err.kind !== 'ownership-lost') {
        this.failed.unshift(...failed);
        this.keepItems(
          items.filter(({basis}) => basis),
          written.err.kind,
        );
        return;
      }
      const {state, owner} = written.err;
      this.context.log.event('job-lost', {job: this.head.id, state, owner});
      this[Symbol.dispose]();
      return;
    }
    this.finished.splice(0, items.length);
    for (const work of failed) work.stage = {kind: 'waiting', notBefore: 0};
    for (const item of items) this.reportListed(item);
    if (done) this[Symbol.dispose]();
  }

  /** Lets items wait again that were to be given up. */
  private keepItems(items: readonly FinishedItem[], reason: string): void {
    const notBefore = this.context.clock.now() + KEPT_ITEM_DELAY_MS;
    for (const item of items) {
      const {work} = item;
      this.finished.splice(this.finished.indexOf(item), 1);
      work.stage = {kind: 'waiting', notBefore};
      this.context.log.event('item-kept', {
        job: this.head.id,
        item: work.item.id,
        reason,
      });
    }
  }

  private reportListed({work, state, finishedAtMs}: FinishedItem): void {
    const {clock, store} = this.context;
    reportListedItem(this.context, this.head, work, state, {
      adoptedAtMs: this.adoptedAtMs,
      finishedAtMs,
      listedAtMs: clock.now(),
      storeTimeMs: store.storeTimeMs(),
    });
  }

  /** A limited number of failed runs of the items that have no result. */
  private failedRuns(): JobHead['failedRuns'] {
    const byItem: Record<string, readonly FailedRun[]> = {};
    let left = MAX_FAILED_RUNS_IN_HEAD;
    for (const {index, stage, failedRuns} of this.work) {
      if (stage.kind === 'finished' || failedRuns.length === 0) continue;
      const newest = failedRuns.slice(-left);
      byItem[index] = newest;
      left -= newest.length;
      if (left === 0) break;
    }
    return byItem;
  }

  private nextRows(): {
    readonly puts: readonly RowPut[];
    readonly items: readonly FinishedItem[];
  } {
    const puts: RowPut[] = [];
    const items: FinishedItem[] = [];
    let bytes = 0;
    for (const item of this.finished.slice(0, MAX_RESULTS_PER_TRANSACTION)) {
      const position = this.head.listed + items.length;
      const {value} = item;
      bytes += value.length;
      if (items.length > 0 && bytes > this.context.limits.transactionBytes)
        break;
      const ref = jobRowRef(RESULT_TABLE, this.head.id, position);
      puts.push({...ref, value});
      items.push(item);
    }
    return {puts, items};
  }

  /**
   * Stores a text as an object.
   *
   * @param itemId - ID of the item.
   * @param bytes - The result with its text.
   * @returns Value of the row that refers to the object; undefined if the job
   *   was let go before the object was stored.
   */
  private async storeText(
    itemId: string,
    bytes: Uint8Array,
  ): Promise<Uint8Array | undefined> {
    const {store, clock} = this.context;
    // The same item may have run twice: the nonce of the head keeps the objects
    // of its runs apart.
    const name = `text-${encodeURIComponent(itemId)}-${this.head.nonce}`;
    while (!this.closed && !this.storingEnded) {
      const put = await store.putObject(name, bytes);
      if (put.ok || put.err.kind === 'conflict')
        return encodeJson({kind: 'object', name} satisfies StoredResult);
      await sleep(clock, OBJECT_RETRY_DELAY_MS, this.stop.signal);
    }
    return undefined;
  }
}
