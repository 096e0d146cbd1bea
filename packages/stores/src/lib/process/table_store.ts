/**
 * Interface to the platform's transactional table service. To support another
 * platform, implement {@link TableStore} for it.
 */
import type {Outcome} from '@oathead/core';

/** A JSON value. */
export type Json =
  | null
  | boolean
  | number
  | string
  | readonly Json[]
  | {readonly [key: string]: Json | undefined};

/** A row of the table. */
export interface Row {
  readonly key: string;
  readonly value: Json;
  /** Changes with each write of the row; never 0 and never reused. */
  readonly version: number;
}

/** Precondition of a transaction: the row has this version. */
export interface RowCheck {
  readonly key: string;
  /** The expected version; 0 if the row must not exist. */
  readonly version: number;
}

/** A write of one row. */
export type RowWrite =
  | {readonly kind: 'put'; readonly key: string; readonly value: Json}
  | {readonly kind: 'delete'; readonly key: string};

/** Writes that are applied atomically if every check holds. */
export interface Transaction {
  readonly checks: readonly RowCheck[];
  readonly writes: readonly RowWrite[];
}

/** Result of a committed transaction: the new version of each put row, by key. */
export interface TransactionResult {
  readonly versions: Readonly<Record<string, number>>;
}

/** Why a call to the platform failed. */
export type StoreError =
  /** The service is down, the call timed out, or the response was lost. */
  | {
      readonly kind: 'unavailable';
      /** `unknown` if a write may nevertheless have taken effect. */
      readonly applied: 'no' | 'unknown';
      readonly message: string;
    }
  /** A check did not hold and nothing was written. */
  | {readonly kind: 'conflict'; readonly key: string; readonly version: number}
  /** The rate limit was exceeded and nothing was written. */
  | {readonly kind: 'throttled'; readonly retryAfterMs: number};

/** Maximum and default number of rows of a listing. */
export const MAX_LIST_LIMIT = 1000;

/** Selects a page of a listing. */
export interface ListOptions {
  /** Lists only keys that sort after this one. */
  readonly after?: string;
  /** Maximum number of rows, capped at {@link MAX_LIST_LIMIT}. */
  readonly limit?: number;
}

/** Client of the table service. */
export interface TableStore {
  /** @returns The rows in the order of `keys`; undefined for a missing row. */
  read(
    keys: readonly string[],
  ): Promise<Outcome<readonly (Row | undefined)[], StoreError>>;
  /** @returns The rows whose keys start with `prefix`, ordered by key. */
  list(
    prefix: string,
    options?: ListOptions,
  ): Promise<Outcome<readonly Row[], StoreError>>;
  /** Applies a transaction atomically. */
  write(
    transaction: Transaction,
  ): Promise<Outcome<TransactionResult, StoreError>>;
}
