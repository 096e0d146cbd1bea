/**
 * Works off the chunks of the shares that this entry holds: takes them up,
 * sends their items as targets have room, records what comes of them.
 */
import {DisposableStore, repeat, sleep} from '@oathead/core';
import type {ItemRunner} from '@oathead/core';
import type {Membership} from '@oathead/membership';
import type {BatchDeps} from '../request/job_intake.js';
import type {BatchSettings} from './batch_settings.js';
import {CancelSweep} from './cancel_sweep.js';
import {ChunkKeeper} from './chunk_keeper.js';
import {ChunkLoader} from './chunk_loader.js';
import {ChunkRecorder} from './chunk_recorder.js';
import type {ChunkWork} from './chunk_work.js';
import {ItemRuns} from './item_run.js';
import {ItemStarter} from './item_starter.js';
import {JobBoard} from './job_board.js';
import type {OpenJob} from './job_board.js';
import {LoadedChunks} from './loaded_chunks.js';
import {StoreContact} from './store_contact.js';

const DRAIN_STEP_MS = 50;

/** The part of a stop that is left to items; the rest is for recording. */
const DRAIN_SHARE = 0.6;

/** Items that end together are followed up together. */
const PUMP_DELAY_MS = 2;

/** Works off the chunks of the shares that this entry holds. */
export class BatchWorker implements Disposable {
  /** The jobs that have not ended. */
  readonly board: JobBoard;
  private readonly store = new DisposableStore();
  private readonly chunks: LoadedChunks;
  private readonly loader: ChunkLoader;
  private readonly keeper: ChunkKeeper;
  private readonly recorder: ChunkRecorder;
  private readonly runs: ItemRuns;
  private readonly starter: ItemStarter;
  private readonly sweep: CancelSweep;
  private pumpDue = false;

  /**
   * @param deps - Stores, clock, randomness and counters.
   * @param settings - Bounds and periods.
   * @param membership - Which shares are held.
   * @param runner - Sends items to targets.
   * @param weightOf - The share of a caller under contention.
   */
  constructor(
    private readonly deps: BatchDeps,
    private readonly settings: BatchSettings,
    membership: Membership,
    runner: ItemRunner,
    weightOf: (caller: string) => number,
  ) {
    const chunks = new LoadedChunks(weightOf);
    const contact = new StoreContact(deps);
    const board = new JobBoard(deps, membership, {
      changed: (path, job) => this.onJob(path, job),
      current: () => contact.noteCurrent(),
    });
    const loader = new ChunkLoader(deps, membership);
    const parts = {settings, membership, runner, chunks, board, loader};
    this.board = this.store.add(board);
    this.chunks = chunks;
    this.loader = loader;
    this.keeper = new ChunkKeeper({
      ...deps,
      ...parts,
      onLoaded: chunk => this.onLoaded(chunk),
    });
    this.recorder = new ChunkRecorder(deps, settings, membership, board, {
      claimed: (chunk, items) => this.starter.startClaimed(chunk, items),
      fenced: chunk => this.keeper.noteFenced(chunk),
      recorded: chunk => this.onRecorded(chunk),
    });
    this.runs = new ItemRuns(deps, settings, runner, () => this.pump());
    const {recorder, runs} = this;
    this.starter = new ItemStarter({...parts, contact, recorder, runs});
    this.sweep = new CancelSweep(deps, membership, loader);
    this.listen(membership, runner);
  }

  /**
   * Starts nothing more, lets running items end for a while, gives back those
   * that may be repeated, and records all.
   *
   * @param timeoutMs - At most so long, in milliseconds.
   */
  async stop(timeoutMs: number): Promise<void> {
    this.keeper.stop();
    const end = new AbortController();
    await Promise.race([
      this.drain(
        this.chunks.filter(() => true),
        Math.min(this.settings.drainMs, timeoutMs * DRAIN_SHARE),
      ),
      sleep(this.deps.clock, timeoutMs, end.signal),
    ]);
    end.abort();
  }

  [Symbol.dispose](): void {
    this.keeper.stop();
    for (const chunk of this.chunks.all()) chunk.drop();
    this.store[Symbol.dispose]();
  }

  private listen(membership: Membership, runner: ItemRunner): void {
    // At once: nothing may be done under a share that has gone, or has come
    // back with another epoch.
    const onHeldChange = () => {
      this.loader.reset();
      this.keeper.dropForeign();
      this.pump();
    };
    this.store.add(membership.onAcquired(onHeldChange));
    this.store.add(membership.onLost(onHeldChange));
    this.store.add(
      membership.onHandOver(({share}) =>
        this.drain(
          this.chunks.filter(({place}) => place.share === share),
          this.settings.drainMs,
        ),
      ),
    );
    this.store.add(runner.onFreeCapacity(() => this.pump()));
    this.store.add(
      repeat(this.deps.clock, this.settings.pumpMs, () => this.pump()),
    );
    onHeldChange();
  }

  private pump(): void {
    if (this.pumpDue || this.store.disposed) return;
    this.pumpDue = true;
    this.deps.clock.after(PUMP_DELAY_MS, () => {
      this.pumpDue = false;
      if (!this.store.disposed) this.work();
    });
  }

  /** Looks at everything once, and does what can be done now. */
  private work(): void {
    this.keeper.dropForeign();
    this.starter.startAll();
    this.keeper.takeUp();
    this.sweepCancelled();
  }

  private onJob(path: string, job: OpenJob | undefined): void {
    const chunks = this.chunks.ofJob(path);
    if (job === undefined) {
      this.loader.forget(path);
      for (const chunk of chunks) this.keeper.drop(chunk);
    } else if (job.row.state === 'cancelling') {
      for (const chunk of chunks) this.runs.cancel(chunk);
    }
    this.pump();
  }

  private onLoaded(chunk: ChunkWork): void {
    const job = this.board.get(chunk.place.path);
    if (job === undefined) this.keeper.drop(chunk);
    else if (job.row.state === 'cancelling') this.runs.cancel(chunk);
    this.pump();
  }

  private onRecorded(chunk: ChunkWork): void {
    if (chunk.closed) {
      this.loader.markClosed(chunk.place.path, chunk.place.n);
      this.chunks.delete(chunk);
    }
    this.pump();
  }

  private sweepCancelled(): void {
    for (const job of this.board.all()) {
      if (job.row.state !== 'cancelling') continue;
      this.sweep.kick(job, n => this.keeper.isTaken(job.path, n));
    }
  }

  /**
   * Finishes chunks: what runs may end, what may be repeated is given back after
   * a while, what may not is waited for.
   */
  private async drain(
    chunks: readonly ChunkWork[],
    drainMs: number,
  ): Promise<void> {
    for (const chunk of chunks) chunk.draining = true;
    const {clock} = this.deps;
    const deadline = clock.now() + drainMs;
    const busy = () =>
      chunks.some(
        ({running, dropped}) => running.size > 0 && !dropped.signal.aborted,
      );
    while (busy() && clock.now() < deadline) await sleep(clock, DRAIN_STEP_MS);
    for (const chunk of chunks) abortRepeatable(chunk);
    while (busy()) await sleep(clock, DRAIN_STEP_MS);
    await Promise.all(chunks.map(chunk => this.recorder.flush(chunk)));
    for (const chunk of chunks) this.keeper.drop(chunk);
  }
}

function abortRepeatable({running, items}: ChunkWork): void {
  for (const [index, abort] of running) {
    if (items[index]!.idempotent) abort.abort();
  }
}
