/** The jobs that have not ended, as one entry knows them. */
import {DisposableStore, isFinalJobState, success} from '@oathead/core';
import type {Outcome} from '@oathead/core';
import type {Head, Membership} from '@oathead/membership';
import type {Row, StoreError} from '@oathead/stores';
import type {BatchDeps} from '../request/job_intake.js';
import {OPEN_PREFIX, jobKey, jobOf} from '../request/job_rows.js';
import type {JobRow} from '../request/job_rows.js';

/** A job that has not ended. */
export interface OpenJob {
  /** The job, by `jobPath`. */
  readonly path: string;
  readonly row: JobRow;
  /** The row as read. */
  readonly stored: Row;
  /** Version of its row: it changes when the job is cancelled, or ends. */
  readonly version: number;
}

const PAGE = 1_000;
const ROWS_PER_READ = 100;

/** Told what becomes of jobs. */
export interface BoardListener {
  /** A job came, was cancelled, or has ended: then it is undefined. */
  changed(path: string, job: OpenJob | undefined): void;
  /** All that the head tells is taken in. */
  current(): void;
}

/** The jobs that have not ended. */
export class JobBoard implements Disposable {
  private readonly jobs = new Map<string, OpenJob>();
  private readonly store = new DisposableStore();
  /** The count of changes in the head that was last taken in. */
  private seen = -1;
  private learning = false;

  /**
   * @param deps - Stores and counters.
   * @param membership - Where the head comes from.
   * @param listener - Told what becomes of jobs.
   */
  constructor(
    private readonly deps: BatchDeps,
    membership: Membership,
    private readonly listener: BoardListener,
  ) {
    this.store.add(membership.onHead(head => void this.learn(head)));
  }

  /** @returns All jobs that have not ended. */
  all(): Iterable<OpenJob> {
    return this.jobs.values();
  }

  /**
   * @param path - A job, by `jobPath`.
   * @returns The job, if it has not ended as far as is known.
   */
  get(path: string): OpenJob | undefined {
    return this.jobs.get(path);
  }

  /**
   * Reads jobs again.
   *
   * @param paths - The jobs, by `jobPath`.
   * @returns Whether the store answered.
   */
  async refresh(paths: readonly string[]): Promise<boolean> {
    for (let i = 0; i < paths.length; i += ROWS_PER_READ) {
      const some = paths.slice(i, i + ROWS_PER_READ);
      const read = await this.deps.table.read(some.map(jobKey));
      if (!read.ok) return false;
      for (const [j, path] of some.entries()) this.take(path, read.value[j]);
    }
    return true;
  }

  [Symbol.dispose](): void {
    this.store[Symbol.dispose]();
  }

  /**
   * Catches up with the head. It names the last jobs that changed; an entry
   * that missed more, or has just begun, lists all that have not ended.
   */
  private async learn(head: Head): Promise<void> {
    if (this.learning) return;
    if (head.jobs === this.seen) {
      this.listener.current();
      return;
    }
    this.learning = true;
    const missed = head.jobs - this.seen;
    const gap = this.seen < 0 || missed > head.recentJobs.length;
    const paths = gap
      ? await this.listOpen()
      : success([...new Set(head.recentJobs.slice(0, missed))]);
    const learned = paths.ok && (await this.refresh(paths.value));
    this.learning = false;
    if (!learned) return;
    this.seen = head.jobs;
    this.listener.current();
  }

  private async listOpen(): Promise<Outcome<readonly string[], StoreError>> {
    const paths = [...this.jobs.keys()];
    let after: string | undefined;
    do {
      const page = await this.deps.table.list(OPEN_PREFIX, {
        after,
        limit: PAGE,
      });
      if (!page.ok) return page;
      paths.push(...page.value.map(row => row.key.slice(OPEN_PREFIX.length)));
      after = page.value.length === PAGE ? page.value.at(-1)!.key : undefined;
    } while (after !== undefined);
    return success([...new Set(paths)]);
  }

  private take(path: string, stored: Row | undefined): void {
    if (stored === undefined) return;
    const known = this.jobs.get(path);
    if (known?.version === stored.version) return;
    const row = jobOf(stored);
    const job = {path, row, stored, version: stored.version};
    if (isFinalJobState(row.state)) {
      this.jobs.delete(path);
      this.listener.changed(path, undefined);
      return;
    }
    this.jobs.set(path, job);
    this.listener.changed(path, job);
  }
}
