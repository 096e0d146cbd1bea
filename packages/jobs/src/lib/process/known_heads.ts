/** This host's copy of the heads of all open jobs. */
import {LRUCache} from 'lru-cache';
import type {VersionedHead} from '../request/job_rows.js';

/**
 * Maximum number of closed jobs remembered: far more than close while the items
 * of one job are read.
 */
const MAX_CLOSED_JOBS = 4096;

/** The heads of open jobs, and which jobs are closed. */
export class KnownHeads {
  private readonly open = new Map<string, VersionedHead>();
  /** Jobs that are done or cancelled; they are never adopted again. */
  private readonly closed = new LRUCache<string, true>({max: MAX_CLOSED_JOBS});

  /** @returns The heads of all open jobs. */
  all(): Iterable<VersionedHead> {
    return this.open.values();
  }

  /** Number of open jobs. */
  get size(): number {
    return this.open.size;
  }

  /**
   * @param id - ID of a job.
   * @returns Its head; undefined if it is closed or unknown.
   */
  get(id: string): VersionedHead | undefined {
    return this.open.get(id);
  }

  /**
   * @param id - ID of a job.
   * @returns Whether it is done or cancelled.
   */
  isClosed(id: string): boolean {
    return this.closed.has(id);
  }

  /** @param found - Head of an open or closed job. */
  put(found: VersionedHead): void {
    const {id, state} = found.head;
    if (state === 'open') {
      this.open.set(id, found);
      return;
    }
    this.closed.set(id, true);
    this.open.delete(id);
  }

  /** @param id - ID of a job whose rows are gone. */
  remove(id: string): void {
    this.open.delete(id);
  }
}
