/** In-memory row store, for tests and stand-ins. */
import {failure, success, sleep, type Clock} from '@oathead/core';
import type {
  RowChange,
  RowChanges,
  RowPage,
  RowQuery,
  RowRef,
  RowStore,
  RowStoreOutcome,
  RowTransaction,
  StoreTimestamp,
  VersionedRow,
} from './row_store.js';

/** Maximum number of rows of a page, as in the real store. */
const MAX_PAGE_ROWS = 500;
/** Interval at which a wait for changes polls, in milliseconds. */
const POLL_INTERVAL_MS = 5;

/** A {@link RowStore} without persistence. */
export class MemoryRowStore implements RowStore {
  private readonly rows = new Map<string, VersionedRow>();
  private readonly objects = new Map<string, Uint8Array>();
  private history: RowChange[] = [];
  private historyStart = 0;
  private version = 0;

  /** @param clock - The monotonic clock of the store. */
  constructor(private readonly clock: Clock) {}

  /**
   * Discards the change history but keeps the rows, so that feeds that start
   * from an earlier version fail with `history-lost`.
   */
  discardHistory(): void {
    this.history = [];
    this.historyStart = this.version;
  }

  /** @returns The newest version and the time. */
  timestamp(): StoreTimestamp {
    return {version: this.version, storeTimeMs: this.storeTimeMs()};
  }

  /** {@inheritDoc RowStore.storeTimeMs} */
  storeTimeMs(): number {
    return this.clock.now();
  }

  /** {@inheritDoc RowStore.transact} */
  async transact(transaction: RowTransaction): RowStoreOutcome<StoreTimestamp> {
    const {expect, puts, removes} = transaction;
    const allMatch = expect.every(
      ref => (this.rows.get(rowId(ref))?.version ?? 0) === ref.version,
    );
    if (!allMatch) {
      const rows = expect.flatMap(ref => this.rows.get(rowId(ref)) ?? []);
      return failure({kind: 'conflict', rows});
    }
    this.version++;
    for (const put of puts) this.put(put, put.value);
    for (const ref of removes) this.remove(ref);
    return success(this.timestamp());
  }

  /** {@inheritDoc RowStore.read} */
  async read(query: RowQuery): RowStoreOutcome<RowPage> {
    const {table, partition, from = '', to, limit = MAX_PAGE_ROWS} = query;
    const matching = [...this.rows.values()]
      .filter(row => row.table === table && row.partition === partition)
      .filter(({key}) => key >= from && (to === undefined || key < to))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const rows = matching.slice(0, Math.min(limit, MAX_PAGE_ROWS));
    const hasMore = rows.length < matching.length;
    return success({...this.timestamp(), rows, hasMore});
  }

  /** {@inheritDoc RowStore.changes} */
  async changes(
    table: string,
    after: number,
    waitMs: number,
  ): RowStoreOutcome<RowChanges> {
    const until = this.clock.now() + waitMs;
    let checkedVersion = after;
    for (;;) {
      if (after < this.historyStart) return failure({kind: 'history-lost'});
      const changes = this.changesOf(table, checkedVersion);
      if (changes.length > 0 || this.clock.now() >= until)
        return success({...this.timestamp(), changes});
      checkedVersion = this.version;
      await sleep(this.clock, POLL_INTERVAL_MS);
    }
  }

  /** {@inheritDoc RowStore.putObject} */
  async putObject(name: string, bytes: Uint8Array): RowStoreOutcome<void> {
    if (!this.objects.has(name)) this.objects.set(name, bytes);
    return success(undefined);
  }

  /** {@inheritDoc RowStore.getObject} */
  async getObject(name: string): RowStoreOutcome<Uint8Array> {
    const bytes = this.objects.get(name);
    return bytes ? success(bytes) : failure({kind: 'missing'});
  }

  /** {@inheritDoc RowStore.removeObject} */
  async removeObject(name: string): RowStoreOutcome<void> {
    this.objects.delete(name);
    return success(undefined);
  }

  /**
   * Searches backwards from the end, since the history is long and few of its
   * changes are newer than `after`.
   */
  private changesOf(table: string, after: number): readonly RowChange[] {
    const changes: RowChange[] = [];
    for (let i = this.history.length - 1; i >= 0; i--) {
      const change = this.history[i]!;
      if (versionOf(change) <= after) break;
      if (tableOf(change) === table) changes.push(change);
    }
    return changes.reverse();
  }

  private put(ref: RowRef, value: Uint8Array): void {
    const {table, partition, key} = ref;
    const row = {table, partition, key, value, version: this.version};
    this.rows.set(rowId(ref), row);
    this.history.push({kind: 'put', row});
  }

  private remove(ref: RowRef): void {
    if (!this.rows.delete(rowId(ref))) return;
    const {version} = this;
    this.history.push({kind: 'removed', ref, version});
  }
}

function rowId({table, partition, key}: RowRef): string {
  return JSON.stringify([table, partition, key]);
}

function versionOf(change: RowChange): number {
  return change.kind === 'put' ? change.row.version : change.version;
}

function tableOf(change: RowChange): string {
  return change.kind === 'put' ? change.row.table : change.ref.table;
}
