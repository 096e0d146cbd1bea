/** Takes up chunks of the shares that this entry holds. */
import type {Membership} from '@oathead/membership';
import {getChunkItems} from '../request/job_content.js';
import type {BatchDeps} from '../request/job_intake.js';
import {chunkCount, chunkKey, chunkOf} from '../request/job_rows.js';
import {ChunkWork} from './chunk_work.js';
import type {ChunkPlace} from './chunk_work.js';
import type {OpenJob} from './job_board.js';

/** Chunks of one job that are this entry's and may not be closed yet. */
interface Todo {
  readonly generation: number;
  readonly chunks: number[];
}

/** Takes up chunks of the shares that this entry holds. */
export class ChunkLoader {
  private readonly todos = new Map<string, Todo>();
  private readonly closed = new Map<string, Set<number>>();
  private generation = 0;
  private heldEpochs = new Map<number, number>();

  /**
   * @param deps - Stores and counters.
   * @param membership - Which shares are held.
   */
  constructor(
    private readonly deps: BatchDeps,
    private readonly membership: Membership,
  ) {}

  /** Looks at the held shares anew: they have changed. */
  reset(): void {
    this.generation++;
    const held = this.membership.held();
    this.heldEpochs = new Map(held.map(({share, epoch}) => [share, epoch]));
  }

  /** @param path - A job that has ended. */
  forget(path: string): void {
    this.todos.delete(path);
    this.closed.delete(path);
  }

  /**
   * @param path - A job.
   * @param n - Number of a chunk that is closed for good.
   */
  markClosed(path: string, n: number): void {
    const closed = this.closed.get(path) ?? new Set();
    this.closed.set(path, closed.add(n));
    const chunks = this.todos.get(path)?.chunks ?? [];
    const at = chunks.indexOf(n);
    if (at >= 0) chunks.splice(at, 1);
  }

  /**
   * @param job - A job.
   * @returns Its chunks that are to be taken up, in order. Who takes one up
   *     takes it out.
   */
  todo(job: OpenJob): number[] {
    const known = this.todos.get(job.path);
    if (known?.generation === this.generation) return known.chunks;
    const all = Array(chunkCount(job.row)).keys();
    const closed = this.closed.get(job.path);
    const chunks = [...all].filter(
      n => this.heldEpochs.has(this.share(job, n)) && !closed?.has(n),
    );
    this.todos.set(job.path, {generation: this.generation, chunks});
    return chunks;
  }

  /**
   * @param job - A job.
   * @param n - Number of a chunk.
   * @returns Where the chunk belongs, if its share is held.
   */
  place(job: OpenJob, n: number): ChunkPlace | undefined {
    const share = this.share(job, n);
    const epoch = this.heldEpochs.get(share);
    return epoch === undefined ? undefined : {path: job.path, n, share, epoch};
  }

  /**
   * @param job - A job.
   * @param place - One of its chunks.
   * @returns The chunk; `closed` when nothing is left to do in it; undefined
   *     when the stores gave no answer.
   */
  async load(
    job: OpenJob,
    place: ChunkPlace,
  ): Promise<ChunkWork | 'closed' | undefined> {
    const {table, objects, counters} = this.deps;
    const read = await table.read([chunkKey(place.path, place.n)]);
    if (!read.ok) return undefined;
    const stored = read.value[0];
    if (stored && chunkOf(stored).closed) {
      this.markClosed(place.path, place.n);
      return 'closed';
    }
    const items = await getChunkItems(objects, place.path, job.row, place.n);
    if (!items.ok) return undefined;
    if (items.value === undefined) {
      counters.count('batch_content_missing');
      return undefined;
    }
    return new ChunkWork(place, job.row, items.value, stored);
  }

  private share(job: OpenJob, n: number): number {
    return this.membership.shareOf(chunkKey(job.path, n));
  }
}
