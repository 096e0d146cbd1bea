/** Splits a stream into whole events, which are passed on or kept as they are. */

/** One whole event of a stream. */
export interface StreamEvent {
  /** Its number in the stream; undefined where it has none. */
  readonly id: number | undefined;
  /** Its bytes, the empty line that ends it included. */
  readonly bytes: Buffer;
}

const LINE_FEED = 0x0a;
const EVENT_END = '\n\n';
const ID_LINE = /^id: ?(\d+)\r?$/m;
const DATA_LINE = /^data: ?(.*?)\r?$/gm;

/** Cuts the bytes of a stream where its events end. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** Whether bytes of an event are waiting for the rest of it. */
  get hasPartialEvent(): boolean {
    return this.rest.length > 0;
  }

  /**
   * @param chunk - The next bytes of the stream.
   * @returns The events that are whole now.
   */
  push(chunk: Buffer): readonly StreamEvent[] {
    const bytes =
      this.rest.length > 0 ? Buffer.concat([this.rest, chunk]) : chunk;
    const events: StreamEvent[] = [];
    let start = 0;
    for (;;) {
      const found = bytes.indexOf(EVENT_END, start);
      if (found < 0) break;
      let end = found + EVENT_END.length;
      while (bytes[end] === LINE_FEED) end++;
      events.push(eventOf(bytes.subarray(start, end)));
      start = end;
    }
    this.rest = bytes.subarray(start);
    return events;
  }
}

/**
 * @param event - An event of a stream.
 * @returns Its data, lines joined by line feeds.
 */
export function dataOf(event: StreamEvent): string {
  const lines = event.bytes.toString('utf8').matchAll(DATA_LINE);
  return [...lines].map(line => line[1]!).join('\n');
}

function eventOf(bytes: Buffer): StreamEvent {
  const id = ID_LINE.exec(bytes.toString('latin1'))?.[1];
  return {id: id === undefined ? undefined : Number(id), bytes};
}
