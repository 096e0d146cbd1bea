/** Since when jobs have had no live owner, as this host sees it. */
import type {VersionedHead} from '../request/job_rows.js';

/** A job without a live owner. */
export interface Orphan {
  /** Member ID of its last owner; empty if it has none. */
  readonly owner: string;
  /** Version of its head. */
  readonly version: number;
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
   * The time starts anew with each version of the head. Guards against a job
   * that is taken from an owner that this host wrongly takes for dead: while the
   * owner writes, only the first host claims the job.
   *
   * @param found - Head of a job whose owner is not alive.
   * @param nowMs - Time on this host's monotonic clock, in milliseconds.
   * @returns Whether this is new: the job was not tracked, or under another
   *   owner.
   */
  note({head: {id, owner}, version}: VersionedHead, nowMs: number): boolean {
    const known = this.orphans.get(id);
    if (known?.version === version) return false;
    this.orphans.set(id, {owner, version, sinceMs: nowMs});
    return known?.owner !== owner;
  }

  /**
   * @param id - ID of a tracked job.
   * @param nowMs - Time on this host's monotonic clock, in milliseconds.
   * @returns How long it has had no live owner, in milliseconds; 0 if it is not
   *   tracked.
   */
  ageMs(id: string, nowMs: number): number {
    return nowMs - (this.orphans.get(id)?.sinceMs ?? nowMs);
  }

  /** @param id - ID of a job that has a live owner, or is closed or gone. */
  clear(id: string): void {
    this.orphans.delete(id);
  }
}
