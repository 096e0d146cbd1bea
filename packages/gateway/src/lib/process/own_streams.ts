/** The streams of this host that belong in the record. */
import type {StreamOrigin} from '../connection/stream_version_message.js';
import {TAKE_UP_MS} from './stream_lifetime.js';
import {keyOf, type BegunStreams} from './stream_record_rows.js';

/**
 * How long a stream stays in the record after it has ended, in milliseconds: its
 * last bytes may be lost with this host.
 */
const ENDED_LIFETIME_MS = 1000;
/** Longer IDs are not recorded, as hosts do not tell each other of them. */
const MAX_ID_LENGTH = 200;
/** Bounds the size of the row, in bytes of stream IDs. */
const MAX_ID_BYTES = 32_768;

interface OwnStream {
  readonly origin: StreamOrigin;
  /** Time from which it cannot be taken up any more, in monotonic ms. */
  keptUntil: number;
}

/** A version at which streams of this host may run. */
interface UsedVersion {
  readonly origin: StreamOrigin;
  /** Time from which none can be taken up any more, in monotonic ms. */
  readonly keptUntil: number;
}

/** Streams by ID, as long as they may be taken up. */
export class OwnStreams {
  /** The oldest first. */
  private readonly streams = new Map<string, OwnStream>();
  /** By service and version. */
  private readonly used = new Map<string, UsedVersion>();

  /** @param now - Returns the monotonic time, in milliseconds. */
  constructor(private readonly now: () => number) {}

  /** Number of streams. */
  get size(): number {
    return this.streams.size;
  }

  /**
   * Notes that a stream may begin at a version. Its first event may come when
   * the version has long left the list, and its ID may have no room in the row.
   *
   * @param origin - The service and the version.
   * @param endsAt - When the stream ends at the latest, in monotonic ms.
   */
  use(origin: StreamOrigin, endsAt: number): void {
    const key = keyOf(origin);
    const before = this.used.get(key)?.keptUntil ?? 0;
    const keptUntil = Math.max(before, endsAt + TAKE_UP_MS);
    const {service, softwareVersion} = origin;
    this.used.set(key, {origin: {service, softwareVersion}, keptUntil});
  }

  /** @returns The versions at which streams may run that can be taken up. */
  versions(): readonly StreamOrigin[] {
    const now = this.now();
    for (const [key, {keptUntil}] of this.used)
      if (keptUntil <= now) this.used.delete(key);
    return [...this.used.values()].map(({origin}) => origin);
  }

  /**
   * Time until no stream can be taken up any more and no version counts, in
   * milliseconds.
   */
  get lastsMs(): number {
    const now = this.now();
    const ends = [...this.used.values()].map(({keptUntil}) => keptUntil - now);
    return Math.max(0, ...ends);
  }

  /**
   * @param id - ID of a stream that begins.
   * @param origin - Where it begins.
   * @param endsAt - When it ends at the latest, in monotonic ms.
   * @returns Whether it is recorded. Callers choose IDs; a few long ones are not
   *     to take the room of others.
   */
  begin(id: string, origin: StreamOrigin, endsAt: number): boolean {
    this.use(origin, endsAt);
    if (id.length > MAX_ID_LENGTH) return false;
    this.streams.delete(id);
    this.streams.set(id, {origin, keptUntil: endsAt + TAKE_UP_MS});
    return true;
  }

  /** @param id - ID of a stream that its caller has got to its end. */
  end(id: string): void {
    const own = this.streams.get(id);
    if (own) own.keptUntil = this.now() + ENDED_LIFETIME_MS;
  }

  /** @returns The streams that may be taken up, by where they began. */
  byOrigin(): readonly BegunStreams[] {
    this.dropOld();
    const begun = new Map<string, BegunStreams & {streams: string[]}>();
    for (const [id, {origin}] of this.streams) {
      const known = begun.get(keyOf(origin)) ?? {...origin, streams: []};
      begun.set(keyOf(origin), known);
      known.streams.push(id);
    }
    return [...begun.values()];
  }

  private dropOld(): void {
    const now = this.now();
    for (const [id, {keptUntil}] of this.streams)
      if (keptUntil <= now) this.streams.delete(id);
    const ids = [...this.streams.keys()];
    let bytes = ids.reduce((sum, id) => sum + sizeOf(id), 0);
    for (const id of ids) {
      if (bytes <= MAX_ID_BYTES) return;
      this.streams.delete(id);
      bytes -= sizeOf(id);
    }
  }
}

/** @returns Size of an ID in the row, with its separator, in bytes. */
function sizeOf(id: string): number {
  return Buffer.byteLength(JSON.stringify(id)) + 1;
}
