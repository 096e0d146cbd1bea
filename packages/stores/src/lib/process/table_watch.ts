/**
 * The rows of a table, kept up to date in memory: read whole at first, then
 * followed through the feed, and read whole again when the feed has lost its
 * history or from time to time.
 *
 * Guards against a feed that has silently missed a change: the whole read
 * repairs it. A row is replaced only by one of a higher version, so an answer
 * that was delayed on the way never brings an older row back.
 */
import {
  sleep,
  type Clock,
  type Counters,
  type EventLog,
  type FreshnessLease,
  type LeaseRenewal,
} from '@oathead/core';
import type {
  RowChange,
  RowStore,
  RowStoreError,
  VersionedRow,
} from './row_store.js';

/** How a table is followed. */
export interface TableWatchOptions {
  readonly table: string;
  readonly partitions: readonly string[];
  /** How long a call waits for a first change, in milliseconds. */
  readonly waitMs: number;
  /**
   * The least time between two calls, in milliseconds: changes in between come
   * in one answer, so a busy table costs a bounded number of calls.
   */
  readonly pauseMs: number;
  /** How often the table is read whole, in milliseconds. */
  readonly fullReadMs: number;
  /** Rows to a page of a whole read. */
  readonly pageRows: number;
}

/** What a change of the watched rows looks like. */
export interface TableUpdate {
  /** Rows that are new or have a new version. */
  readonly put: readonly VersionedRow[];
  /** Rows as they were last, which are gone now. */
  readonly removed: readonly VersionedRow[];
  /** The store's steady clock when this was true, in milliseconds. */
  readonly storeTimeMs: number;
}

/** What a {@link TableWatch} needs. */
export interface TableWatchContext {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly counters: Counters;
  /** Renewed by each answer, once what it brings is adopted. */
  readonly freshness?: FreshnessLease;
}

/** Pause after a call that failed, in milliseconds: half a second's budget of a
 * host that asks five times a second at most while the store is away. */
const RETRY_PAUSE_MS = 200;

/** Follows a table until disposed. */
export class TableWatch implements Disposable {
  private readonly rows = new Map<string, VersionedRow>();
  private readonly stop = new AbortController();
  private version = 0;
  private fullReadAt = -Infinity;
  private failing = false;
  private readAt = -Infinity;

  /**
   * @param options - What is followed, and how often.
   * @param context - The store, the clock and where events go.
   * @param onUpdate - Called after each answer, also when nothing changed.
   */
  constructor(
    private readonly options: TableWatchOptions,
    private readonly context: TableWatchContext,
    private readonly onUpdate: (update: TableUpdate) => void,
  ) {}

  /** Begins to follow the table. */
  start(): void {
    void this.follow();
  }

  /** Ends the watch. */
  [Symbol.dispose](): void {
    this.stop.abort();
  }

  /**
   * Takes over rows that another host knows, while the store can't be asked.
   * The next whole read corrects them.
   *
   * @param rows - Rows of this table.
   */
  seed(rows: readonly VersionedRow[]): void {
    const put = rows.filter(row => this.adopt(row));
    if (put.length > 0) this.onUpdate({put, removed: [], storeTimeMs: 0});
  }

  /** Whether the store has answered at least once. */
  get hasRead(): boolean {
    return this.readAt > -Infinity;
  }

  /** @returns All rows that are known now. */
  all(): readonly VersionedRow[] {
    return [...this.rows.values()];
  }

  /** Milliseconds since the store last answered; infinite before it has. */
  get ageMs(): number {
    return this.context.clock.now() - this.readAt;
  }

  private async follow(): Promise<void> {
    const {clock} = this.context;
    while (!this.stop.signal.aborted) {
      const startedAt = clock.now();
      const ok = await this.step();
      const spent = clock.now() - startedAt;
      const pause = ok ? this.options.pauseMs - spent : RETRY_PAUSE_MS;
      if (pause > 0) await sleep(clock, pause, this.stop.signal);
    }
  }

  private async step(): Promise<boolean> {
    const due = this.fullReadAt + this.options.fullReadMs;
    if (this.context.clock.now() >= due) return this.readWhole();
    return this.readChanges();
  }

