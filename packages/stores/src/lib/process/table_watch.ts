/**
 * Keeps an in-memory copy of a table up to date. The table is first read in
 * full, then followed through the change feed. It is read in full again
 * periodically and when the feed has lost its history.
 *
 * The periodic full read repairs the copy if the feed has silently missed a
 * change. It is repeated if it is older than what the feed has shown. A row is
 * replaced only by one with a higher version, so a delayed response never
 * restores an older row.
 */
import {
  sleep,
  type Clock,
  type Counters,
  type EventLog,
  type FreshnessLease,
  type LeaseRenewal,
} from '@oathead/core';
import {FeedPosition} from './feed_position.js';
import {FullRead, type FullReadOutcome} from './full_read.js';
import type {
  RowChange,
  RowStore,
  RowRef,
  RowStoreError,
  VersionedRow,
} from './row_store.js';

/** Options of a {@link TableWatch}. */
export interface TableWatchOptions {
  readonly table: string;
  readonly partitions: readonly string[];
  /** Long-poll timeout of the change feed, in milliseconds. */
  readonly waitMs: number;
  /**
   * Minimum interval between the starts of two calls, in milliseconds. Changes
   * in between arrive in one response, so the call rate of a busy table is
   * bounded.
   */
  readonly pauseMs: number;
  /** Interval of full reads, in milliseconds. */
  readonly fullReadMs: number;
  /** Page size of full reads, in rows. */
  readonly pageRows: number;
}

/** Time of rows that come from another host's copy, which may be old. */
export const SEEDED_STORE_TIME_MS = 0;

/** A change of the in-memory copy. */
export interface TableUpdate {
  /** Rows that are new or have a higher version. */
  readonly put: readonly VersionedRow[];
  /** The last known versions of rows that have been removed. */
  readonly removed: readonly VersionedRow[];
  /**
   * The store's monotonic clock when the update was current, in milliseconds;
   * {@link SEEDED_STORE_TIME_MS} for seeded rows.
   */
  readonly storeTimeMs: number;
}

/** Dependencies of a {@link TableWatch}. */
export interface TableWatchContext {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly counters: Counters;
  /** Renewed by each response, after its changes have been applied. */
  readonly freshness?: FreshnessLease;
}

/**
 * Delay after a failed call, in milliseconds. It limits a host to five calls a
 * second while the store is unavailable, half of its call budget per second.
 */
const RETRY_DELAY_MS = 200;
/**
 * Delay after a full read that has failed while the feed is followed, in
 * milliseconds.
 */
const READ_RETRY_DELAY_MS = 2000;
/**
 * Delay of a read that was asked for, in milliseconds: all who ask within it
 * share the read.
 */
const REFRESH_DELAY_MS = 50;
/**
 * Age from which an unfinished read starts over, in milliseconds: the store may
 * keep no changes that are older than its first pages.
 */
const MAX_READ_AGE_MS = 10_000;
/** Maximum number of keys of skipped rows in a log line. */
const MAX_SKIPPED_KEYS = 10;

/** How a full read has ended. */
type FullReadResult = FullReadOutcome['kind'];

/** A full read, and what depends on its start. */
interface StartedRead {
  readonly read: FullRead;
  /** On the monotonic clock, in milliseconds. */
  readonly startedAtMs: number;
  readonly renewal: LeaseRenewal | undefined;
}

/** Keeps a copy of a table up to date until disposed. */
export class TableWatch implements Disposable {
  private readonly rows = new Map<string, VersionedRow>();
  private readonly stop = new AbortController();
  private readonly position = new FeedPosition();
  /** When the next full read is due, on the monotonic clock. */
  private nextReadAt = -Infinity;
  /** Whether the feed goes on from a full read. */
  private hasHistory = false;
  /** The read in which a call has failed. */
  private unfinished: StartedRead | undefined;
  private failing = false;
  private failingReads = false;
  /** The read that was asked for and has not begun. */
  private nextRefresh: Promise<boolean> | undefined;
  private lastReadAt = -Infinity;

  /**
   * @param options - The table and the intervals of the watch.
   * @param context - The store, clock, log and counters.
   * @param onUpdate - Called after each response, even if nothing has changed.
   */
  constructor(
    private readonly options: TableWatchOptions,
    private readonly context: TableWatchContext,
    private readonly onUpdate: (update: TableUpdate) => void,
  ) {}

