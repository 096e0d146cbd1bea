/**
 * Writes the response to a caller: a complete body, a stream of events, or a
 * failure.
 */
import type {ServerResponse} from 'node:http';
import type {ResponseHead, EventSink} from './exchange.js';
import {endToEndHeaders} from './forwarded_headers.js';
import {endsWithConnection} from './response_framing.js';
import {isUnnumberedData, type StreamEvent} from './stream_events.js';
import type {Headers} from './target_protocol.js';

/**
 * How much of a stream may wait in this process for a slow caller when more of
 * it arrives, in bytes. Bounds the memory that callers can take by not reading;
 * larger than most streams.
 */
const MAX_UNREAD_BYTES = 1024 * 1024;

/** Writes the response to one request. */
export class ResponseWriter implements EventSink {
  private lastWrittenId: number | undefined;
  private endsWithoutNumber = false;
  private startTime: number | undefined;

  /**
   * @param res - The response to the caller.
   * @param lastEventId - Number of the last event that the caller already
   *     received.
   * @param now - Monotonic clock, in milliseconds.
   */
  constructor(
    private readonly res: ServerResponse,
    lastEventId: number | undefined,
    private readonly now: () => number,
  ) {
    this.lastWrittenId = lastEventId;
  }

  /** Whether anything was written to the caller. */
  get hasStarted(): boolean {
    return this.startTime !== undefined;
  }

  /**
   * When the response was started, on the monotonic clock; undefined if it has
   * not been started.
   */
  get firstWriteAt(): number | undefined {
    return this.startTime;
  }

  /**
   * Number of the last event that the caller received; undefined if there is
   * none.
   */
  get lastEventId(): number | undefined {
    return this.lastWrittenId;
  }

  /**
   * Number that the next event must have; undefined while no event number is
   * known.
   */
  get nextEventId(): number | undefined {
    return this.lastWrittenId === undefined
      ? undefined
      : this.lastWrittenId + 1;
  }

  /** Whether a run can be asked for the events that follow what was written. */
  get canGoOn(): boolean {
    return !this.endsWithoutNumber;
  }

  /** {@inheritDoc EventSink.events} */
  events(events: readonly StreamEvent[], head: ResponseHead): boolean {
    if (!this.hasStarted) this.writeHead(head);
    this.recordNumbers(events);
    const bytes = events.map(event => event.bytes);
    // What is written now doesn't count: the caller had no time to read it.
    const unreadBytes = this.res.writableLength;
    this.res.write(bytes.length === 1 ? bytes[0] : Buffer.concat(bytes));
    return unreadBytes <= MAX_UNREAD_BYTES;
  }

  /**
   * Ends a complete stream.
   *
   * @param head - Status and headers of the last run, written now if the stream
   *     had no events.
   */
  endStream(head: ResponseHead): void {
    if (!this.hasStarted) this.writeHead(head);
    this.res.end();
  }

  /**
   * Closes the connection to the caller, so that an interrupted stream cannot
   * look complete.
   */
  abort(): void {
    this.res.destroy();
  }

  /**
   * Sends a body that was received to its end. It gets a length only if the
   * target has stated one.
   *
   * @param head - Status and headers of the target's response.
   * @param body - The body.
   */
  sendComplete(head: ResponseHead, body: Buffer): void {
    if (endsWithConnection(head)) this.endWithConnection();
    else this.res.setHeader('content-length', body.length);
    this.writeHead(head);
    this.res.end(body);
  }

  /**
   * Sends a failure that the gateway itself generates, unless a response was
   * already started.
   *
   * @param status - HTTP status.
   * @param headers - Additional headers.
   */
  sendFailure(status: number, headers: Headers): void {
    if (this.res.headersSent || this.res.destroyed) return;
    this.startTime = this.now();
    this.res.writeHead(status, {
      ...toNodeHeaders(headers),
      'content-length': 0,
    });
    this.res.end();
  }

  /**
   * Guards against a truncated body that looks complete: without a length from
   * the target, the response to the caller ends with its connection, too. A
   * stream keeps its chunks, since their missing end is how a caller learns that
   * it was broken off.
   */
  private endWithConnection(): void {
    this.res.useChunkedEncodingByDefault = false;
    this.res.shouldKeepAlive = false;
  }

  private recordNumbers(events: readonly StreamEvent[]): void {
    // A comment that follows an event has no number.
    const last = events.findLast(
      event => event.id !== undefined || isUnnumberedData(event),
    );
    if (last) this.endsWithoutNumber = last.id === undefined;
    const numbered = events.findLast(({id}) => id !== undefined);
    this.lastWrittenId = numbered?.id ?? this.lastWrittenId;
  }

  private writeHead(head: ResponseHead): void {
    this.startTime = this.now();
    this.res.writeHead(
      head.status,
      toNodeHeaders(endToEndHeaders(head.headers)),
    );
  }
}

function toNodeHeaders(headers: Headers): Record<string, string | string[]> {
  return headers as Record<string, string | string[]>;
}
