/**
 * Ends jobs: the holder of a job's own share closes it once all its chunks are
 * closed. It waits at the first chunk that is not closed yet, so that a job
 * costs about one row read a look, and each of its chunks is read once.
 */
import {DisposableStore, nextJobState, repeat} from '@oathead/core';
import {bumpHead, withJob} from '@oathead/membership';
import type {Membership} from '@oathead/membership';
import type {ItemCounts} from '../request/job.js';
import {addCounts, countStates, NO_ITEMS} from '../request/item_counts.js';
import type {BatchDeps} from '../request/job_intake.js';
import {
  chunkCount,
  chunkKey,
  chunkOf,
  jobKey,
  openKey,
  rowJson,
} from '../request/job_rows.js';
import type {JobRow} from '../request/job_rows.js';
import type {JobBoard, OpenJob} from './job_board.js';

const CHUNKS_PER_READ = 32;

interface Progress {
  /** Chunks before this one are closed. */
  readonly next: number;
  readonly counts: ItemCounts;
}

/** Ends jobs whose chunks are all closed. */
export class JobCloser implements Disposable {
  private readonly progress = new Map<string, Progress>();
  private readonly store = new DisposableStore();

  /**
   * @param deps - Store, clock and randomness.
   * @param closeMs - How often to look, in milliseconds.
   * @param membership - Which shares are held.
   * @param board - The jobs that have not ended.
   */
  constructor(
    private readonly deps: BatchDeps,
    closeMs: number,
    private readonly membership: Membership,
    private readonly board: JobBoard,
  ) {
    this.store.add(repeat(deps.clock, closeMs, () => this.look()));
  }

  [Symbol.dispose](): void {
    this.store[Symbol.dispose]();
  }

  private async look(): Promise<void> {
    const held = new Set(this.membership.held().map(({share}) => share));
    const jobs = [...this.board.all()];
    const open = new Set(jobs.map(({path}) => path));
    for (const path of this.progress.keys()) {
      if (!open.has(path)) this.progress.delete(path);
    }
    const own = jobs.filter(job => held.has(this.shareOf(job)));
    await Promise.all(own.map(job => this.advance(job)));
  }

  private shareOf(job: OpenJob): number {
    return this.membership.shareOf(jobKey(job.path));
  }

  private async advance(job: OpenJob): Promise<void> {
    const chunks = chunkCount(job.row);
    let more = true;
    while (more) {
      const before = this.progress.get(job.path) ?? {next: 0, counts: NO_ITEMS};
      if (before.next === chunks) return this.close(job, before.counts);
      // A look at one row mostly finds it open still. Once it is closed, others
      // behind it are likely to be.
      const first = await this.closedFrom(job, before, 1);
      more = first.next > before.next;
      if (!more) return;
      const count = Math.min(CHUNKS_PER_READ, chunks - first.next);
      const after = await this.closedFrom(job, first, count);
      this.progress.set(job.path, after);
    }
  }

  private async closedFrom(
    job: OpenJob,
    {next, counts}: Progress,
    count: number,
  ): Promise<Progress> {
    if (count === 0) return {next, counts};
    const keys = [...Array(count).keys()].map(i =>
      chunkKey(job.path, next + i),
    );
    const read = await this.deps.table.read(keys);
    if (!read.ok) return {next, counts};
    let end = next;
    let sum = counts;
    for (const stored of read.value) {
      const row = stored && chunkOf(stored);
      if (!row?.closed) break;
      sum = addCounts(sum, countStates(row.states));
      end++;
    }
    return {next: end, counts: sum};
  }

  private async close(job: OpenJob, counts: ItemCounts): Promise<void> {
    const {path, row} = job;
    const fence = this.membership.fence(this.shareOf(job));
    if (fence === undefined) return;
    const ended: JobRow = {
      ...row,
      state: nextJobState(row.state, {type: 'close'}),
      endedAt: this.deps.clock.wallTime(),
      counts,
    };
    const marker = {key: jobKey(path), base: job.stored, value: rowJson(ended)};
    const gone = {kind: 'delete', key: openKey(path)} as const;
    await bumpHead(this.deps, {marker, checks: [fence], writes: [gone]}, head =>
      withJob(head, path),
    );
    // Whatever came of it, the row tells: ended, or cancelled in between.
    await this.board.refresh([path]);
  }
}
