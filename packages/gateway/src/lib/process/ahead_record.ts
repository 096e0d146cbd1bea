/**
 * Record of the accounts that are granted requests ahead of an even pace. It
 * survives the loss of all hosts, so that a new quota owner knows which
 * accounts may have used up their window.
 */
import {z} from 'zod';
import type {EventLog} from '@oathead/core';
import {
  decodeJson,
  encodeJson,
  type RowStore,
  type VersionedRow,
} from '@oathead/stores';

/** Marks accounts, and tells which are marked. */
export interface AheadRecord {
  /**
   * @param account - Account to be marked.
   * @returns How long the mark holds, in milliseconds from before the call; 0
   *     if it was not written.
   */
  mark(account: string): Promise<number>;
  /**
   * @returns How long the marks of accounts may still hold, in milliseconds
   *     from the end of the call, negative if they have ended; undefined if
   *     they could not be read.
   */
  read(): Promise<ReadonlyMap<string, number> | undefined>;
}

/** Table of the marks, with one row for each account that was marked recently. */
export const AHEAD_TABLE = 'quota_ahead';
/** How long a mark holds, in milliseconds. */
const MARK_MS = 3000;
/** How long marks are kept after their end, in milliseconds. */
const KEPT_MS = 60_000;
/** Maximum number of marks that are removed at once. */
const MAX_REMOVES = 40;
const PARTITION = '';

const MARK = z.object({
  /** Store time at which the mark ends, in milliseconds. */
  untilMs: z.number(),
});

/** The record in the store. */
export class StoredAheadRecord implements AheadRecord {
  /**
   * @param store - The store.
   * @param log - Receives an event for each row that cannot be read.
   */
  constructor(
    private readonly store: RowStore,
    private readonly log: EventLog,
  ) {}

  /** {@inheritDoc AheadRecord.mark} */
  async mark(account: string): Promise<number> {
    const storeTimeMs = this.store.storeTimeMs();
    if (storeTimeMs === undefined) return 0;
    const untilMs = storeTimeMs + MARK_MS;
    const row = {table: AHEAD_TABLE, partition: PARTITION, key: account};
    const written = await this.store.transact({
      expect: [],
      puts: [{...row, value: encodeJson({untilMs})}],
      removes: [],
    });
    if (!written.ok) return 0;
    // The store's time was read after the start of the call.
    const leftMs = untilMs - written.value.storeTimeMs;
    return Math.max(0, Math.min(MARK_MS, leftMs));
  }

  /** {@inheritDoc AheadRecord.read} */
  async read(): Promise<ReadonlyMap<string, number> | undefined> {
    const marks = new Map<string, number>();
    for (let from: string | undefined = ''; from !== undefined;) {
      const query = {table: AHEAD_TABLE, partition: PARTITION, from};
      const page = await this.store.read(query);
      if (!page.ok) return undefined;
      const {rows, hasMore, storeTimeMs} = page.value;
      for (const row of rows) marks.set(row.key, this.leftMs(row, storeTimeMs));
      this.removeOld(rows.filter(({key}) => marks.get(key)! < -KEPT_MS));
      const last = rows.at(-1);
      if (hasMore && !last) return undefined;
      from = hasMore ? `${last!.key}\u0000` : undefined;
    }
    return marks;
  }

  private leftMs({key, value}: VersionedRow, storeTimeMs: number): number {
    const mark = decodeJson(value, MARK);
    if (mark.ok) return mark.value.untilMs - storeTimeMs;
    // It may be a mark that holds.
    this.log.event('quota-mark-unreadable', {account: key});
    return MARK_MS;
  }

  /** Removes marks; one that was renewed meanwhile makes this fail. */
  private removeOld(rows: readonly VersionedRow[]): void {
    const removes = rows.slice(0, MAX_REMOVES);
    if (removes.length > 0)
      void this.store.transact({expect: removes, puts: [], removes});
  }
}
