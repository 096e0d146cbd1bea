/**
 * Keeps the record of the streams of this host in the store, so that other hosts
 * know where they began when this host and all that it has told are lost. See
 * `docs/design/stream-versions.md`.
 */
import {DisposableStore, sleep, type Clock, type EventLog} from '@oathead/core';
import type {RowStore, RowStoreError} from '@oathead/stores';
import type {StreamOrigin} from '../connection/stream_version_message.js';
import {OwnStreams} from './own_streams.js';
import {removeOldRows} from './recorded_streams.js';
import {
  encodeStreamRow,
  keyOf,
  streamRowRef,
  type BegunStreams,
  type StreamRow,
} from './stream_record_rows.js';

/** Dependencies of {@link StreamRecord}. */
export interface StreamRecordContext {
  /** ID of this host incarnation. */
  readonly memberId: string;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly store: Pick<RowStore, 'transact' | 'read' | 'storeTimeMs'>;
  /** Maximum rate of writes by all hosts together, per second. */
  readonly maxWritesPerS: number;
  /** @returns Number of live hosts, with this one. */
  readonly hosts: () => number;
  /** @returns The versions of all services that have been listed lately. */
  readonly listedVersions: () => readonly StreamOrigin[];
}

/**
 * Minimum interval of writes, in milliseconds. A stream that is taken up after
 * the loss of all hosts goes on if it began that much before.
 */
const MIN_WRITE_INTERVAL_MS = 100;
/**
 * Bounds what a host sends to the store where many long streams run, in bytes per
 * second: a part of what a node may spend on control.
 */
const MAX_ROW_BYTES_PER_S = 5000;
/** Interval of writes while nothing has changed, in milliseconds. */
const REFRESH_INTERVAL_MS = 20_000;
/** Interval at which old rows of this host are removed, in milliseconds. */
const SWEEP_INTERVAL_MS = 60_000;
/** Interval at which a change of the versions is noticed, in milliseconds. */
const CHECK_INTERVAL_MS = 500;
/**
 * How long a version stays in the row after it was announced, in milliseconds:
 * its targets come into use after that.
 */
const TAKEN_LIFETIME_MS = 1000;
/** Delay after a failed write, in milliseconds. */
const RETRY_DELAY_MS = 500;
const MS_PER_SECOND = 1000;

/** A version that is to be in the record before streams begin there. */
interface Announcement {
  readonly origin: StreamOrigin;
  readonly done: Promise<void>;
  readonly settle: () => void;
}

/** A version that the store has taken a moment ago. */
interface TakenVersion {
  readonly origin: StreamOrigin;
  /** Until when it stays in the row without being listed, in monotonic ms. */
  readonly keptUntil: number;
}

/** The record of this host. */
export class StreamRecord implements Disposable {
  private readonly disposables = new DisposableStore();
  private readonly streams: OwnStreams;
  /** By version, until the store has taken them. */
  private readonly announcements = new Map<string, Announcement>();
  /** Versions in the row that the store has taken last. */
  private announced: ReadonlySet<string> = new Set();
  /** Versions that the store has just taken, as long as they may be unused. */
  private readonly taken = new Map<string, TakenVersion>();
  private rowVersion = 0;
  private lastWriteAt = -Infinity;
  private lastRowBytes = 0;
  private isDirty = false;
  private isWriting = false;
  private isFailing = false;

  /** @param context - The store and the list of targets. */
  constructor(private readonly context: StreamRecordContext) {
    this.streams = new OwnStreams(() => context.clock.now());
  }

  /** Starts to keep the row up to date. */
  start(): void {
    const stop = new AbortController();
    this.disposables.defer(() => stop.abort());
    void this.follow(stop.signal);
  }

  /** Stops that. */
  [Symbol.dispose](): void {
    this.disposables[Symbol.dispose]();
  }

  /**
   * To be called before a request is sent whose response may be a stream that
   * callers can take up.
   *
   * @param origin - Where it may begin.
   * @param endsAt - When it ends at the latest, in monotonic milliseconds.
   */
  use(origin: StreamOrigin, endsAt: number): void {
    this.streams.use(origin, endsAt);
  }

  /**
   * @param stream - ID of a stream that begins.
   * @param origin - Where it begins.
   * @param endsAt - When it ends at the latest, in monotonic milliseconds.
   */
  begin(stream: string, origin: StreamOrigin, endsAt: number): void {
    if (this.streams.begin(stream, origin, endsAt)) this.requestWrite();
  }

  /** @param stream - ID of a stream that its caller has got to its end. */
  end(stream: string): void {
    this.streams.end(stream);
  }

  /** @returns Whether the store knows that streams may begin at a version. */
  isAnnounced(origin: StreamOrigin): boolean {
    return this.announced.has(keyOf(origin));
  }

  /**
   * Records that streams may begin at a version.
   *
   * @param origin - The service and the version.
   * @returns Resolves when the store knows it. Never rejects.
   */
  announce(origin: StreamOrigin): Promise<void> {
    const key = keyOf(origin);
    const known = this.announcements.get(key);
    if (known) return known.done;
    if (this.announced.has(key)) return Promise.resolve();
    let settle = () => {};
    const done = new Promise<void>(resolve => (settle = resolve));
    this.announcements.set(key, {origin, done, settle});
    this.isDirty = true;
    // All versions of one read of the list are announced by one write.
    queueMicrotask(() => void this.write());
    return done;
  }

