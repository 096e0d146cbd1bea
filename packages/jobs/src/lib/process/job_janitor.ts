/**
 * Removes jobs that are long closed, so that the store does not fill up. Each
 * job is removed by one host, chosen like an owner; two that both think they
 * are it remove the same rows. The head goes last: a removal that is cut is
 * found again by it.
 */
import {DisposableStore, rendezvous, repeat, type Clock} from '@oathead/core';
import type {EventLog} from '@oathead/core';
import type {Membership} from '@oathead/gateway';
import {
  decodeJson,
  type RowRef,
  type RowStore,
  type TableUpdate,
} from '@oathead/stores';
import {contentName} from '../request/job_content.js';
import {
  CONTENT_TABLE,
  headRef,
  JOB_HEAD,
  jobRowRange,
  PARTIAL_TABLE,
  RESULT_TABLE,
  type VersionedHead,
} from '../request/job_rows.js';

/** What a {@link JobJanitor} needs. */
export interface JanitorContext {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly membership: Membership;
  /** @returns How long a closed job stays readable, in milliseconds. */
  readonly keepMs: () => number;
}

/** How often closed jobs are looked through, in milliseconds. */
const SWEEP_MS = 10_000;
/** Jobs that one sweep removes at the most: the writes must not crowd out those
 * of jobs that run. */
const JOBS_PER_SWEEP = 20;
/** Rows of a transaction at the most, below the store's 100. */
const ROWS_PER_WRITE = 90;
const JOB_TABLES = [CONTENT_TABLE, RESULT_TABLE, PARTIAL_TABLE] as const;

/** Removes closed jobs until disposed. */
export class JobJanitor implements Disposable {
  private readonly held = new DisposableStore();
  private readonly closed = new Map<string, VersionedHead>();

  /** @param context - The store, the members, and how long jobs are kept. */
  constructor(private readonly context: JanitorContext) {}

  /** Begins to look for jobs to remove. */
  start(): void {
    const {clock} = this.context;
    this.held.add(repeat(clock, SWEEP_MS, () => this.sweep()));
  }

  /** Ends it. */
  [Symbol.dispose](): void {
    this.held[Symbol.dispose]();
  }

  /** @param update - What the watch of the heads has brought. */
  update({put, removed}: TableUpdate): void {
    for (const {key, value, version} of put) {
      const head = decodeJson(value, JOB_HEAD);
      // The keeper says in the log that it can't be read.
      if (!head.ok || head.value.state === 'open') continue;
      this.closed.set(key, {head: head.value, version});
    }
    for (const {key} of removed) this.closed.delete(key);
  }

  /** Removes the jobs that are due. */
  async sweep(): Promise<void> {
    const {membership, store, keepMs} = this.context;
    const now = store.storeTimeMs() ?? 0;
    const live = membership.live().map(({id}) => id);
    const due = [...this.closed.values()]
      .filter(({head}) => now > (head.closedAtMs ?? now) + keepMs())
      .filter(({head}) => rendezvous(head.id, live)[0] === membership.self.id);
    for (const found of due.slice(0, JOBS_PER_SWEEP)) await this.remove(found);
  }

  private async remove({head, version}: VersionedHead): Promise<void> {
    const {store, log} = this.context;
    for (const table of JOB_TABLES)
      if (!(await this.removeRows(table, head.id))) return;
    if (head.content.kind === 'objects')
      for (let i = 0; i < head.content.pieces; i++)
        await store.removeObject(contentName(head.id, i));
    const ref = headRef(head.id);
    const expect = [{...ref, version}];
    const done = await store.transact({expect, puts: [], removes: [ref]});
    const outcome = done.ok ? 'removed' : done.err.kind;
    log.event('job-removed', {job: head.id, outcome});
  }

  /** @returns Whether all rows of the job are gone from the table. */
  private async removeRows(table: string, jobId: string): Promise<boolean> {
    const {store} = this.context;
    for (;;) {
      const range = {...jobRowRange(table, jobId), limit: ROWS_PER_WRITE};
      const page = await store.read(range);
      if (!page.ok) return false;
      const removes: readonly RowRef[] = page.value.rows.map(
        ({partition, key}) => ({table, partition, key}),
      );
      if (removes.length === 0) return true;
      const done = await store.transact({expect: [], puts: [], removes});
      if (!done.ok) return false;
    }
  }
}
