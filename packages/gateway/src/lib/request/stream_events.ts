/**
 * Splits a server-sent event stream into complete events, which keep their
 * original bytes.
 */

/** One complete event of a stream. */
export interface StreamEvent {
  /** Number of the event, from its `id` field; undefined if it has none. */
  readonly id: number | undefined;
  /** Bytes of the event, including the empty line that ends it. */
  readonly bytes: Buffer;
}

const LINE_FEED = 0x0a;
const EVENT_END = '\n\n';
const ID_LINE = /^id: ?(\d+)\r?$/m;
const LINE_END = /\r\n|\n|\r/;
const DATA_FIELD = /^data: ?/;
const DATA_LINE = /^data(?::|$)/m;

/** Splits a byte stream at the ends of its events. */
export class EventSplitter {
  /** Bytes of an incomplete event, in which no end was found. */
  private pending: Buffer[] = [];
  private bytesPending = 0;

  /** Whether the bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.bytesPending > 0;
  }

  /** Number of bytes of an incomplete event that are buffered. */
  get pendingBytes(): number {
    return this.bytesPending;
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
    const bytes = Buffer.concat([...this.pending, chunk]);
    this.pending = [];
    this.bytesPending = 0;
    const events: StreamEvent[] = [];
    let start = 0;
    for (;;) {
      const found = bytes.indexOf(EVENT_END, start);
      if (found < 0) break;
      let end = found + EVENT_END.length;
      while (bytes[end] === LINE_FEED) end++;
      events.push(parseEvent(bytes.subarray(start, end)));
      start = end;
    }
    this.keep(bytes.subarray(start));
    return events;
  }

  private completesEvent(chunk: Buffer): boolean {
    const isSplitEnd =
      this.pending.at(-1)?.at(-1) === LINE_FEED && chunk[0] === LINE_FEED;
    return isSplitEnd || chunk.includes(EVENT_END);
  }

  private keep(bytes: Buffer): void {
    if (bytes.length === 0) return;
    this.pending.push(bytes);
    this.bytesPending += bytes.length;
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
