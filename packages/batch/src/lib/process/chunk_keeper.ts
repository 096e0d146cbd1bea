/** Takes chunks up as targets have room for more, and gives them up. */
import {sleep} from '@oathead/core';
import type {ItemRunner} from '@oathead/core';
import type {Membership} from '@oathead/membership';
import type {BatchDeps} from '../request/job_intake.js';
import type {BatchSettings} from './batch_settings.js';
import type {ChunkLoader} from './chunk_loader.js';
import type {ChunkPlace, ChunkWork} from './chunk_work.js';
import type {JobBoard, OpenJob} from './job_board.js';
import type {JobOrder} from './job_order.js';
import type {LoadedChunks} from './loaded_chunks.js';

/** What {@link ChunkKeeper} works with. */
export interface KeeperDeps extends BatchDeps {
  readonly settings: BatchSettings;
  readonly membership: Membership;
  readonly runner: ItemRunner;
  readonly board: JobBoard;
  readonly loader: ChunkLoader;
  readonly chunks: LoadedChunks;
  /** Called with each chunk that was taken up. */
  readonly onLoaded: (chunk: ChunkWork) => void;
}

const MAX_LOADING = 4;

/**
 * Looking through all open jobs takes about a millisecond where there are some
 * hundred; once an item would be too often. What was prefetched lasts longer.
 */
const LOOK_MS = 50;

/** Takes chunks up as targets have room for more, and gives them up. */
export class ChunkKeeper {
  private readonly loading = new Set<string>();
  /** Epochs of shares that a record has found to be another's. */
  private readonly fenced = new Map<number, number>();
  private stopped = false;
  private lastLook = -Infinity;

  /** @param deps - The parts of the worker. */
  constructor(private readonly deps: KeeperDeps) {}

  /** Takes no more chunks up. */
  stop(): void {
    this.stopped = true;
  }

  /**
   * @param path - A job, by `jobPath`.
   * @param n - Number of a chunk.
   * @returns Whether the chunk is in memory, or on its way there.
   */
  isTaken(path: string, n: number): boolean {
    return this.deps.chunks.has({path, n}) || this.loading.has(`${path}/${n}`);
  }

  /**
   * Takes up chunks of the jobs that go first, as long as their models and
   * services have more room than the chunks in memory that go before them fill,
   * and some more, so that work goes on while the store is slow or down.
   */
  takeUp(): void {
    const {board, chunks, clock} = this.deps;
    const now = clock.now();
    if (this.stopped || now - this.lastLook < LOOK_MS) return;
    this.lastLook = now;
    const order = chunks.order();
    const jobs = [...board.all()]
      .filter(({row}) => row.state === 'open')
      .sort((a, b) => order(a.row, b.row));
    for (const job of jobs) {
      if (this.loading.size >= MAX_LOADING) return;
      if (this.wantsMore(job, order)) this.takeOne(job, order);
    }
  }

  /**
   * Gives up chunks whose share went to another. While only the lease has
   * lapsed, nobody else owns the share, and the chunk is kept: if the store was
   * down for all, the share comes back with the same epoch.
   */
  dropForeign(): void {
    const {membership, chunks} = this.deps;
    const held = new Map(
      membership.held().map(({share, epoch}) => [share, epoch]),
    );
    const isMine = (share: number) =>
      membership.ownerOf(share)?.entryId === membership.entryId;
    const foreign = chunks.filter(({place: {share, epoch}}) => {
      const now = held.get(share);
      return now === undefined ? !isMine(share) : now !== epoch;
    });
    for (const chunk of foreign) this.drop(chunk);
  }

  /** @param chunk - A chunk whose record has found the share another's. */
  noteFenced(chunk: ChunkWork): void {
    this.fenced.set(chunk.place.share, chunk.place.epoch);
    this.drop(chunk);
  }

  /** @param chunk - A chunk to be given up. */
  drop(chunk: ChunkWork): void {
    const {counters, chunks} = this.deps;
    const lost = chunk.unrecorded.size;
    if (lost > 0) counters.count('batch_outcomes_dropped', DROPPED, lost);
    chunk.drop();
    chunks.delete(chunk);
  }

  private wantsMore(job: OpenJob, order: JobOrder): boolean {
    const {chunks, runner, settings} = this.deps;
    const before = chunks.filter(
      chunk => !chunk.draining && order(chunk.job, job.row) <= 0,
    );
    return job.row.pools.some(pool => {
      const ready = before.reduce((sum, c) => sum + c.ready.count(pool), 0);
      return runner.freeCapacity(pool) + settings.prefetchItems > ready;
    });
  }

  private takeOne(job: OpenJob, order: JobOrder): void {
    const {loader} = this.deps;
    const todo = loader.todo(job);
    if (todo.length === 0 || !this.makeRoom(job, order)) return;
    while (todo.length > 0) {
      const n = todo.shift()!;
      const place = loader.place(job, n);
      if (place === undefined || this.isTaken(job.path, n)) continue;
      if (this.fenced.get(place.share) === place.epoch) continue;
      void this.load(job, place);
      return;
    }
  }

  /** An urgent job does not wait for chunks that only wait themselves. */
  private makeRoom(job: OpenJob, order: JobOrder): boolean {
    const {chunks, settings, loader} = this.deps;
    if (chunks.size + this.loading.size < settings.maxLoadedChunks) return true;
    const idle = chunks
      .filter(chunk => chunk.isIdle && order(chunk.job, job.row) > 0)
      .toSorted((a, b) => order(b.job, a.job));
    if (idle.length === 0) return false;
    this.drop(idle[0]!);
    loader.reset();
    return true;
  }

  private async load(job: OpenJob, place: ChunkPlace): Promise<void> {
    const {loader, settings, clock, chunks, onLoaded} = this.deps;
    const key = `${place.path}/${place.n}`;
    this.loading.add(key);
    const loaded = await loader.load(job, place);
    this.loading.delete(key);
    if (this.stopped || loaded === 'closed') return;
    if (loaded === undefined || !this.isHeld(place)) {
      await sleep(clock, settings.pumpMs);
      loader.reset();
      return;
    }
    chunks.add(loaded);
    onLoaded(loaded);
  }

  private isHeld({share, epoch}: ChunkPlace): boolean {
    const held = this.deps.membership.held();
    return held.some(h => h.share === share && h.epoch === epoch);
  }
}

const DROPPED = {why: 'chunk-given-up'} as const;
