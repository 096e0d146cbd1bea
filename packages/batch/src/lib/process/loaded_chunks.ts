/** The chunks that this entry has in memory. */
import type {ChunkPlace, ChunkWork} from './chunk_work.js';
import {jobOrder} from './job_order.js';
import type {JobOrder} from './job_order.js';

/** The chunks that this entry has in memory. */
export class LoadedChunks {
  private readonly chunks = new Map<string, ChunkWork>();

  /** @param weightOf - The share of a caller under contention. */
  constructor(private readonly weightOf: (caller: string) => number) {}

  get size(): number {
    return this.chunks.size;
  }

  /** Outcomes in memory that are not recorded yet. */
  get unrecorded(): number {
    let sum = 0;
    for (const chunk of this.all()) sum += chunk.unrecorded.size;
    return sum;
  }

  /** @returns All of them. */
  all(): Iterable<ChunkWork> {
    return this.chunks.values();
  }

  /**
   * @param which - Which ones.
   * @returns Those, as of now.
   */
  filter(which: (chunk: ChunkWork) => boolean): readonly ChunkWork[] {
    return [...this.chunks.values()].filter(which);
  }

  /**
   * @param path - A job, by `jobPath`.
   * @returns Its chunks.
   */
  ofJob(path: string): readonly ChunkWork[] {
    return this.filter(({place}) => place.path === path);
  }

  /**
   * @param place - A chunk.
   * @returns Whether it is in memory.
   */
  has(place: Pick<ChunkPlace, 'path' | 'n'>): boolean {
    return this.chunks.has(keyOf(place));
  }

  /** @param chunk - A chunk that was loaded. */
  add(chunk: ChunkWork): void {
    this.chunks.set(keyOf(chunk.place), chunk);
  }

  /** @param chunk - A chunk that is closed or given up. */
  delete(chunk: ChunkWork): void {
    const key = keyOf(chunk.place);
    if (this.chunks.get(key) === chunk) this.chunks.delete(key);
  }

  /** @returns Models and services with items that may run now. */
  readyPools(): ReadonlySet<string> {
    const chunks = [...this.chunks.values()];
    return new Set(chunks.flatMap(chunk => chunk.ready.pools));
  }

  /**
   * @param pool - A model or service.
   * @returns How many items for it are about to be sent.
   */
  claimed(pool: string): number {
    let sum = 0;
    for (const chunk of this.all()) sum += chunk.claimedCount(pool);
    return sum;
  }

  /** @returns The order in which jobs go, as of what runs now. */
  order(): JobOrder {
    const running = new Map<string, number>();
    for (const chunk of this.all()) {
      const {caller} = chunk.job;
      running.set(caller, (running.get(caller) ?? 0) + chunk.inFlight);
    }
    return jobOrder(
      caller => (running.get(caller) ?? 0) / this.weightOf(caller),
    );
  }
}

function keyOf({path, n}: Pick<ChunkPlace, 'path' | 'n'>): string {
  return `${path}/${n}`;
}
