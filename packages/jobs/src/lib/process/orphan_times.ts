/** Since when jobs have had no live owner, as this host sees it. */
import type {VersionedHead} from '../request/job_rows.js';

/** A job without a live owner. */
export interface Orphan {
  /** Member ID of its last owner; empty if it has none. */
  readonly owner: string;
  /** On this host's monotonic clock, in milliseconds. */
  readonly sinceMs: number;
}

/** Tracks jobs without a live owner. */
export class OrphanTimes {
  private readonly orphans = new Map<string, Orphan>();

  /** Number of jobs without a live owner. */
  get size(): number {
    return this.orphans.size;
  }

  /**
   * @param nowMs - Time on this host's monotonic clock, in milliseconds.
   * @returns How long the oldest of them has had no live owner, in milliseconds.
   */
  longestMs(nowMs: number): number {
    let oldest = nowMs;
    for (const {sinceMs} of this.orphans.values())
      oldest = Math.min(oldest, sinceMs);
    return nowMs - oldest;
  }

  /**
   * @param found - Head of a job whose owner is not alive.
   * @param nowMs - Time on this host's monotonic clock, in milliseconds.
   * @returns Whether this is new: the job was not tracked, or under another
   *   owner.
   */
  note({head: {id, owner}}: VersionedHead, nowMs: number): boolean {
    if (this.orphans.get(id)?.owner === owner) return false;
    this.orphans.set(id, {owner, sinceMs: nowMs});
    return true;
  }

  /** @param id - ID of a job that has a live owner, or is closed or gone. */
  clear(id: string): void {
    this.orphans.delete(id);
  }
}
