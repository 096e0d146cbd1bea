/** Since when jobs have had no live owner, as this host sees it. */
import {LRUCache} from 'lru-cache';
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

/** Maximum number of owners whose last write is remembered. */
const MAX_OWNERS = 1024;

/** Tracks jobs without a live owner. */
export class OrphanTimes {
  private readonly lastWrites = new LRUCache<string, number>({max: MAX_OWNERS});
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
   * The age of an owner's jobs starts anew with each head that it writes. Guards
   * against jobs that are taken from an owner that this host wrongly takes for
   * dead: while the owner writes, only the host that comes first claims them.
   *
   * @param owner - Member ID of the owner in a head that has just been learned.
   * @param nowMs - Time on this host's monotonic clock, in milliseconds.
   */
  recordWrite(owner: string, nowMs: number): void {
    this.lastWrites.set(owner, nowMs);
  }

  /**
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
   * @returns How long it has had no live owner and this owner has written no
   *   head, in milliseconds; 0 if it is not tracked.
   */
  ageMs(id: string, nowMs: number): number {
    const orphan = this.orphans.get(id);
    if (!orphan) return 0;
    const writtenAt = this.lastWrites.get(orphan.owner) ?? -Infinity;
    return nowMs - Math.max(orphan.sinceMs, writtenAt);
  }

  /** @param id - ID of a job that has a live owner, or is closed or gone. */
  clear(id: string): void {
    this.orphans.delete(id);
  }
}
