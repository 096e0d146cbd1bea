/** The table service in memory, for tests and for a system in one process. */
import {failure, success, type Outcome} from '@oathead/core';
import {
  MAX_LIST_LIMIT,
  type Committed,
  type Json,
  type ListOptions,
  type Row,
  type RowWrite,
  type StoreError,
  type TableStore,
  type Transaction,
} from './table_store.js';

/** A table whose rows live as long as the object. */
export class MemoryTable implements TableStore {
  private readonly rows = new Map<string, Row>();
  private readonly sortedKeys: string[] = [];
  /** One counter for all rows, so that a row made anew has a new version. */
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
    const start = this.indexOf(after > prefix ? after : prefix);
    const page: Row[] = [];
    for (let i = start; i < this.sortedKeys.length; i++) {
      const key = this.sortedKeys[i]!;
      if (page.length >= Math.min(limit, MAX_LIST_LIMIT)) break;
      if (!key.startsWith(prefix)) break;
      if (key > after) page.push(this.rows.get(key)!);
    }
    return success(page);
  }

  // All of it happens in one turn of the event loop: nobody sees a part.
  async write(
    transaction: Transaction,
  ): Promise<Outcome<Committed, StoreError>> {
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
    if (!this.rows.has(key)) this.sortedKeys.splice(this.indexOf(key), 0, key);
    const version = ++this.lastVersion;
    this.rows.set(key, {key, value: copy(write.value), version});
    versions[key] = version;
  }

  private remove(key: string): void {
    if (this.rows.delete(key)) this.sortedKeys.splice(this.indexOf(key), 1);
  }

  /** Where the first key is that does not come before `key`. */
  private indexOf(key: string): number {
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

/** As a store would: what the caller changes later is not written. */
function copy(value: Json): Json {
  return JSON.parse(JSON.stringify(value)) as Json;
}
