/** A row store in memory, for tests and stand-ins. */
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
  StoreMoment,
  VersionedRow,
} from './row_store.js';

/** Rows of a page at the most, as of the real store. */
const MAX_PAGE_ROWS = 500;
/** How often a wait for changes looks, in milliseconds. */
const LOOK_MS = 5;

/** Keeps rows, their history and objects. */
export class MemoryRowStore implements RowStore {
  private readonly rows = new Map<string, VersionedRow>();
  private readonly objects = new Map<string, Uint8Array>();
  private history: RowChange[] = [];
  private historyFrom = 0;
  private version = 0;

  /** @param clock - The store's steady clock. */
  constructor(private readonly clock: Clock) {}

  /** Forgets which changes led to what is there now. */
  loseHistory(): void {
    this.history = [];
    this.historyFrom = this.version;
  }

  /** {@inheritDoc RowStore.storeTimeMs} */
  storeTimeMs(): number {
    return this.clock.now();
  }

  /** {@inheritDoc RowStore.transact} */
  async transact(transaction: RowTransaction): RowStoreOutcome<StoreMoment> {
    const {expect, puts, removes} = transaction;
    const holds = expect.every(
      ref => (this.rows.get(nameOf(ref))?.version ?? 0) === ref.version,
    );
    if (!holds) {
      const rows = expect.flatMap(ref => this.rows.get(nameOf(ref)) ?? []);
      return failure({kind: 'conflict', rows});
    }
    this.version++;
    for (const put of puts) this.put(put, put.value);
    for (const ref of removes) this.remove(ref);
    return success(this.moment());
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
    return success({...this.moment(), rows, hasMore});
  }

  /** {@inheritDoc RowStore.changes} */
  async changes(
    table: string,
    after: number,
    waitMs: number,
  ): RowStoreOutcome<RowChanges> {
    const until = this.clock.now() + waitMs;
    let looked = after;
    for (;;) {
      if (after < this.historyFrom) return failure({kind: 'history-lost'});
      const changes = this.changesOf(table, looked);
      if (changes.length > 0 || this.clock.now() >= until)
        return success({...this.moment(), changes});
      looked = this.version;
      await sleep(this.clock, LOOK_MS);
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

  /** Looks from the end: the history is long, and what is new is short. */
  private changesOf(table: string, after: number): readonly RowChange[] {
    const changes: RowChange[] = [];
    for (let i = this.history.length - 1; i >= 0; i--) {
      const change = this.history[i]!;
      if (versionOf(change) <= after) break;
      if (tableOf(change) === table) changes.push(change);
    }
    return changes.reverse();
  }

  private moment(): StoreMoment {
    return {version: this.version, storeTimeMs: this.storeTimeMs()};
  }

  private put(ref: RowRef, value: Uint8Array): void {
    const {table, partition, key} = ref;
    const row = {table, partition, key, value, version: this.version};
    this.rows.set(nameOf(ref), row);
    this.history.push({kind: 'put', row});
  }

  private remove(ref: RowRef): void {
    if (!this.rows.delete(nameOf(ref))) return;
    const {version} = this;
    this.history.push({kind: 'removed', ref, version});
  }
}

function nameOf({table, partition, key}: RowRef): string {
  return JSON.stringify([table, partition, key]);
}

function versionOf(change: RowChange): number {
  return change.kind === 'put' ? change.row.version : change.version;
}

function tableOf(change: RowChange): string {
  return change.kind === 'put' ? change.row.table : change.ref.table;
}
