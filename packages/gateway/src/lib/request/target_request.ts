/** A request to a target, and who receives the stream that it responds with. */
import type {ResponseHead} from './exchange_outcome.js';
import type {StreamEvent} from './stream_events.js';
import type {Headers} from './target_protocol.js';

/** The request that is sent to a target. */
export interface TargetRequest {
  readonly requestId: string | undefined;
  readonly method: string;
  /** Path and query, as the caller sent them. */
  readonly path: string;
  readonly headers: Headers;
  readonly body: Buffer;
  /**
   * Number that the first event of a stream must have; undefined if unknown.
   */
  readonly firstEventId: number | undefined;
}

/** Receives the events of a stream as they arrive. */
export interface EventSink {
  /**
   * @param events - The next complete events, in order.
   * @param head - Status and headers of the response that the events belong to.
   * @returns Whether the stream may go on; false if too much of it waits for
   *     its receiver.
   */
  events(events: readonly StreamEvent[], head: ResponseHead): boolean;
}
