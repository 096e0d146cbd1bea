/**
 * A store of versioned rows in partitions, with a feed of changes and objects
 * for what is too large for a row. A row's own version is what fences a write:
 * a writer that acted on an older version is refused.
 */
import type {Outcome} from '@oathead/core';

/** Names a row. */
export interface RowRef {
  readonly table: string;
  /** Rows of one partition can be written in one transaction. */
  readonly partition: string;
  readonly key: string;
}

/** A row as it was at one moment. */
export interface VersionedRow extends RowRef {
  readonly value: Uint8Array;
  /** Grows with each write of any row; never used again. */
  readonly version: number;
}

/** A condition of a transaction: the row still has this version. */
export interface ExpectedRow extends RowRef {
  /** 0: the row does not exist. */
  readonly version: number;
}

/** A write of one row. */
export interface RowPut extends RowRef {
  readonly value: Uint8Array;
}

/** Writes that happen together if all expectations hold, or not at all. */
export interface RowTransaction {
  readonly expect: readonly ExpectedRow[];
  readonly puts: readonly RowPut[];
  readonly removes: readonly RowRef[];
}

/** When an answer of the store was true. */
export interface StoreMoment {
  /** The newest version of any row. */
  readonly version: number;
  /** The store's steady clock, in milliseconds. */
  readonly storeTimeMs: number;
}

/** Which rows of one partition are wanted. */
export interface RowQuery {
  readonly table: string;
  readonly partition: string;
  /** The first key, included. */
  readonly from?: string;
  /** The last key, excluded. */
  readonly to?: string;
  /** How many rows at the most. */
  readonly limit?: number;
}

/** Rows as of a single moment, by key. */
export interface RowPage extends StoreMoment {
  readonly rows: readonly VersionedRow[];
  /** Whether more rows match than were returned. */
  readonly hasMore: boolean;
}

/** A change of a row. */
export type RowChange =
  | {readonly kind: 'put'; readonly row: VersionedRow}
  | {readonly kind: 'removed'; readonly ref: RowRef; readonly version: number};

/** Changes of a table in the order in which they happened. */
export interface RowChanges extends StoreMoment {
  readonly changes: readonly RowChange[];
}

/** Why a store gave no result. */
export type RowStoreError =
  /** Nothing was done: down, over its rate, or not for this host. */
  | {readonly kind: 'refused'; readonly message: string}
  /** No answer: a write may have been done, or may be done later. */
  | {readonly kind: 'unknown'; readonly message: string}
  /** An expectation did not hold; nothing was written. */
  | {readonly kind: 'conflict'; readonly rows: readonly VersionedRow[]}
  /** The changes asked for are no longer kept. */
  | {readonly kind: 'history-lost'}
  /** There is no such object. */
  | {readonly kind: 'missing'};

/** What a call to the store comes to. */
export type RowStoreOutcome<T> = Promise<Outcome<T, RowStoreError>>;

/** The store. No call throws and each ends within a bounded time. */
export interface RowStore {
  /** @param transaction - What to write, and under which conditions. */
  transact(transaction: RowTransaction): RowStoreOutcome<StoreMoment>;
  /** @param query - Which rows are wanted. */
  read(query: RowQuery): RowStoreOutcome<RowPage>;
  /**
   * Waits for changes.
   *
   * @param table - Whose changes are wanted, in all its partitions.
   * @param after - The version up to which the caller knows the table.
   * @param waitMs - How long to wait for a first change, in milliseconds.
   */
  changes(
    table: string,
    after: number,
    waitMs: number,
  ): RowStoreOutcome<RowChanges>;
  /**
   * @returns The store's steady clock as its last answer told it, plus the time
   *     since, in milliseconds; undefined until it has answered.
   */
  storeTimeMs(): number | undefined;
  /** Writes an object unless there is one of this name. */
  putObject(name: string, bytes: Uint8Array): RowStoreOutcome<void>;
  /** @param name - Which object is wanted. */
  getObject(name: string): RowStoreOutcome<Uint8Array>;
  /** Removes an object; one that is gone already counts as removed. */
  removeObject(name: string): RowStoreOutcome<void>;
}