  /** Starts the watch. */
  start(): void {
    void this.follow();
  }

  /** Stops the watch. */
  [Symbol.dispose](): void {
    this.stop.abort();
  }

  /**
   * Adds rows that were received from another host while the store is
   * unreachable. The next full read corrects them.
   *
   * @param rows - Rows of this table.
   */
  seed(rows: readonly VersionedRow[]): void {
    const put = rows.filter(row => this.updateRow(row));
    if (put.length > 0)
      this.onUpdate({put, removed: [], storeTimeMs: SEEDED_STORE_TIME_MS});
  }

  /**
   * Reads the whole table soon. Unlike the feed, which may keep changes back, it
   * shows all that was written before the call.
   *
   * @returns Whether it was read; {@link all} has its rows then. Never rejects.
   */
  refresh(): Promise<boolean> {
    this.nextRefresh ??= this.refreshOnce();
    return this.nextRefresh;
  }

  /** Whether at least one response has been received from the store. */
  get hasRead(): boolean {
    return this.lastReadAt > -Infinity;
  }

  /** @returns All rows of the in-memory copy. */
  all(): readonly VersionedRow[] {
    return [...this.rows.values()];
  }

  /** Milliseconds since the last response; infinite before the first one. */
  get ageMs(): number {
    return this.context.clock.now() - this.lastReadAt;
  }

  private async follow(): Promise<void> {
    const {clock} = this.context;
    while (!this.stop.signal.aborted) {
      const startedAt = clock.now();
      const ok = await this.poll();
      const spent = clock.now() - startedAt;
      const pause = ok ? this.minimumIntervalMs - spent : RETRY_DELAY_MS;
      if (pause > 0) await sleep(clock, pause, this.stop.signal);
    }
  }

  /** A response without changes may also come sooner than it was asked for. */
  private get minimumIntervalMs(): number {
    const {pauseMs, waitMs} = this.options;
    return this.position.isQuiet ? Math.max(pauseMs, waitMs) : pauseMs;
  }

  private async poll(): Promise<boolean> {
    if (this.context.clock.now() < this.nextReadAt) return this.readChanges();
    const read = await this.continueFullRead();
    if (read === 'done') return true;
    const {table} = this.options;
    if (read === 'out-of-date')
      this.context.counters.count('table_answers_out_of_date', {table});
    if (read === 'failed') {
      if (!this.hasHistory) return false;
      this.nextReadAt = this.context.clock.now() + READ_RETRY_DELAY_MS;
    }
    // The feed is followed meanwhile, unless it has lost its history.
    return (await this.readChanges()) && this.hasHistory;
  }

  private async refreshOnce(): Promise<boolean> {
    await sleep(this.context.clock, REFRESH_DELAY_MS, this.stop.signal);
    this.nextRefresh = undefined;
    if (this.stop.signal.aborted) return false;
    return (await this.finish(this.startFullRead())) === 'done';
  }

  private async readChanges(): Promise<boolean> {
    const {table, waitMs} = this.options;
    const renewal = this.context.freshness?.startRenewal();
    const result = await this.context.store.changes(
      table,
      this.position.version,
      waitMs,
    );
    if (!result.ok) return this.recordFailure(result.err);
    this.recordSuccess();
    const {changes, version, storeTimeMs} = result.value;
    const now = this.context.clock.now();
    this.position.recordChanges(changes, version, now);
    const put: VersionedRow[] = [];
    const removed: VersionedRow[] = [];
    for (const change of changes) this.apply(change, put, removed);
    this.onUpdate({put, removed, storeTimeMs});
    this.renewFreshness(renewal, version);
    return true;
  }

  private renewFreshness(
    renewal: LeaseRenewal | undefined,
    version: number,
  ): void {
    if (!renewal || this.context.freshness!.renew(renewal, version)) return;
    const {table} = this.options;
    this.context.counters.count('table_answers_out_of_date', {table});
  }

