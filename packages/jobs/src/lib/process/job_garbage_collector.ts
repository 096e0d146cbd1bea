/**
 * Removes closed jobs after their retention period, so that the store does not
 * fill up. Each job is assigned to one host by rendezvous hashing, as owners
 * are; if two hosts both consider themselves assigned, they remove the same
 * rows. The head is removed last, so that an interrupted removal is found again
 * through it.
 */
import {DisposableStore, rendezvous, repeat, type Clock} from '@oathead/core';
import type {EventLog} from '@oathead/core';
import type {Membership} from '@oathead/gateway';
import {
  decodeJson,
  type ExpectedRow,
  type RowRef,
  type RowStore,
  type TableUpdate,
  type VersionedRow,
} from '@oathead/stores';
import {contentObjectName} from '../request/job_content.js';
import {STORED_RESULT} from '../request/job_reader.js';
import {
  CONTENT_TABLE,
  decodeHead,
  headRef,
  jobRowRange,
  PARTIAL_TABLE,
  RESULT_TABLE,
  type VersionedHead,
} from '../request/job_rows.js';

/** Dependencies of a {@link JobGarbageCollector}. */
export interface JobGarbageCollectorContext {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly membership: Membership;
  /** @returns How long a closed job stays readable, in milliseconds. */
  readonly closedJobRetentionMs: () => number;
}

/** Interval between checks for expired jobs, in milliseconds. */
const SWEEP_INTERVAL_MS = 10_000;
/**
 * Maximum number of jobs removed per sweep, so that the deletions do not delay
 * the writes of running jobs.
 */
const MAX_JOBS_PER_SWEEP = 20;
/**
 * Maximum number of rows in one transaction, below the store's limit of 100.
 */
const MAX_ROWS_PER_TRANSACTION = 90;
const JOB_TABLES = [CONTENT_TABLE, RESULT_TABLE, PARTIAL_TABLE] as const;

/** Removes closed jobs until it is disposed. */
export class JobGarbageCollector implements Disposable {
  private readonly disposables = new DisposableStore();
  private readonly closed = new Map<string, VersionedHead>();

  /** @param context - Store, membership and retention period. */
  constructor(private readonly context: JobGarbageCollectorContext) {}

  /** Starts the periodic sweep. */
  start(): void {
    const {clock} = this.context;
    this.disposables.add(repeat(clock, SWEEP_INTERVAL_MS, () => this.sweep()));
  }

  /** Stops the periodic sweep. */
  [Symbol.dispose](): void {
    this.disposables[Symbol.dispose]();
  }

  /**
   * Applies changed job heads.
   *
   * @param update - Changes reported by the watch on the heads.
   */
  update({put, removed}: TableUpdate): void {
    for (const row of put) {
      const head = decodeHead(row);
      // JobOwnership logs heads that cannot be decoded.
      if (!head.ok || head.value.state === 'open') continue;
      this.closed.set(row.key, {head: head.value, version: row.version});
    }
    for (const {key} of removed) this.closed.delete(key);
  }

  /** Removes the expired jobs that are assigned to this host. */
  async sweep(): Promise<void> {
    const {membership, store, closedJobRetentionMs} = this.context;
    const now = store.storeTimeMs() ?? 0;
    const live = membership.live().map(({id}) => id);
    const due = [...this.closed.values()]
      .filter(
        ({head}) => now > (head.closedAtMs ?? now) + closedJobRetentionMs(),
      )
      .filter(({head}) => rendezvous(head.id, live)[0] === membership.self.id);
    for (const found of due.slice(0, MAX_JOBS_PER_SWEEP))
      await this.remove(found);
  }

  private async remove({head, version}: VersionedHead): Promise<void> {
    const {store, log} = this.context;
    const ref = headRef(head.id);
    const expect = [{...ref, version}];
    for (const table of JOB_TABLES)
      if (!(await this.removeRows(table, head.id, expect))) return;
    if (head.content.kind === 'objects')
      for (let i = 0; i < head.content.pieces; i++)
        if (!(await this.removeObject(contentObjectName(head.id, i)))) return;
    const done = await store.transact({expect, puts: [], removes: [ref]});
    const outcome = done.ok ? 'removed' : done.err.kind;
    log.event('job-removed', {job: head.id, outcome});
  }

  /**
   * Removes rows as long as the head is the one that was found. Guards against a
   * removal that is performed late, when there is a new job of this ID.
   *
   * @returns Whether all rows of the job have been removed from the table.
   */
  private async removeRows(
    table: string,
    jobId: string,
    expect: readonly ExpectedRow[],
  ): Promise<boolean> {
    const {store} = this.context;
    for (;;) {
      const range = {
        ...jobRowRange(table, jobId),
        limit: MAX_ROWS_PER_TRANSACTION,
      };
      const page = await store.read(range);
      if (!page.ok) return false;
      const removes: readonly RowRef[] = page.value.rows.map(
        ({partition, key}) => ({table, partition, key}),
      );
      if (removes.length === 0) return true;
      // The rows go last: their objects are found through them.
      for (const name of page.value.rows.flatMap(textObjectOf))
        if (!(await this.removeObject(name))) return false;
      const done = await store.transact({expect, puts: [], removes});
      if (!done.ok) return false;
    }
  }

  private async removeObject(name: string): Promise<boolean> {
    return (await this.context.store.removeObject(name)).ok;
  }
}

/** @returns Name of the object to which the row of a result refers, if any. */
function textObjectOf({table, value}: VersionedRow): readonly string[] {
  if (table !== RESULT_TABLE) return [];
  const result = decodeJson(value, STORED_RESULT);
  return result.ok && result.value.kind === 'object' ? [result.value.name] : [];
}
