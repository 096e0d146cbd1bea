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

/** Splits a byte stream at the ends of its events. */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);

  /** Whether the bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.pending.length > 0;
  }

  /**
   * @param chunk - The next bytes of the stream.
   * @returns The events that this chunk completes.
   */
  push(chunk: Buffer): readonly StreamEvent[] {
    const bytes =
      this.pending.length > 0 ? Buffer.concat([this.pending, chunk]) : chunk;
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
    this.pending = bytes.subarray(start);
    return events;
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

function parseEvent(bytes: Buffer): StreamEvent {
  const id = ID_LINE.exec(bytes.toString('latin1'))?.[1];
  return {id: id === undefined ? undefined : Number(id), bytes};
}
