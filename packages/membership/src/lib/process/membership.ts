/**
 * What the other parts of an entry know about the fleet of entries: who lives,
 * who owns which share of work, and whether this entry may still write.
 */
import type {RowCheck} from '@oathead/stores';

/** Revisions of the one row that every entry reads once a second. */
export interface Head {
  /** Revision of the configuration. */
  readonly cfg: number;
  /** Counts accepted and cancelled jobs. */
  readonly jobs: number;
  /** The last jobs that were accepted or cancelled, newest first, `caller/job`. */
  readonly recentJobs: readonly string[];
  /** Counts entries that came, left or were taken over. */
  readonly members: number;
  /** Counts changes of what is known of work that kills targets. */
  readonly suspects: number;
}

/** An entry, as its lease row tells. */
export interface Peer {
  readonly entryId: string;
  /** Host and port for the system's own connections. */
  readonly address: string;
  readonly dataCentre: string;
  readonly leaving: boolean;
}

/** Ownership of one share of work. */
export interface HeldShare {
  readonly share: number;
  /** Counts owners; a higher epoch is a later owner. */
  readonly epoch: number;
}

/** An entry's standing in the fleet. */
export interface Membership {
  readonly entryId: string;
  /** Number of shares; the same at all entries, for good. */
  readonly shareCount: number;
  /** @returns The share that `key` belongs to. */
  shareOf(key: string): number;
  /** @returns The entry that owns a share, as last seen. */
  ownerOf(share: number): Peer | undefined;
  /** All entries with a lease, as last seen, this one included. */
  peers(): readonly Peer[];
  /**
   * The shares this entry may act on now: none when its own clock says that
   * the lease could have lapsed elsewhere.
   */
  held(): readonly HeldShare[];
  /**
   * The condition that goes into every write about a share.
   *
   * @returns Undefined when the share is not held, or the lease not valid.
   */
  fence(share: number): RowCheck | undefined;
  /** The head as last read. */
  head(): Head;
  onHead(callback: (head: Head) => void): Disposable;
  onTaken(callback: (share: HeldShare) => void): Disposable;
  /** The share went to another, by take-over, hand-over or a lapsed lease. */
  onLost(callback: (share: HeldShare) => void): Disposable;
  /**
   * Registers work to be finished before a share is handed over.
   *
   * @param callback - Settles when this entry has nothing left of the share.
   */
  onHandOver(callback: (share: HeldShare) => Promise<void>): Disposable;
}
