/**
 * What a host knows of where streams began: its own ones, and those that other
 * hosts have told it.
 */
import type {StreamOrigin} from '../connection/stream_version_message.js';

/** Bounds the memory that streams can take. */
const MAX_STREAMS = 40_000;

interface Kept extends StreamOrigin {
  readonly at: number;
}

/** Streams by ID, as long as they may be taken up. */
export class StreamOrigins {
  /** The oldest first. */
  private readonly streams = new Map<string, Kept>();

  /**
   * @param now - Returns the monotonic time, in milliseconds.
   * @param lifetimeMs - Returns how long streams may be taken up after they have
   *     begun, in milliseconds; see `StreamLifetime`.
   */
  constructor(
    private readonly now: () => number,
    private readonly lifetimeMs: () => number,
  ) {}

  /** @returns Where a stream began; undefined if that is not known. */
  get(stream: string): StreamOrigin | undefined {
    this.dropOld();
    return this.streams.get(stream);
  }

  /**
   * @param stream - ID of a stream.
   * @param origin - Where it began.
   */
  set(stream: string, {service, softwareVersion}: StreamOrigin): void {
    this.streams.delete(stream);
    this.streams.set(stream, {service, softwareVersion, at: this.now()});
    this.dropOld();
  }

  /**
   * Removes and returns all streams.
   *
   * @returns The streams with their IDs, the oldest first.
   */
  takeAll(): ReadonlyArray<readonly [string, StreamOrigin]> {
    this.dropOld();
    const all = [...this.streams];
    this.streams.clear();
    return all;
  }

  private dropOld(): void {
    const since = this.now() - this.lifetimeMs();
    for (const [stream, {at}] of this.streams) {
      if (at >= since && this.streams.size <= MAX_STREAMS) return;
      this.streams.delete(stream);
    }
  }
}
