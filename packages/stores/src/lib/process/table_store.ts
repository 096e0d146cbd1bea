/**
 * The platform's transactional table service, as the system needs it. A new
 * platform is met by one new implementation.
 */
import type {Outcome} from '@oathead/core';

/** A value that JSON can carry. */
export type Json =
  | null
  | boolean
  | number
  | string
  | readonly Json[]
  | {readonly [key: string]: Json | undefined};

/** One row. */
export interface Row {
  readonly key: string;
  readonly value: Json;
  /** Changes with each write of the row; never 0, never used again. */
  readonly version: number;
}

/** A condition of a transaction: the row still has this version. */
export interface RowCheck {
  readonly key: string;
  /** 0: the row does not exist. */
  readonly version: number;
}

/** A write of one row. */
export type RowWrite =
  | {readonly kind: 'put'; readonly key: string; readonly value: Json}
  | {readonly kind: 'delete'; readonly key: string};

/** Writes that happen together if every check holds, or not at all. */
export interface Transaction {
  readonly checks: readonly RowCheck[];
  readonly writes: readonly RowWrite[];
}

/** A transaction that happened: the new version of each row put, by key. */
export interface Committed {
  readonly versions: Readonly<Record<string, number>>;
}

/** Why a store gave no result. */
export type StoreError =
  /** Down, slow past the timeout, or the answer was lost. */
  | {
      readonly kind: 'unavailable';
      /** Whether a write may have taken effect all the same. */
      readonly applied: 'no' | 'unknown';
      readonly message: string;
    }
  /** A check did not hold; nothing was written. */
  | {readonly kind: 'conflict'; readonly key: string; readonly version: number}
  /** Over the rate; nothing was written. */
  | {readonly kind: 'throttled'; readonly retryAfterMs: number};

/** Rows of a listing at the most, and by default. */
export const MAX_LIST_LIMIT = 1000;

/** A page of a listing. */
export interface ListOptions {
  /** Only keys behind this one. */
  readonly after?: string;
  /** At most so many rows; 1,000 at the most. */
  readonly limit?: number;
}

/** The table service. */
export interface TableStore {
  /** @returns The rows in the order of `keys`; undefined where there is none. */
  read(
    keys: readonly string[],
  ): Promise<Outcome<readonly (Row | undefined)[], StoreError>>;
  /** @returns Rows whose key begins with `prefix`, ordered by key. */
  list(
    prefix: string,
    options?: ListOptions,
  ): Promise<Outcome<readonly Row[], StoreError>>;
  /** Writes all rows of a transaction, or none. */
  write(transaction: Transaction): Promise<Outcome<Committed, StoreError>>;
}
