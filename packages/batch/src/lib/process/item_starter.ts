/** Decides which item is sent next, and when none may be sent. */
import type {ItemRunner} from '@oathead/core';
import type {Membership} from '@oathead/membership';
import type {BatchSettings} from './batch_settings.js';
import type {ChunkRecorder} from './chunk_recorder.js';
import type {ChunkWork} from './chunk_work.js';
import type {ItemRuns} from './item_run.js';
import type {LoadedChunks} from './loaded_chunks.js';
import type {StoreContact} from './store_contact.js';

/** What {@link ItemStarter} works with. */
export interface StarterDeps {
  readonly settings: BatchSettings;
  readonly membership: Membership;
  readonly runner: ItemRunner;
  readonly chunks: LoadedChunks;
  readonly contact: StoreContact;
  readonly recorder: ChunkRecorder;
  readonly runs: ItemRuns;
}

/** Sends items as targets have room. */
export class ItemStarter {
  /** @param deps - The parts of the worker. */
  constructor(private readonly deps: StarterDeps) {}

  /** Starts what targets have room for, and what may be started. */
  startAll(): void {
    const {chunks, runner, recorder} = this.deps;
    for (const pool of chunks.readyPools()) {
      // The runner does not know yet of items that wait for their claim.
      let room = runner.freeCapacity(pool) - chunks.claimed(pool);
      while (room-- > 0 && this.startOne(pool));
    }
    for (const chunk of chunks.all()) recorder.kick(chunk);
  }

  /**
   * Sends items that were claimed.
   *
   * @param chunk - Their chunk.
   * @param items - Their indexes.
   */
  startClaimed(chunk: ChunkWork, items: readonly number[]): void {
    for (const index of items) {
      if (chunk.state(index) !== 'leased') continue;
      if (this.mayRun(chunk, index)) void this.deps.runs.run(chunk, index);
      else {
        chunk.tell(index, {type: 'release'});
        chunk.putReady(index);
        // The row says that it is started. Left so, the next holder would take
        // an item for lost in flight that was never sent.
        chunk.urgent = true;
      }
    }
  }

  private startOne(pool: string): boolean {
    const {chunks, settings} = this.deps;
    if (chunks.unrecorded >= settings.maxUnrecorded) return false;
    const order = chunks.order();
    const ready = chunks
      .filter(chunk => chunk.ready.count(pool) > 0)
      .toSorted((a, b) => order(a.job, b.job) || a.place.n - b.place.n);
    for (const chunk of ready) {
      const index = chunk.ready.take(pool, i => this.mayRun(chunk, i));
      if (index === undefined) continue;
      this.lease(chunk, index);
      return true;
    }
    return false;
  }

  private lease(chunk: ChunkWork, index: number): void {
    chunk.tell(index, {type: 'lease'});
    if (chunk.items[index]!.idempotent) void this.deps.runs.run(chunk, index);
    else chunk.claims.add(index);
  }

  /**
   * A suspect runs only once its row says so: should its holder die with it,
   * the next holder must not take it for an innocent.
   */
  private mayRun(chunk: ChunkWork, index: number): boolean {
    const {contact, membership, settings} = this.deps;
    if (chunk.draining || chunk.cancelling) return false;
    if (chunk.dropped.signal.aborted) return false;
    const suspect = chunk.state(index) === 'suspect';
    if (suspect && chunk.recordedState(index) !== 'suspect') return false;
    const store = contact.check();
    if (store.kind === 'unknown') return false;
    if (membership.fence(chunk.place.share) !== undefined) return true;
    // The lease has lapsed. With the store down nobody can have taken the share
    // or cancelled the job; what may be repeated goes on for a while. The while
    // is bounded, since a store that is down for this entry may be up for
    // others.
    const {idempotent} = chunk.items[index]!;
    if (store.kind === 'up' || !idempotent) return false;
    return store.sinceMs < settings.outageRunMs;
  }
}
