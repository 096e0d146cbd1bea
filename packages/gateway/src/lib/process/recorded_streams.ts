/** Reads what all hosts have recorded of their streams, also lost hosts. */
import type {Clock, EventLog} from '@oathead/core';
import type {RowStore, VersionedRow} from '@oathead/stores';
import type {StreamOrigin} from '../connection/stream_version_message.js';
import {
  decodeStreamRow,
  STREAM_PARTITIONS,
  STREAM_TABLE,
  streamRowsOfHost,
  type BegunStreams,
  type StreamRow,
} from './stream_record_rows.js';

/**
 * How long a row counts after it was written, in milliseconds, if its streams do
 * not last longer. A host that cannot write may go on at the versions in it
 * meanwhile. While a row counts too long, streams that nobody knows are refused.
 */
export const RECORD_LIFETIME_MS = 600_000;
/** Maximum number of rows that are removed at once. */
const MAX_REMOVES = 40;

/** What the rows of all hosts say. */
export interface RecordedStreams {
  /** Where streams began, by ID. */
  readonly origins: ReadonlyMap<string, StreamOrigin>;
  /** Versions at which hosts may have begun streams, by service. */
  readonly versions: ReadonlyMap<string, ReadonlySet<string>>;
  /** Whether all rows were read: else there may be more versions and streams. */
  readonly isComplete: boolean;
}

/** Dependencies of {@link RecordedStreamsReader}. */
export interface RecordedStreamsContext {
  readonly store: Pick<RowStore, 'read'>;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** What was read of a partition. */
interface PartOfRecord {
  readonly rows: readonly AgedRow[];
  readonly isComplete: boolean;
}

/** What one host incarnation has recorded. */
interface AgedRow {
  readonly begun: readonly BegunStreams[];
  /** Time since it was written, in milliseconds. */
  readonly ageMs: number;
  /** How long after that its streams may be taken up, in milliseconds. */
  readonly lastsMs: number;
}

/** Reads the whole record; all who ask during a read share the next one. */
export class RecordedStreamsReader {
  private running: Promise<RecordedStreams> | undefined;
  private next: Promise<RecordedStreams> | undefined;

  /** @param context - The store. */
  constructor(private readonly context: RecordedStreamsContext) {}

  /**
   * Reads what all hosts have recorded before the call.
   *
   * @returns What could be read of it. Never rejects.
   */
  read(): Promise<RecordedStreams> {
    if (!this.running) return this.start();
    this.next ??= this.running.then(() => {
      this.next = undefined;
      return this.start();
    });
    return this.next;
  }

  private start(): Promise<RecordedStreams> {
    const running = this.readAll().finally(() => {
      if (this.running === running) this.running = undefined;
    });
    this.running = running;
    return running;
  }

  private async readAll(): Promise<RecordedStreams> {
    const parts = await Promise.all(
      STREAM_PARTITIONS.map(partition => this.readPartition(partition)),
    );
    const rows = parts.flatMap(part => part.rows);
    // Of a stream that is in two rows, the younger one says where it goes on.
    rows.sort((a, b) => b.ageMs - a.ageMs);
    const origins = new Map<string, StreamOrigin>();
    const versions = new Map<string, Set<string>>();
    for (const {begun, ageMs, lastsMs} of rows)
      for (const {service, softwareVersion, streams} of begun) {
        const known = versions.get(service) ?? new Set<string>();
        versions.set(service, known.add(softwareVersion));
        if (ageMs > lastsMs) continue;
        for (const id of streams) origins.set(id, {service, softwareVersion});
      }
    const isComplete = parts.every(part => part.isComplete);
    return {origins, versions, isComplete};
  }

  /** Reads the rows of a partition that count. */
  private async readPartition(partition: string): Promise<PartOfRecord> {
    const found: AgedRow[] = [];
    let isComplete = true;
    for (let from: string | undefined = ''; from !== undefined;) {
      const query = {table: STREAM_TABLE, partition, from};
      const page = await this.context.store.read(query);
      if (!page.ok) {
        const reason = page.err.kind;
        this.context.log.event('stream-record-unread', {partition, reason});
        return {rows: found, isComplete: false};
      }
      const {rows, hasMore, storeTimeMs} = page.value;
      for (const row of rows) {
        const aged = this.decode(row, storeTimeMs);
        if (!aged) isComplete = false;
        else if (counts(aged)) found.push(aged);
      }
      const last = rows.at(-1);
      from = hasMore && last ? `${last.key}\u0000` : undefined;
    }
    return {rows: found, isComplete};
  }

  /** @returns The row; undefined if it cannot be read. */
  private decode(
    {key, value}: VersionedRow,
    storeTimeMs: number,
  ): AgedRow | undefined {
    const decoded = decodeStreamRow(value);
    if (decoded.ok) {
      return agedRow(decoded.value, storeTimeMs);
    }
    const {message} = decoded.err;
    this.context.log.event('stream-record-unreadable', {key, message});
    return undefined;
  }
}

/**
 * Removes the rows of earlier incarnations of a host that do not count any more.
 *
 * @param store - The store. What it does not remove now stays for the next call.
 * @param memberId - ID of the incarnation that runs now.
 */
export async function removeOldRows(
  store: Pick<RowStore, 'read' | 'transact'>,
  memberId: string,
): Promise<void> {
  const page = await store.read(streamRowsOfHost(memberId));
  if (!page.ok) return;
  const {rows, storeTimeMs} = page.value;
  const removes = rows.filter(({key, value}) => {
    const row = decodeStreamRow(value);
    if (key === memberId) return false;
    return !row.ok || !counts(agedRow(row.value, storeTimeMs));
  });
  if (removes.length === 0) return;
  const some = removes.slice(0, MAX_REMOVES);
  await store.transact({expect: some, puts: [], removes: some});
}

function agedRow(
  {begun, writtenAtMs, lastsMs = RECORD_LIFETIME_MS}: StreamRow,
  storeTimeMs: number,
): AgedRow {
  return {begun, ageMs: storeTimeMs - writtenAtMs, lastsMs};
}

/** @returns Whether the versions of a row count. */
function counts({ageMs, lastsMs}: AgedRow): boolean {
  return ageMs <= Math.max(RECORD_LIFETIME_MS, lastsMs);
}
