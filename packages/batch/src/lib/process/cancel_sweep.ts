/**
 * Closes chunks of cancelled jobs that no entry had taken up. It takes no
 * items' content: which of them were started is in the chunk's row.
 */
import {nextItemState} from '@oathead/core';
import type {Membership} from '@oathead/membership';
import type {Row, RowCheck, RowWrite} from '@oathead/stores';
import type {BatchDeps} from '../request/job_intake.js';
import {
  chunkKey,
  chunkLength,
  chunkOf,
  jobKey,
  packStates,
  recordedAs,
  rowJson,
  unpackStates,
} from '../request/job_rows.js';
import type {ChunkRow, RecordedState} from '../request/job_rows.js';
import type {ChunkLoader} from './chunk_loader.js';
import type {ChunkPlace} from './chunk_work.js';
import type {OpenJob} from './job_board.js';

const CHUNKS_PER_WRITE = 32;

/** Closes chunks of cancelled jobs that no entry had taken up. */
export class CancelSweep {
  private readonly sweeping = new Set<string>();

  /**
   * @param deps - Store and randomness.
   * @param membership - Where fences come from.
   * @param loader - Which chunks are this entry's.
   */
  constructor(
    private readonly deps: BatchDeps,
    private readonly membership: Membership,
    private readonly loader: ChunkLoader,
  ) {}

  /**
   * Closes the chunks of a job that are this entry's, some at a time.
   *
   * @param job - A cancelled job.
   * @param taken - Whether a chunk is in memory, and closes by itself.
   */
  kick(job: OpenJob, taken: (n: number) => boolean): void {
    if (this.sweeping.has(job.path)) return;
    const todo = this.loader.todo(job).filter(n => !taken(n));
    if (todo.length === 0) return;
    this.sweeping.add(job.path);
    void this.sweep(job, todo).finally(() => this.sweeping.delete(job.path));
  }

  private async sweep(job: OpenJob, todo: readonly number[]): Promise<void> {
    for (let i = 0; i < todo.length; i += CHUNKS_PER_WRITE) {
      const some = todo.slice(i, i + CHUNKS_PER_WRITE);
      if (!(await this.close(job, some))) return;
    }
  }

  /** @returns Whether it is worth going on. */
  private async close(
    job: OpenJob,
    numbers: readonly number[],
  ): Promise<boolean> {
    const read = await this.deps.table.read(
      numbers.map(n => chunkKey(job.path, n)),
    );
    if (!read.ok) return false;
    const checks = new Map<string, RowCheck>();
    const writes: RowWrite[] = [];
    const closing: number[] = [];
    for (const [i, n] of numbers.entries()) {
      const row = read.value[i];
      const place = this.loader.place(job, n);
      const fence = place && this.membership.fence(place.share);
      if (row && chunkOf(row).closed) this.loader.markClosed(job.path, n);
      else if (place && fence) {
        const key = chunkKey(job.path, n);
        checks.set(fence.key, fence);
        checks.set(key, {key, version: row?.version ?? 0});
        const value = rowJson(this.closedRow(job, place, row));
        writes.push({kind: 'put', key, value});
        closing.push(n);
      }
    }
    if (closing.length === 0) return true;
    const key = jobKey(job.path);
    checks.set(key, {key, version: job.version});
    const outcome = await this.deps.table.write({
      checks: [...checks.values()],
      writes,
    });
    if (!outcome.ok) return false;
    for (const n of closing) this.loader.markClosed(job.path, n);
    return true;
  }

  private closedRow(
    job: OpenJob,
    place: ChunkPlace,
    stored: Row | undefined,
  ): ChunkRow {
    const before = stored && chunkOf(stored);
    const states: RecordedState[] = before
      ? unpackStates(before.states)
      : Array.from({length: chunkLength(job.row, place.n)}, () => 'waiting');
    return {
      epoch: place.epoch,
      states: packStates(states.map(cancelled)),
      losses: before?.losses ?? {},
      objects: before?.objects ?? [],
      closed: true,
    };
  }
}

/** Only an item that is not idempotent is recorded as started. */
function cancelled(state: RecordedState): RecordedState {
  const idempotent = state !== 'started';
  const left = nextItemState(state, {type: 'orphan', idempotent});
  return recordedAs(nextItemState(left, {type: 'cancel', idempotent}));
}
