/**
 * This host's copy of the heads of all open jobs. A head is replaced only by one
 * with a higher version, whether the watch, a write of this host or a conflict
 * tells of it.
 */
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
  /**
   * Versions of the heads of jobs that are done or cancelled, which are never
   * adopted again. The ID of one whose rows were removed may be used anew.
   */
  private readonly closed = new LRUCache<string, number>({
    max: MAX_CLOSED_JOBS,
  });

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
   * @param found - Head of a job.
   * @returns Whether it is closed, or the job was closed after it.
   */
  isClosed({head: {id}, version}: VersionedHead): boolean {
    return (this.closed.get(id) ?? 0) >= version;
  }

  /**
   * @param found - Head of an open or closed job.
   * @returns Whether it is newer than the known one.
   */
  put(found: VersionedHead): boolean {
    const {id, state} = found.head;
    const knownVersion = this.open.get(id)?.version ?? this.closed.get(id) ?? 0;
    if (found.version <= knownVersion) return false;
    if (state === 'open') {
      this.open.set(id, found);
      return true;
    }
    this.closed.set(id, found.version);
    this.open.delete(id);
    return true;
  }

  /**
   * @param id - ID of a job whose rows were removed.
   * @param version - Version of its head before that.
   * @returns Whether the job is unknown now; false if its known head is newer.
   */
  remove(id: string, version: number): boolean {
    if ((this.open.get(id)?.version ?? 0) > version) return false;
    this.open.delete(id);
    return true;
  }
}
