/** The streams of this host that belong in the record. */
import type {StreamOrigin} from '../connection/stream_version_message.js';
import {STREAM_LIFETIME_MS} from './service_versions.js';
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
  endsAt: number;
}

/** Streams by ID, as long as they may be taken up. */
export class OwnStreams {
  /** The oldest first. */
  private readonly streams = new Map<string, OwnStream>();

  /** @param now - Returns the monotonic time, in milliseconds. */
  constructor(private readonly now: () => number) {}

  /** Number of streams. */
  get size(): number {
    return this.streams.size;
  }

  /**
   * @param id - ID of a stream that begins.
   * @param origin - Where it begins.
   * @returns Whether it is recorded. Callers choose IDs; a few long ones are not
   *     to take the room of others.
   */
  begin(id: string, origin: StreamOrigin): boolean {
    if (id.length > MAX_ID_LENGTH) return false;
    this.streams.delete(id);
    this.streams.set(id, {origin, endsAt: this.now() + STREAM_LIFETIME_MS});
    return true;
  }

  /** @param id - ID of a stream that its caller has got to its end. */
  end(id: string): void {
    const own = this.streams.get(id);
    if (own) own.endsAt = this.now() + ENDED_LIFETIME_MS;
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
    for (const [id, {endsAt}] of this.streams)
      if (endsAt <= now) this.streams.delete(id);
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
