/**
 * Works off the chunks of the shares that this entry holds: takes them up,
 * sends their items as targets have room, records what comes of them.
 */
import {DisposableStore, repeat, sleep} from '@oathead/core';
import type {ItemRunner} from '@oathead/core';
import type {HeldShare, Membership} from '@oathead/membership';
import type {BatchDeps} from '../request/job_intake.js';
import type {BatchSettings} from './batch_settings.js';
import {CancelSweep} from './cancel_sweep.js';
import {ChunkLoader} from './chunk_loader.js';
import {ChunkRecorder} from './chunk_recorder.js';
import type {ChunkWork} from './chunk_work.js';
import {ItemRuns} from './item_run.js';
import {JobBoard} from './job_board.js';
import type {OpenJob} from './job_board.js';
import {jobOrder} from './job_order.js';
import {StoreContact} from './store_contact.js';

const MAX_LOADING = 4;
const DRAIN_STEP_MS = 50;

/** Works off the chunks of the shares that this entry holds. */
export class BatchWorker implements Disposable {
  readonly board: JobBoard;
  private readonly store = new DisposableStore();
  private readonly chunks = new Map<string, ChunkWork>();
  private readonly loading = new Set<string>();
  private readonly fenced = new Map<number, number>();
  private readonly contact: StoreContact;
  private readonly loader: ChunkLoader;
  private readonly recorder: ChunkRecorder;
  private readonly runs: ItemRuns;
  private readonly sweep: CancelSweep;
  private stopping = false;
  private pumping = false;

  /**
   * @param deps - Stores, clock, randomness and counters.
   * @param settings - Bounds and periods.
   * @param membership - Which shares are held.
   * @param runner - Sends items to targets.
   */
  constructor(
    private readonly deps: BatchDeps,
    private readonly settings: BatchSettings,
    private readonly membership: Membership,
    private readonly runner: ItemRunner,
  ) {
    this.board = new JobBoard(deps, membership, (path, job) =>
      this.onJob(path, job),
    );
    this.contact = new StoreContact(deps, membership);
    this.loader = new ChunkLoader(deps, membership);
    this.recorder = new ChunkRecorder(deps, settings, membership, this.board, {
      claimed: (chunk, items) => this.onClaimed(chunk, items),
      fenced: chunk => this.onFenced(chunk),
      recorded: chunk => this.onRecorded(chunk),
    });
    this.runs = new ItemRuns(deps, settings, runner, chunk => {
      this.recorder.kick(chunk);
      this.pump();
    });
    this.sweep = new CancelSweep(deps, membership, this.loader);
    const held = () => this.onHeldChange();
    this.store.add(this.board);
    this.store.add(this.contact);
    this.store.add(membership.onTaken(held));
    this.store.add(membership.onLost(held));
    this.store.add(membership.onHandOver(share => this.drainShare(share)));
    this.store.add(runner.onRoom(() => this.pump()));
    this.store.add(repeat(deps.clock, settings.pumpMs, () => this.pump()));
    this.onHeldChange();
  }

  /**
   * Starts nothing more, lets running items end for a while, gives back those
   * that may be repeated, and records all.
   */
  async stop(): Promise<void> {
    this.stopping = true;
    await this.drain([...this.chunks.values()]);
  }

  [Symbol.dispose](): void {
    this.stopping = true;
    for (const chunk of this.chunks.values()) chunk.drop();
    this.store[Symbol.dispose]();
  }

  private onJob(path: string, job: OpenJob | undefined): void {
    if (job === undefined) this.forgetJob(path);
    else if (job.row.state === 'cancelling') this.cancelLoaded(path);
    this.pump();
  }

  private forgetJob(path: string): void {
    this.loader.forget(path);
    for (const chunk of this.chunksOf(path)) this.dropChunk(chunk);
  }

  private cancelLoaded(path: string): void {
    for (const chunk of this.chunksOf(path)) {
      this.runs.cancel(chunk);
      this.recorder.kick(chunk);
    }
  }

