/** Reads what all hosts have recorded of their streams, also lost hosts. */
import type {Clock, EventLog} from '@oathead/core';
import type {RowStore, VersionedRow} from '@oathead/stores';
import type {StreamOrigin} from '../connection/stream_version_message.js';
import {STREAM_LIFETIME_MS} from './service_versions.js';
import {
  decodeStreamRow,
  STREAM_PARTITIONS,
  STREAM_TABLE,
  type BegunStreams,
} from './stream_record_rows.js';

/**
 * How long a row counts after it was written, in milliseconds. A host that was
 * cut off may have gone on at the versions in it for some time, and targets that
 * have left the list serve on for seconds.
 */
export const RECORD_LIFETIME_MS = 60_000;
/** Maximum number of rows that one read removes. */
const MAX_REMOVES = 40;

/** What the rows of all hosts say. */
export interface RecordedStreams {
  /** Where streams began, by ID. */
  readonly origins: ReadonlyMap<string, StreamOrigin>;
  /** Versions at which hosts may have begun streams, by service. */
  readonly versions: ReadonlyMap<string, ReadonlySet<string>>;
}

/** Dependencies of {@link RecordedStreamsReader}. */
export interface RecordedStreamsContext {
  readonly store: Pick<RowStore, 'read' | 'transact'>;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** What one host incarnation has recorded. */
interface AgedRow {
  readonly row: VersionedRow;
  readonly begun: readonly BegunStreams[];
  /** Time since it was written, in milliseconds. */
  readonly ageMs: number;
}

/** Reads the whole record; all who ask during a read share the next one. */
export class RecordedStreamsReader {
  private running: Promise<RecordedStreams | undefined> | undefined;
  private next: Promise<RecordedStreams | undefined> | undefined;

  /** @param context - The store. */
  constructor(private readonly context: RecordedStreamsContext) {}

  /**
   * Reads what all hosts have recorded before the call.
   *
   * @returns The record; undefined if it could not be read. Never rejects.
   */
  read(): Promise<RecordedStreams | undefined> {
    if (!this.running) return this.start();
    this.next ??= this.running.then(() => {
      this.next = undefined;
      return this.start();
    });
    return this.next;
  }

  private start(): Promise<RecordedStreams | undefined> {
    const running = this.readAll().finally(() => {
      if (this.running === running) this.running = undefined;
    });
    this.running = running;
    return running;
  }

  private async readAll(): Promise<RecordedStreams | undefined> {
    const parts = await Promise.all(
      STREAM_PARTITIONS.map(partition => this.readPartition(partition)),
    );
    const origins = new Map<string, StreamOrigin>();
    const versions = new Map<string, Set<string>>();
    for (const rows of parts) {
      if (!rows) return undefined;
      for (const {begun, ageMs} of rows)
        for (const {service, softwareVersion, streams} of begun) {
          const known = versions.get(service) ?? new Set<string>();
          versions.set(service, known.add(softwareVersion));
          if (ageMs > STREAM_LIFETIME_MS) continue;
          for (const id of streams) origins.set(id, {service, softwareVersion});
        }
    }
    return {origins, versions};
  }

  /** @returns The rows that count; undefined if they could not be read. */
  private async readPartition(
    partition: string,
  ): Promise<readonly AgedRow[] | undefined> {
    const found: AgedRow[] = [];
    for (let from: string | undefined = ''; from !== undefined;) {
      const query = {table: STREAM_TABLE, partition, from};
      const page = await this.context.store.read(query);
      if (!page.ok) {
        const reason = page.err.kind;
        this.context.log.event('stream-record-unread', {partition, reason});
        return undefined;
      }
      const {rows, hasMore, storeTimeMs} = page.value;
      const decoded = rows.flatMap(row => this.decode(row, storeTimeMs));
      const isOld = ({ageMs}: AgedRow) => ageMs > RECORD_LIFETIME_MS;
      this.removeOld(decoded.filter(isOld));
      found.push(...decoded.filter(row => !isOld(row)));
      const last = rows.at(-1);
      from = hasMore && last ? `${last.key}\u0000` : undefined;
    }
    return found;
  }

  /** @returns The row; none if it cannot be read. */
  private decode(row: VersionedRow, storeTimeMs: number): readonly AgedRow[] {
    const decoded = decodeStreamRow(row.value);
    if (decoded.ok) {
      const {begun, writtenAtMs} = decoded.value;
      return [{row, begun, ageMs: storeTimeMs - writtenAtMs}];
    }
    const {message} = decoded.err;
    this.context.log.event('stream-record-unreadable', {key: row.key, message});
    return [];
  }

  /** Removes rows of hosts that are gone; one that is written anew stays. */
  private removeOld(rows: readonly AgedRow[]): void {
    for (const {row} of rows.slice(0, MAX_REMOVES))
      void this.context.store.transact({
        expect: [row],
        puts: [],
        removes: [row],
      });
  }
}
