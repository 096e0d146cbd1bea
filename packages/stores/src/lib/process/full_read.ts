/**
 * Reads a table in full, page by page. A read in which a call has failed goes on
 * with that call.
 *
 * Guards against a host that knows nothing of a table for long because its read
 * starts over with each failed call: of a table with 16 partitions, a store that
 * loses a third of its responses lets one read of a thousand come to its end.
 */
import type {RowStore, RowStoreError, VersionedRow} from './row_store.js';

/** What is read. */
export interface FullReadQuery {
  readonly table: string;
  readonly partitions: readonly string[];
  /** Page size, in rows. */
  readonly pageRows: number;
}

/** How far a read has come. */
export type FullReadOutcome =
  | {readonly kind: 'done'}
  /** A page is older than what the change feed has shown. */
  | {readonly kind: 'out-of-date'}
  /** A call has failed; the read may go on. */
  | {readonly kind: 'failed'; readonly err: RowStoreError};

/** One read of a whole table. */
export class FullRead {
  private readonly found: VersionedRow[] = [];
  private lowestVersion = Infinity;
  private lastStoreTimeMs = 0;
  /** Number of partitions that were read. */
  private partitionsRead = 0;
  /** First key of the next page of the partition; undefined: from its start. */
  private from: string | undefined;

  /**
   * @param store - The store with the table.
   * @param query - What is read.
   */
  constructor(
    private readonly store: Pick<RowStore, 'read'>,
    private readonly query: FullReadQuery,
  ) {}

  /** The rows that were read. */
  get rows(): readonly VersionedRow[] {
    return this.found;
  }

  /** The lowest version of the pages. */
  get version(): number {
    return this.lowestVersion;
  }

  /** The store's clock at the last page, in milliseconds. */
  get storeTimeMs(): number {
    return this.lastStoreTimeMs;
  }

  /**
   * Reads what is left.
   *
   * @param newestVersion - Returns the highest version that the feed has shown.
   * @returns How far the read has come.
   */
  async run(newestVersion: () => number): Promise<FullReadOutcome> {
    const {table, partitions, pageRows: limit} = this.query;
    while (this.partitionsRead < partitions.length) {
      const partition = partitions[this.partitionsRead]!;
      const {from} = this;
      const page = await this.store.read({table, partition, from, limit});
      if (!page.ok) return {kind: 'failed', err: page.err};
      const {rows, version, hasMore, storeTimeMs} = page.value;
      if (version < newestVersion()) return {kind: 'out-of-date'};
      this.found.push(...rows);
      this.lowestVersion = Math.min(this.lowestVersion, version);
      this.lastStoreTimeMs = storeTimeMs;
      this.from = hasMore ? nextKey(rows.at(-1)!.key) : undefined;
      if (!hasMore) this.partitionsRead++;
    }
    return {kind: 'done'};
  }
}

/**
 * Returns a key that sorts directly after `key`. Keys contain no character that
 * sorts below `!`, so no key lies between the two.
 */
function nextKey(key: string): string {
  return `${key}!`;
}