  private chunksOf(path: string): readonly ChunkWork[] {
    return [...this.chunks.values()].filter(({place}) => place.path === path);
  }

  private onHeldChange(): void {
    this.loader.reset();
    this.pump();
  }

  private onClaimed(chunk: ChunkWork, items: readonly number[]): void {
    for (const index of items) {
      if (chunk.state(index) !== 'leased') continue;
      if (this.mayRun(chunk, index)) void this.runs.run(chunk, index);
      else this.release(chunk, index);
    }
  }

  private release(chunk: ChunkWork, index: number): void {
    chunk.tell(index, {type: 'release'});
    chunk.putReady(index);
  }

  private onFenced(chunk: ChunkWork): void {
    this.fenced.set(chunk.place.share, chunk.place.epoch);
    this.dropChunk(chunk);
  }

  private onRecorded(chunk: ChunkWork): void {
    if (!chunk.closed) return;
    this.loader.markClosed(chunk.place.path, chunk.place.n);
    this.chunks.delete(keyOf(chunk.place));
    this.pump();
  }

  private dropChunk(chunk: ChunkWork): void {
    if (chunk.unrecorded.size > 0) {
      const by = chunk.unrecorded.size;
      this.deps.counters.count('batch_outcomes_dropped', {why: 'chunk'}, by);
    }
    chunk.drop();
    this.chunks.delete(keyOf(chunk.place));
  }

  private pump(): void {
    if (this.pumping || this.stopping) return;
    this.pumping = true;
    this.dropForeign();
    for (const chunk of this.chunks.values()) this.recorder.kick(chunk);
    this.startItems();
    this.loadChunks();
    this.sweepCancelled();
    this.pumping = false;
  }

  /**
   * Gives up chunks whose share went to another. While only the lease has
   * lapsed, nobody else owns the share, and the chunk is kept: if the store was
   * down for all, the share comes back with the same epoch.
   */
  private dropForeign(): void {
    const held = new Map(
      this.membership.held().map(({share, epoch}) => [share, epoch]),
    );
    for (const chunk of this.chunks.values()) {
      const {share, epoch} = chunk.place;
      const now = held.get(share);
      const mine =
        this.membership.ownerOf(share)?.entryId === this.membership.entryId;
      const kept = now === undefined ? mine : now === epoch;
      if (!kept) this.dropChunk(chunk);
    }
  }

  private startItems(): void {
    const pools = new Set(
      [...this.chunks.values()].flatMap(chunk => chunk.readyPools),
    );
    for (const pool of pools) {
      let room = this.runner.room(pool);
      while (room-- > 0 && this.startOne(pool));
    }
  }

  private startOne(pool: string): boolean {
    if (this.unrecorded() >= this.settings.maxUnrecorded) return false;
    const order = jobOrder(caller => this.runningOf(caller));
    const ready = [...this.chunks.values()]
      .filter(chunk => chunk.readyCount(pool) > 0)
      .sort((a, b) => order(a.job, b.job) || a.place.n - b.place.n);
    for (const chunk of ready) {
      const index = chunk.takeReady(pool, i => this.mayRun(chunk, i));
      if (index === undefined) continue;
      this.lease(chunk, index);
      return true;
    }
    return false;
  }

  private lease(chunk: ChunkWork, index: number): void {
    chunk.tell(index, {type: 'lease'});
    if (chunk.items[index]!.idempotent) {
      void this.runs.run(chunk, index);
      return;
    }
    chunk.claims.add(index);
    this.recorder.kick(chunk);
  }

  /**
   * A suspect runs only once its row says so: should its holder die with it,
   * the next holder must not take it for an innocent.
   */
  private mayRun(chunk: ChunkWork, index: number): boolean {
    if (chunk.draining || chunk.cancelling || this.stopping) return false;
    const {idempotent} = chunk.items[index]!;
    const suspect = chunk.state(index) === 'suspect';
    if (suspect && chunk.recordedState(index) !== 'suspect') return false;
    const contact = this.contact.check();
    if (contact.kind === 'unknown') return false;
    if (this.membership.fence(chunk.place.share) !== undefined) return true;
    if (contact.kind === 'up' || !idempotent) return false;
    return contact.sinceMs < this.settings.outageRunMs;
  }

