/**
 * Splits a server-sent event stream into complete events, which keep their
 * original bytes.
 */

import {ByteBuffer} from '@oathead/core';

/** One complete event of a stream. */
export interface StreamEvent {
  /** Number of the event, from its `id` field; undefined if it has none. */
  readonly id: number | undefined;
  /** Bytes of the event, including the empty line that ends it. */
  readonly bytes: Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(\d+)\r?$/m;
const LINE_END = /\r\n|\n|\r/;
const DATA_FIELD = /^data: ?/;
const DATA_LINE = /^data(?::|$)/m;

/** Splits a byte stream at the ends of its events. */
export class EventSplitter {
  /** Bytes of an incomplete event, in which no end was found. */
  private readonly pending = new ByteBuffer();
  /** How much of an empty line the pending bytes end with. */
  private pendingEnd: 'none' | 'line-end' | 'carriage-return' = 'none';

  /** Whether the bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.pending.length > 0;
  }

  /** Number of bytes of an incomplete event that are buffered. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /**
   * Looks at each byte once, and copies the pending ones only when an event ends.
   * Guards against a process that is kept busy by an event without end.
   *
   * @param chunk - The next bytes of the stream.
   * @returns The events that this chunk completes.
   */
  push(chunk: Buffer): readonly StreamEvent[] {
    if (!this.completesEvent(chunk)) {
      this.keep(chunk);
      return [];
    }
    this.pending.push(chunk);
    const bytes = this.pending.bytes();
    this.pending.clear();
    this.pendingEnd = 'none';
    const events: StreamEvent[] = [];
    let start = 0;
    for (;;) {
      let end = eventEnd(bytes, start);
      if (end < 0) break;
      while (bytes[end] === LINE_FEED) end++;
      events.push(parseEvent(bytes.subarray(start, end)));
      start = end;
    }
    this.keep(bytes.subarray(start));
    return events;
  }

  private completesEvent(chunk: Buffer): boolean {
    return this.completesSplitEnd(chunk) || eventEnd(chunk, 0) >= 0;
  }

  private completesSplitEnd(chunk: Buffer): boolean {
    if (this.pendingEnd === 'none') return false;
    if (chunk[0] === LINE_FEED) return true;
    const isNextLine = this.pendingEnd === 'line-end';
    return isNextLine && chunk[0] === CARRIAGE_RETURN && chunk[1] === LINE_FEED;
  }

  private keep(bytes: Buffer): void {
    if (bytes.length === 0) return;
    this.pending.push(bytes);
    this.pendingEnd = this.endOf(bytes);
  }

  private endOf(bytes: Buffer): typeof this.pendingEnd {
    const last = bytes[bytes.length - 1];
    if (last === LINE_FEED) return 'line-end';
    if (last !== CARRIAGE_RETURN) return 'none';
    const isAfterLine =
      bytes.length === 1
        ? this.pendingEnd === 'line-end'
        : bytes[bytes.length - 2] === LINE_FEED;
    return isAfterLine ? 'carriage-return' : 'none';
  }
}

/**
 * Looks at each line once.
 *
 * @returns The position after the first empty line; -1 if there is none.
 */
function eventEnd(bytes: Buffer, start: number): number {
  for (let at = start - 1; ;) {
    at = bytes.indexOf(LINE_FEED, at + 1);
    if (at < 0) return -1;
    const end = bytes[at + 1] === CARRIAGE_RETURN ? at + 2 : at + 1;
    if (bytes[end] === LINE_FEED) return end + 1;
  }
}

/**
 * @param event - An event of a stream.
 * @returns Its `data` lines, joined by line feeds.
 */
export function eventData(event: StreamEvent): string {
  const lines = event.bytes.toString('utf8').split(LINE_END);
  return lines
    .filter(line => DATA_FIELD.test(line))
    .map(line => line.replace(DATA_FIELD, ''))
    .join('\n');
}

/**
 * @param event - An event of a stream.
 * @returns Whether it is an event without a number, and not just a comment. No
 *     run can be asked to go on after it.
 */
export function isUnnumberedData(event: StreamEvent): boolean {
  return event.id === undefined && !isComment(event);
}

/**
 * @param event - An event of a stream.
 * @returns Whether it has neither a number nor data.
 */
export function isComment({id, bytes}: StreamEvent): boolean {
  return id === undefined && !DATA_LINE.test(bytes.toString('latin1'));
}

function parseEvent(bytes: Buffer): StreamEvent {
  const id = ID_LINE.exec(bytes.toString('latin1'))?.[1];
  return {id: id === undefined ? undefined : Number(id), bytes};
}
