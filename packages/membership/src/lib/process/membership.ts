/**
 * The interface through which other parts of an entry use the membership: which
 * entries are alive, which entry owns which share of work, and whether this
 * entry may still write.
 */
import type {RowCheck} from '@oathead/stores';

/** Revisions in the head, the one row that every entry reads once a second. */
export interface Head {
  /** Revision of the configuration. */
  readonly cfg: number;
  /** Incremented when a job is accepted, cancelled or closed. */
  readonly jobs: number;
  /** The last jobs that changed, as `caller/job`, newest first. */
  readonly recentJobs: readonly string[];
  /** Incremented with each change of the directory. */
  readonly members: number;
  /**
   * Incremented with each change of the suspects, the records of requests that
   * may have crashed targets.
   */
  readonly suspects: number;
}

/** An entry as recorded in the directory. */
export interface Peer {
  readonly entryId: string;
  /** Host and port for connections between the system's own processes. */
  readonly address: string;
  readonly dataCentre: string;
  /** Whether the entry is draining; it then gets no further shares. */
  readonly leaving: boolean;
}

/** Ownership of one share of work. */
export interface HeldShare {
  readonly share: number;
  /** Incremented with each change of owner; a later owner has a higher one. */
  readonly epoch: number;
}

/** The membership of one entry in the fleet. */
export interface Membership {
  readonly entryId: string;
  /** Number of shares. It is the same at all entries and never changes. */
  readonly shareCount: number;
  /** @returns Number of the share that `key` belongs to. */
  shareOf(key: string): number;
  /**
   * @returns The owner of a share according to the last read of the directory;
   *     undefined if it has no owner.
   */
  ownerOf(share: number): Peer | undefined;
  /**
   * All entries according to the last read of the directory, including this
   * one.
   */
  peers(): readonly Peer[];
  /**
   * The shares on which this entry may start work now. There are none once the
   * lease has expired by this entry's own clock, since another entry may then
   * have taken over.
   */
  held(): readonly HeldShare[];
  /**
   * The fencing condition to include in every write about a share. The write
   * fails if the share has changed owner.
   *
   * @returns Undefined if the share is not held or the lease is not valid.
   */
  fence(share: number): RowCheck | undefined;
  /** The head as last read. */
  head(): Head;
  /** Registers a callback for each read of the head. */
  onHead(callback: (head: Head) => void): Disposable;
  /** Registers a callback for each share that this entry acquires. */
  onAcquired(callback: (share: HeldShare) => void): Disposable;
  /**
   * Registers a callback for each share that this entry loses, by take-over, by
   * hand-over or because its lease expired.
   */
  onLost(callback: (share: HeldShare) => void): Disposable;
  /**
   * Registers a callback that finishes the work on a share before the share is
   * handed over.
   *
   * @param callback - Returns a promise that settles when this entry has no
   *     work left on the share.
   */
  onHandOver(callback: (share: HeldShare) => Promise<void>): Disposable;
}