  private loadChunks(): void {
    const order = jobOrder(caller => this.runningOf(caller));
    const jobs = [...this.board.all()]
      .filter(({row}) => row.state === 'open')
      .sort((a, b) => order(a.row, b.row));
    for (const job of jobs) {
      const wanted = job.row.pools.some(pool => this.wantsMore(pool));
      if (wanted && !this.loadOne(job)) return;
    }
  }

  private wantsMore(pool: string): boolean {
    const ready = [...this.chunks.values()].reduce(
      (sum, chunk) => sum + (chunk.draining ? 0 : chunk.readyCount(pool)),
      0,
    );
    return this.runner.room(pool) > ready;
  }

  /** @returns Whether there is still room for a chunk. */
  private loadOne(job: OpenJob): boolean {
    const {maxLoadedChunks} = this.settings;
    if (this.loading.size >= MAX_LOADING) return false;
    if (this.chunks.size + this.loading.size >= maxLoadedChunks) return false;
    const todo = this.loader.todo(job);
    while (todo.length > 0) {
      const n = todo.shift()!;
      const place = this.loader.place(job, n);
      if (place === undefined || this.isTaken(keyOf(place))) continue;
      if (this.fenced.get(place.share) === place.epoch) continue;
      void this.load(job, place);
      return true;
    }
    return true;
  }

  private isTaken(key: string): boolean {
    return this.chunks.has(key) || this.loading.has(key);
  }

  private async load(job: OpenJob, place: ChunkWork['place']): Promise<void> {
    const key = keyOf(place);
    this.loading.add(key);
    const loaded = await this.loader.load(job, place);
    this.loading.delete(key);
    if (loaded === 'closed') return this.pump();
    const held = this.membership
      .held()
      .some(({share, epoch}) => share === place.share && epoch === place.epoch);
    if (loaded === undefined || !held) {
      await sleep(this.deps.clock, this.settings.pumpMs);
      this.loader.reset();
      return;
    }
    if (this.stopping) return;
    this.chunks.set(key, loaded);
    if (this.board.get(job.path)?.row.state === 'cancelling') {
      this.runs.cancel(loaded);
    }
    this.pump();
  }

  private sweepCancelled(): void {
    for (const job of this.board.all()) {
      if (job.row.state !== 'cancelling') continue;
      this.sweep.kick(job, n => this.isTaken(`${job.path}/${n}`));
    }
  }

  private async drainShare({share}: HeldShare): Promise<void> {
    const chunks = [...this.chunks.values()];
    await this.drain(chunks.filter(({place}) => place.share === share));
  }

  private async drain(chunks: readonly ChunkWork[]): Promise<void> {
    for (const chunk of chunks) chunk.draining = true;
    const {clock} = this.deps;
    const deadline = clock.now() + this.settings.drainMs;
    const busy = () => chunks.some(({running}) => running.size > 0);
    while (busy() && clock.now() < deadline) await sleep(clock, DRAIN_STEP_MS);
    for (const chunk of chunks) abortRepeatable(chunk);
    while (busy()) await sleep(clock, DRAIN_STEP_MS);
    await Promise.all(chunks.map(chunk => this.recorder.flush(chunk)));
    for (const chunk of chunks) this.dropChunk(chunk);
  }

  private unrecorded(): number {
    let sum = 0;
    for (const {unrecorded} of this.chunks.values()) sum += unrecorded.size;
    return sum;
  }

  private runningOf(caller: string): number {
    let sum = 0;
    for (const {job, running} of this.chunks.values()) {
      if (job.caller === caller) sum += running.size;
    }
    return sum;
  }
}

function keyOf({path, n}: {readonly path: string; readonly n: number}): string {
  return `${path}/${n}`;
}

function abortRepeatable({running, items}: ChunkWork): void {
  for (const [index, abort] of running) {
    if (items[index]!.idempotent) abort.abort();
  }
}