  /**
   * Interval of writes by which all hosts together stay within what the store
   * takes, and this one within what it may send.
   */
  private get writeIntervalMs(): number {
    const {hosts, maxWritesPerS} = this.context;
    const sharedMs = (hosts() / maxWritesPerS) * MS_PER_SECOND;
    const ownMs = (this.lastRowBytes / MAX_ROW_BYTES_PER_S) * MS_PER_SECOND;
    return Math.max(MIN_WRITE_INTERVAL_MS, sharedMs, ownMs);
  }

  private requestWrite(): void {
    if (this.isDirty) return;
    this.isDirty = true;
    this.scheduleWrite();
  }

  private scheduleWrite(): void {
    const {clock} = this.context;
    const pauseMs = this.isFailing ? RETRY_DELAY_MS : this.writeIntervalMs;
    const delayMs = Math.max(0, this.lastWriteAt + pauseMs - clock.now());
    clock.after(delayMs, () => void this.write());
  }

  private async follow(signal: AbortSignal): Promise<void> {
    const {clock} = this.context;
    let sweptAt = clock.now();
    while (!signal.aborted) {
      await sleep(clock, CHECK_INTERVAL_MS, signal);
      const isDue = clock.now() - this.lastWriteAt >= REFRESH_INTERVAL_MS;
      if (isDue || this.haveVersionsChanged()) this.requestWrite();
      if (clock.now() - sweptAt < SWEEP_INTERVAL_MS) continue;
      sweptAt = clock.now();
      await removeOldRows(this.context.store, this.context.memberId);
    }
  }

  private haveVersionsChanged(): boolean {
    const now = new Set(this.versions().map(keyOf));
    const isSame = now.size === this.announced.size;
    return !isSame || [...now].some(key => !this.announced.has(key));
  }

  private async write(): Promise<void> {
    if (this.isWriting || !this.isDirty || this.disposables.disposed) return;
    this.lastWriteAt = this.context.clock.now();
    const writtenAtMs = this.context.store.storeTimeMs();
    // A row without its age would count for nobody.
    if (writtenAtMs === undefined) return this.scheduleWrite();
    this.isWriting = true;
    this.isDirty = false;
    const row = this.row(writtenAtMs);
    this.withdrawMissing(row);
    const error = await this.put(row);
    this.isWriting = false;
    this.reportOutcome(error);
    if (error) this.isDirty = true;
    else this.adopt(row);
    if (this.announcements.size > 0 && !error) void this.write();
    else if (this.isDirty) this.scheduleWrite();
  }

  /**
   * Writes the row over the version that is known. Guards against a write
   * without a response that is performed late, over a newer one.
   */
  private async put(row: StreamRow): Promise<RowStoreError | undefined> {
    const {store, memberId} = this.context;
    const ref = streamRowRef(memberId);
    const value = encodeStreamRow(row);
    this.lastRowBytes = value.byteLength;
    const puts = [{...ref, value}];
    for (let isRepeated = false; ; isRepeated = true) {
      const expect = [{...ref, version: this.rowVersion}];
      const written = await store.transact({expect, puts, removes: []});
      if (written.ok) {
        this.rowVersion = written.value.version;
        return undefined;
      }
      if (written.err.kind !== 'conflict' || isRepeated) return written.err;
      this.rowVersion = written.err.rows[0]?.version ?? 0;
    }
  }

  /** Until the write has an outcome, the store may know less than before. */
  private withdrawMissing({begun}: StreamRow): void {
    const kept = begun.map(keyOf).filter(key => this.announced.has(key));
    this.announced = new Set(kept);
  }

  private adopt({begun}: StreamRow): void {
    this.announced = new Set(begun.map(keyOf));
    const keptUntil = this.context.clock.now() + TAKEN_LIFETIME_MS;
    for (const [key, {origin, settle}] of [...this.announcements]) {
      if (!this.announced.has(key)) continue;
      this.announcements.delete(key);
      this.taken.set(key, {origin, keptUntil});
      settle();
    }
  }

  /** Logs when writes begin to fail, and when they get through again. */
  private reportOutcome(error: RowStoreError | undefined): void {
    const isFailing = error !== undefined;
    if (isFailing === this.isFailing) return;
    this.isFailing = isFailing;
    const {log} = this.context;
    if (error) log.event('streams-unrecorded', {reason: error.kind});
    else log.event('streams-recorded', {streams: this.streams.size});
  }

  private row(writtenAtMs: number): StreamRow {
    const begun = new Map<string, BegunStreams>();
    for (const origin of this.versions())
      begun.set(keyOf(origin), {...origin, streams: []});
    for (const streams of this.streams.byOrigin())
      begun.set(keyOf(streams), streams);
    const {lastsMs} = this.streams;
    return {writtenAtMs, lastsMs, begun: [...begun.values()]};
  }

  private versions(): readonly StreamOrigin[] {
    const now = this.context.clock.now();
    for (const [key, {keptUntil}] of this.taken)
      if (keptUntil <= now) this.taken.delete(key);
    const announced = [...this.announcements.values(), ...this.taken.values()];
    return [
      ...this.context.listedVersions(),
      ...this.streams.versions(),
      ...announced.map(({origin}) => origin),
    ];
  }
}