  private async readChanges(): Promise<boolean> {
    const {table, waitMs} = this.options;
    const question = this.context.freshness?.startRenewal();
    const answer = await this.context.store.changes(
      table,
      this.version,
      waitMs,
    );
    if (!answer.ok) return this.failed(answer.err);
    this.succeeded();
    const {changes, version, storeTimeMs} = answer.value;
    this.version = Math.max(this.version, version);
    const put: VersionedRow[] = [];
    const removed: VersionedRow[] = [];
    for (const change of changes) this.apply(change, put, removed);
    this.onUpdate({put, removed, storeTimeMs});
    this.prove(question, version);
    return true;
  }

  private prove(question: LeaseRenewal | undefined, version: number): void {
    if (!question || this.context.freshness!.renew(question, version)) return;
    const {table} = this.options;
    this.context.counters.count('table_answers_out_of_date', {table});
  }

  private apply(
    change: RowChange,
    put: VersionedRow[],
    removed: VersionedRow[],
  ): void {
    if (change.kind === 'put') {
      if (this.adopt(change.row)) put.push(change.row);
      return;
    }
    const key = rowKey(change.ref.partition, change.ref.key);
    const known = this.rows.get(key);
    if (!known || known.version > change.version) return;
    this.rows.delete(key);
    removed.push(known);
  }

  private adopt(row: VersionedRow): boolean {
    const key = rowKey(row.partition, row.key);
    const known = this.rows.get(key);
    if (known && known.version >= row.version) return false;
    this.rows.set(key, row);
    return true;
  }

  private async readWhole(): Promise<boolean> {
    const found = new Map<string, VersionedRow>();
    let version = Infinity;
    let storeTimeMs = 0;
    const question = this.context.freshness?.startRenewal();
    for (const partition of this.options.partitions) {
      let from: string | undefined;
      do {
        const {table, pageRows: limit} = this.options;
        const answer = await this.context.store.read({
          table,
          partition,
          from,
          limit,
        });
        if (!answer.ok) return this.failed(answer.err);
        const {rows, hasMore} = answer.value;
        for (const row of rows) found.set(rowKey(partition, row.key), row);
        version = Math.min(version, answer.value.version);
        storeTimeMs = answer.value.storeTimeMs;
        from = hasMore ? keyBehind(rows.at(-1)!.key) : undefined;
      } while (from !== undefined);
    }
    this.succeeded();
    this.fullReadAt = this.context.clock.now();
    this.replace(found, version, storeTimeMs);
    this.prove(question, version);
    return true;
  }

  private replace(
    found: ReadonlyMap<string, VersionedRow>,
    version: number,
    storeTimeMs: number,
  ): void {
    const removed: VersionedRow[] = [];
    for (const [key, row] of this.rows) {
      if (found.has(key) || row.version > version) continue;
      this.rows.delete(key);
      removed.push(row);
    }
    const put = [...found.values()].filter(row => this.adopt(row));
    this.version = Math.max(this.version, version);
    this.onUpdate({put, removed, storeTimeMs});
  }

  private succeeded(): void {
    this.readAt = this.context.clock.now();
    if (!this.failing) return;
    this.failing = false;
    this.context.log.event('table-feed-regained', {table: this.options.table});
  }

  private failed(err: RowStoreError): boolean {
    if (err.kind === 'history-lost') {
      this.fullReadAt = -Infinity;
      this.context.log.event('table-history-lost', {
        table: this.options.table,
        version: this.version,
      });
      return this.readAt > -Infinity;
    }
    this.context.counters.count('table_feed_failures', {
      table: this.options.table,
    });
    if (this.failing) return false;
    this.failing = true;
    this.context.log.event('table-feed-lost', {
      table: this.options.table,
      reason: err.kind,
      message: 'message' in err ? err.message : undefined,
      version: this.version,
    });
    return false;
  }
}

/** Keys have no characters below this one, so none is between the two. */
function keyBehind(key: string): string {
  return `${key}!`;
}

function rowKey(partition: string, key: string): string {
  return `${partition}\n${key}`;
}