  private apply(
    change: RowChange,
    put: VersionedRow[],
    removed: VersionedRow[],
  ): void {
    if (change.kind === 'put') {
      if (this.updateRow(change.row)) put.push(change.row);
      return;
    }
    const key = keyOf(change.ref);
    const known = this.rows.get(key);
    if (!known || known.version > change.version) return;
    this.rows.delete(key);
    removed.push(known);
  }

  private updateRow(row: VersionedRow): boolean {
    const key = keyOf(row);
    const known = this.rows.get(key);
    if (known && known.version >= row.version) return false;
    this.rows.set(key, row);
    return true;
  }

  /** Goes on with a read in which a call has failed a moment ago. */
  private async continueFullRead(): Promise<FullReadResult> {
    const now = this.context.clock.now();
    const {unfinished} = this;
    const isRecent =
      unfinished && now - unfinished.startedAtMs < MAX_READ_AGE_MS;
    const started = isRecent ? unfinished : this.startFullRead();
    this.unfinished = undefined;
    const result = await this.finish(started);
    if (result === 'failed') this.unfinished = started;
    return result;
  }

  private startFullRead(): StartedRead {
    const {store, clock, freshness} = this.context;
    return {
      read: new FullRead(store, this.options),
      startedAtMs: clock.now(),
      renewal: freshness?.startRenewal(),
    };
  }

  private async finish({read, renewal}: StartedRead): Promise<FullReadResult> {
    const outcome = await read.run(() => this.position.newestVersion);
    if (outcome.kind === 'failed') this.recordFailedRead(outcome.err);
    if (outcome.kind !== 'done') return outcome.kind;
    this.recordSuccess();
    this.failingReads = false;
    this.hasHistory = true;
    this.nextReadAt = this.context.clock.now() + this.options.fullReadMs;
    this.replaceRows(read);
    this.renewFreshness(renewal, read.version);
    return 'done';
  }

  private replaceRows({rows, version, storeTimeMs}: FullRead): void {
    const found = new Set(rows.map(keyOf));
    const removed: VersionedRow[] = [];
    for (const [key, row] of this.rows) {
      if (found.has(key) || row.version > version) continue;
      this.rows.delete(key);
      removed.push(row);
    }
    const put = rows.filter(row => this.updateRow(row));
    this.reportFullRead(found.size, put);
    this.position.recordFullRead(version);
    this.onUpdate({put, removed, storeTimeMs});
  }

  /**
   * Reports a full read and the rows in it that the feed has skipped: those that
   * are not newer than what the feed has shown, but were not known.
   */
  private reportFullRead(rows: number, put: readonly VersionedRow[]): void {
    const {table} = this.options;
    const skipped = put.filter(row => row.version <= this.position.version);
    this.context.log.event('table-read', {
      table,
      rows,
      newer: put.length - skipped.length,
      version: this.position.version,
    });
    if (skipped.length === 0) return;
    this.context.counters.count('table_rows_skipped', {table}, skipped.length);
    this.context.log.event('table-rows-skipped', {
      table,
      rows: skipped.length,
      keys: skipped.slice(0, MAX_SKIPPED_KEYS).map(({key}) => key),
      version: this.position.version,
    });
  }

  /** While the feed is followed, a read that fails loses nothing. */
  private recordFailedRead(err: RowStoreError): void {
    const {table} = this.options;
    if (!this.hasHistory) {
      this.recordFailure(err);
      return;
    }
    this.context.counters.count('table_reads_failed', {table});
    if (this.failingReads) return;
    this.failingReads = true;
    this.context.log.event('table-read-failed', {
      table,
      reason: err.kind,
      message: 'message' in err ? err.message : undefined,
    });
  }

  private recordSuccess(): void {
    this.lastReadAt = this.context.clock.now();
    if (!this.failing) return;
    this.failing = false;
    this.context.log.event('table-feed-regained', {table: this.options.table});
  }

  private recordFailure(err: RowStoreError): boolean {
    if (err.kind === 'history-lost') {
      this.hasHistory = false;
      this.nextReadAt = -Infinity;
      this.position.recordLostHistory();
      this.context.log.event('table-history-lost', {
        table: this.options.table,
        version: this.position.version,
      });
      return this.lastReadAt > -Infinity;
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
      version: this.position.version,
    });
    return false;
  }
}

function keyOf({partition, key}: RowRef): string {
  return `${partition}\n${key}`;
}
