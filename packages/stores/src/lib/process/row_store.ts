/**
 * A store of versioned rows in partitions, with a change feed, and of objects
 * for data that is too large for a row. Writes are fenced by row versions: a
 * transaction that expects an older version of a row is rejected.
 */
import type {Outcome} from '@oathead/core';

/** Identifies a row. */
export interface RowRef {
  readonly table: string;
  /** A transaction can write several rows of one partition. */
  readonly partition: string;
  readonly key: string;
}

/** A row at a specific version. */
export interface VersionedRow extends RowRef {
  readonly value: Uint8Array;
  /** Increases with each write of any row; never reused. */
  readonly version: number;
}

/** Precondition of a transaction: the row has this version. */
export interface ExpectedRow extends RowRef {
  /** The expected version; 0 if the row must not exist. */
  readonly version: number;
}

/** A write of one row. */
export interface RowPut extends RowRef {
  readonly value: Uint8Array;
}

/** Writes that are applied atomically if all preconditions hold. */
export interface RowTransaction {
  readonly expect: readonly ExpectedRow[];
  readonly puts: readonly RowPut[];
  readonly removes: readonly RowRef[];
}

/** The point in time at which a response of the store was current. */
export interface StoreTimestamp {
  /** The highest version of any row. */
  readonly version: number;
  /** The store's monotonic clock, in milliseconds. */
  readonly storeTimeMs: number;
}

/** Selects a range of rows of one partition. */
export interface RowQuery {
  readonly table: string;
  readonly partition: string;
  /** Start of the key range, inclusive. */
  readonly from?: string;
  /** End of the key range, exclusive. */
  readonly to?: string;
  /** Maximum number of rows to return. */
  readonly limit?: number;
}

/** A consistent snapshot of the selected rows, ordered by key. */
export interface RowPage extends StoreTimestamp {
  readonly rows: readonly VersionedRow[];
  /** Whether more rows match than were returned. */
  readonly hasMore: boolean;
}

/** An entry of the change feed. */
export type RowChange =
  | {readonly kind: 'put'; readonly row: VersionedRow}
  | {readonly kind: 'removed'; readonly ref: RowRef; readonly version: number};

/** Changes of a table, in the order in which they were applied. */
export interface RowChanges extends StoreTimestamp {
  readonly changes: readonly RowChange[];
}

/** Why a call to the store failed. */
export type RowStoreError =
  /**
   * The call had no effect: the store is down, over its rate limit, or does not
   * serve this host.
   */
  | {readonly kind: 'refused'; readonly message: string}
  /** No response. A write may have been applied or may yet be applied. */
  | {readonly kind: 'unknown'; readonly message: string}
  /**
   * A precondition did not hold and nothing was written. `rows` contains those
   * of the expected rows that exist.
   */
  | {readonly kind: 'conflict'; readonly rows: readonly VersionedRow[]}
  /** The requested changes are no longer in the change history. */
  | {readonly kind: 'history-lost'}
  /** The object does not exist. */
  | {readonly kind: 'missing'};

/** Result of a call to the store. */
export type RowStoreOutcome<T> = Promise<Outcome<T, RowStoreError>>;

/** Client of the store. Calls never throw and complete in bounded time. */
export interface RowStore {
  /**
   * Applies a transaction.
   *
   * @param transaction - Writes and their preconditions.
   * @returns The version and time of the store after the write.
   */
  transact(transaction: RowTransaction): RowStoreOutcome<StoreTimestamp>;
  /**
   * Reads rows of one partition.
   *
   * @param query - The rows to read.
   * @returns A page of rows. The store may return fewer rows than the limit.
   */
  read(query: RowQuery): RowStoreOutcome<RowPage>;
  /**
   * Reads the change feed by long polling.
   *
   * @param table - The table, with all its partitions.
   * @param after - Version after which changes are returned.
   * @param waitMs - Maximum time to wait for the first change, in milliseconds.
   * @returns The changes; empty if there was none within the wait.
   */
  changes(
    table: string,
    after: number,
    waitMs: number,
  ): RowStoreOutcome<RowChanges>;
  /**
   * @returns Estimate of the store's monotonic clock in milliseconds: its value
   *     in the last response plus the time since; undefined before the first
   *     response.
   */
  storeTimeMs(): number | undefined;
  /** Writes an object unless one of this name exists. */
  putObject(name: string, bytes: Uint8Array): RowStoreOutcome<void>;
  /**
   * Reads an object.
   *
   * @param name - Name of the object.
   * @returns Its bytes, or a `missing` error.
   */
  getObject(name: string): RowStoreOutcome<Uint8Array>;
  /** Removes an object. Succeeds if it does not exist. */
  removeObject(name: string): RowStoreOutcome<void>;
}
