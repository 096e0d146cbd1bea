/**
 * What a host knows of where streams began: its own ones, and those that other
 * hosts have told it.
 */
import type {StreamOrigin} from '../connection/stream_version_message.js';
import {STREAM_LIFETIME_MS} from './service_versions.js';

/** Bounds the memory that streams can take. */
const MAX_STREAMS = 20_000;

interface Kept extends StreamOrigin {
  readonly at: number;
}

/** Streams by ID, for {@link STREAM_LIFETIME_MS}. */
export class StreamOrigins {
  /** The oldest first. */
  private readonly streams = new Map<string, Kept>();

  /** @param now - Returns the monotonic time, in milliseconds. */
  constructor(private readonly now: () => number) {}

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
    const since = this.now() - STREAM_LIFETIME_MS;
    for (const [stream, {at}] of this.streams) {
      if (at >= since && this.streams.size <= MAX_STREAMS) return;
      this.streams.delete(stream);
    }
  }
}
