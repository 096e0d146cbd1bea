/** In-memory table service, for tests and single-process systems. */
import {failure, success, type Outcome} from '@oathead/core';
import {
  MAX_LIST_LIMIT,
  type TransactionResult,
  type Json,
  type ListOptions,
  type Row,
  type RowWrite,
  type StoreError,
  type TableStore,
  type Transaction,
} from './table_store.js';

/** A {@link TableStore} without persistence. */
export class MemoryTable implements TableStore {
  private readonly rows = new Map<string, Row>();
  private readonly sortedKeys: string[] = [];
  /**
   * Version counter shared by all rows, so that a row that is deleted and
   * created again does not reuse a version.
   */
  private lastVersion = 0;

  async read(
    keys: readonly string[],
  ): Promise<Outcome<readonly (Row | undefined)[], StoreError>> {
    return success(keys.map(key => this.rows.get(key)));
  }

  async list(
    prefix: string,
    options: ListOptions = {},
  ): Promise<Outcome<readonly Row[], StoreError>> {
    const {after = '', limit = MAX_LIST_LIMIT} = options;
    const start = this.lowerBound(after > prefix ? after : prefix);
    const page: Row[] = [];
    for (let i = start; i < this.sortedKeys.length; i++) {
      const key = this.sortedKeys[i]!;
      if (page.length >= Math.min(limit, MAX_LIST_LIMIT)) break;
      if (!key.startsWith(prefix)) break;
      if (key > after) page.push(this.rows.get(key)!);
    }
    return success(page);
  }

  // Runs without awaiting, so no other call observes a partial transaction.
  async write(
    transaction: Transaction,
  ): Promise<Outcome<TransactionResult, StoreError>> {
    for (const {key, version} of transaction.checks) {
      const current = this.rows.get(key)?.version ?? 0;
      if (current !== version)
        return failure({kind: 'conflict', key, version: current});
    }
    const versions: Record<string, number> = {};
    for (const write of transaction.writes) this.apply(write, versions);
    return success({versions});
  }

  private apply(write: RowWrite, versions: Record<string, number>): void {
    const {key} = write;
    if (write.kind === 'delete') {
      this.remove(key);
      delete versions[key];
      return;
    }
    if (!this.rows.has(key))
      this.sortedKeys.splice(this.lowerBound(key), 0, key);
    const version = ++this.lastVersion;
    this.rows.set(key, {key, value: deepCopy(write.value), version});
    versions[key] = version;
  }

  private remove(key: string): void {
    if (this.rows.delete(key)) this.sortedKeys.splice(this.lowerBound(key), 1);
  }

  /** Returns the index of the first key that is not less than `key`. */
  private lowerBound(key: string): number {
    let low = 0;
    let high = this.sortedKeys.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.sortedKeys[middle]! < key) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

/**
 * Copies a value, as serialization in a real store does, so that later changes
 * by the caller do not affect the stored row.
 */
function deepCopy(value: Json): Json {
  return JSON.parse(JSON.stringify(value)) as Json;
}
