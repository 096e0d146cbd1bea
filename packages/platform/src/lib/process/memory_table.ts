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
  /** Sorted; undefined after a key came or went. */
  private sortedKeys: readonly string[] | undefined;
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
    const keys = this.keysFrom(after > prefix ? after : prefix);
    const page: Row[] = [];
    for (const key of keys) {
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
      if (this.rows.delete(key)) this.sortedKeys = undefined;
      delete versions[key];
      return;
    }
    if (!this.rows.has(key)) this.sortedKeys = undefined;
    const version = ++this.lastVersion;
    this.rows.set(key, {key, value: copy(write.value), version});
    versions[key] = version;
  }

  private keysFrom(start: string): Iterable<string> {
    this.sortedKeys ??= [...this.rows.keys()].sort();
    return slice(this.sortedKeys, firstAtLeast(this.sortedKeys, start));
  }
}

/** As a store would: what the caller changes later is not written. */
function copy(value: Json): Json {
  return JSON.parse(JSON.stringify(value)) as Json;
}

function* slice(keys: readonly string[], from: number): Iterable<string> {
  for (let i = from; i < keys.length; i++) yield keys[i]!;
}

function firstAtLeast(keys: readonly string[], start: string): number {
  let low = 0;
  let high = keys.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (keys[middle]! < start) low = middle + 1;
    else high = middle;
  }
  return low;
}
