/** Content of a response as it arrives: a body, or the events of a stream. */
import {ByteBuffer, failure, success, type Outcome} from '@oathead/core';
import {RESPONSE_MEMORY} from '../process/response_memory.js';
import {
  EventSplitter,
  isUnnumberedData,
  type StreamEvent,
} from './stream_events.js';

/**
 * Maximum size of a buffered response body, in bytes: twice the default limit
 * for request bodies.
 */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
/**
 * Maximum size of one event, in bytes: many times that of an event with several
 * tokens.
 */
const MAX_EVENT_BYTES = 2 * 1024 * 1024;

/** Buffers a body, or splits a stream and checks the order of its events. */
export class ResponseContent implements Disposable {
  private readonly splitter = new EventSplitter();
  private readonly buffered = new ByteBuffer();
  /** Whether the stream goes on with another one, and has not done so yet. */
  private hasToGoOn: boolean;

  /**
   * @param nextEventId - Number that the first event of a stream must have;
   *     undefined if unknown.
   */
  constructor(private nextEventId: number | undefined) {
    this.hasToGoOn = nextEventId !== undefined;
  }

  /** The buffered body. */
  get body(): Buffer {
    return this.buffered.bytes();
  }

  /** Whether the bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.splitter.hasPartialEvent;
  }

  /**
   * @param chunk - The next bytes of a body.
   * @returns Whether the body is short enough so far, and there is memory.
   */
  buffer(chunk: Buffer): boolean {
    const length = this.buffered.length + chunk.length;
    if (length > MAX_RESPONSE_BYTES) return false;
    if (!RESPONSE_MEMORY.take(chunk.length, length)) return false;
    this.buffered.push(chunk);
    return true;
  }

  /** Forgets the body. */
  [Symbol.dispose](): void {
    RESPONSE_MEMORY.release(this.buffered.length);
    this.buffered.clear();
  }

  /**
   * @param chunk - The next bytes of a stream.
   * @returns The events that this chunk completes; what is wrong if they are
   *     not numbered consecutively, or if one is too long.
   */
  split(chunk: Buffer): Outcome<readonly StreamEvent[], string> {
    const events = this.splitter.push(chunk);
    for (const event of events) {
      const {id} = event;
      if (this.hasToGoOn && isUnnumberedData(event))
        return failure(`no number in place of ${this.nextEventId}`);
      if (id === undefined) continue;
      const expected = this.nextEventId ?? id;
      if (id !== expected)
        return failure(`event ${id} in place of ${expected}`);
      this.nextEventId = id + 1;
      this.hasToGoOn = false;
    }
    if (this.splitter.pendingBytes > MAX_EVENT_BYTES)
      return failure('event too large');
    return success(events);
  }
}
