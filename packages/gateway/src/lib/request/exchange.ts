/**
 * One request on one connection to a target, and its outcome. Only a complete
 * response of the target to this request is passed on. The exchange rejects
 * responses to other requests, successes without a seal, bodies in an encoding
 * that was not requested, and responses that were truncated or reset.
 */
import {errors, type Dispatcher} from 'undici';
import type {TargetConnection} from '../connection/target_connection.js';
import {
  UNATTRIBUTED_TEXT,
  unattributedReason,
  type UnattributedReason,
} from './attribution.js';
import {
  failureDoubt,
  hasFraming,
  isSuccess,
  reasonOf,
  type AbortReason,
  type ExchangeOutcome,
  type ResponseHead,
} from './exchange_outcome.js';
import {ResponseBytes} from './response_bytes.js';
import {ResponseContent} from './response_content.js';
import type {ResponseMetadata, TargetProtocol} from './target_protocol.js';
import type {EventSink, TargetRequest} from './target_request.js';

export {
  isWholeSuccess,
  mayHaveCrashed,
  type AbortReason,
  type CompleteResponse,
  type ExchangeOutcome,
  type FailureDoubt,
  type ResponseHead,
} from './exchange_outcome.js';
export type {EventSink, TargetRequest} from './target_request.js';

/** Bodies up to this size arrive with the head of their request, in bytes. */
const LONG_BODY_BYTES = 8192;

/** Controls a request in flight. */
export interface ExchangeControl {
  /**
   * Aborts the request. The target sees its connection closed.
   *
   * @param by - Why the request is aborted.
   */
  end(by: AbortReason): void;
  /**
   * @param now - The current time on the monotonic clock, in milliseconds.
   * @returns Milliseconds since the response last got on (its head, bytes of
   *     a body, or a whole event of a stream), or since the whole request was
   *     sent.
   */
  silentMs(now: number): number;
}

/** Dependencies of an {@link Exchange}. */
export interface ExchangeContext {
  /** Interprets the response headers. */
  readonly protocol: TargetProtocol;
  /** Receives the events of a stream. */
  readonly sink: EventSink;
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number;
  /** Called whenever data is received from the target. */
  readonly onActivity: () => void;
  /** Called with what the handling of a response has thrown. */
  readonly onError: (err: unknown) => void;
}

/** A response whose head was received, and what the head says. */
interface ReceivedHead {
  readonly head: ResponseHead;
  readonly metadata: ResponseMetadata;
}

/** A request in flight at a target. */
export class Exchange implements ExchangeControl, Dispatcher.DispatchHandler {
  private readonly content: ResponseContent;
  private received: ReceivedHead | undefined;
  private isFirstRequest = false;
  private settled = false;
  private readonly startedAt: number;
  private lastProgressAt: number;
  private headAfterMs: number | undefined;
  private readonly bytes: ResponseBytes;
  private resolveOutcome!: (end: ExchangeOutcome) => void;

  /** The outcome; never rejects. */
  readonly outcome$: Promise<ExchangeOutcome>;

  /**
   * @param connection - A connection with no request on it.
   * @param req - The request.
   * @param context - Protocol, event sink and clock.
   */
  constructor(
    private readonly connection: TargetConnection,
    private readonly req: TargetRequest,
    private readonly context: ExchangeContext,
  ) {
    this.startedAt = context.now();
    this.lastProgressAt = this.startedAt;
    this.content = new ResponseContent(req.firstEventId);
    this.bytes = new ResponseBytes(() => connection.bytesRead);
    this.outcome$ = new Promise(resolve => {
      this.resolveOutcome = resolve;
    });
  }

  /** Sends the request. */
  start(): void {
    const {method, path, headers, body} = this.req;
    const options: Dispatcher.DispatchOptions = {
      method: method as Dispatcher.HttpMethod,
      path,
      headers: headers as Record<string, string | string[]>,
      body: body.length > 0 ? body : undefined,
      // undici would otherwise hold back further requests on the connection,
      // because it assumes that this one has side effects.
      idempotent: true,
      blocking: false,
    };
    // A target that reads a long request slowly is not silent.
    this.connection.onDrained = () => this.recordProgress();
    this.connection.onBytes = () => this.checkFraming();
    this.isFirstRequest = this.connection.carried.add(this.req.requestId);
    try {
      this.connection.client.dispatch(options, this);
    } catch (err) {
      this.finish({kind: 'unsent', reason: reasonOf(err)});
    }
  }

  /** {@inheritDoc ExchangeControl.end} */
  end(by: AbortReason): void {
    this.finish({kind: 'ended', by, ...this.failurePart()});
  }

  /** {@inheritDoc ExchangeControl.silentMs} */
  silentMs(now: number): number {
    return now - this.lastProgressAt;
  }

  /**
   * Time from the request to the response headers, in milliseconds; undefined
   * until they are received.
   */
  get firstByteMs(): number | undefined {
    return this.headAfterMs;
  }

  /** Whether the response is complete and the connection can be reused. */
  get isConnectionReusable(): boolean {
    return this.settled && this.connection.usable;
  }

  /**
   * Called by undici when the request is started. Required by the interface.
   */
  onRequestStart(): void {}

  /** Called by undici with the status and headers of the response. */
  onResponseStart(
    ...[, status, headers]: Parameters<
      NonNullable<Dispatcher.DispatchHandler['onResponseStart']>
    >
  ): void {
    if (this.settled || status < 200) return;
    this.guarded(() => this.receiveHead({status, headers}));
  }

  /**
   * Called by undici with a chunk of the body.
   *
   * Responses are never paused. Guards against a process that ends: undici
   * throws in an event handler of the socket if a connection ends or breaks
   * while a response that ends with it is paused.
   */
  onResponseData(
    ...[, chunk]: Parameters<
      NonNullable<Dispatcher.DispatchHandler['onResponseData']>
    >
  ): void {
    if (this.settled) return;
    this.guarded(() => this.receiveChunk(chunk));
  }

  /** Called by undici at the end of the response. */
  onResponseEnd(): void {
    if (this.settled) return;
    this.guarded(() => this.receiveEnd(this.received!));
  }

  /** Called by undici when the response cannot be completed. */
  onResponseError(
    ...[, err]: Parameters<
      NonNullable<Dispatcher.DispatchHandler['onResponseError']>
    >
  ): void {
    const reason = reasonOf(err);
    if (!this.connection.wasConnected) this.finish({kind: 'unsent', reason});
    else if (isInvalidResponse(err)) this.failInvalid(reason);
    else this.failDisconnected(reason);
  }

  /**
   * Guards against an exchange that never settles, and against a process that
   * ends with all its requests, because of one response: what its handling
   * throws ends this exchange only.
   */
  private guarded(handle: () => void): void {
    try {
      handle();
    } catch (err) {
      this.context.onError(err);
      this.failInvalid('response could not be handled');
    }
  }

  /**
   * Guards against bytes without end that are no part of a body, which the parser
   * reads on and on without a word.
   */
  private checkFraming(): void {
    if (this.settled || !this.bytes.hasTooMuchFraming) return;
    // What has just arrived may be body, which has not been parsed yet.
    setImmediate(() => {
      if (!this.settled && this.bytes.hasTooMuchFraming)
        this.failInvalid('too many bytes outside the body');
    });
  }

  private receiveHead(head: ResponseHead): void {
    this.recordProgress();
    this.headAfterMs = this.lastProgressAt - this.startedAt;
    const {status, headers} = head;
    const metadata = this.context.protocol.readResponse(status, headers);
    if (!metadata.ok) {
      this.failInvalid(metadata.err);
      return;
    }
    this.received = {head, metadata: metadata.value};
    const {requestId: responseId, notRun} = metadata.value;
    const unattributed = unattributedReason({
      responseId,
      requestId: this.req.requestId,
      isFirstRequest: this.isFirstRequest,
      success: isSuccess(status) && !notRun,
    });
    if (unattributed) this.failUnattributed(unattributed);
    else this.checkSuccess(metadata.value, status);
    this.connection.lingersAtEnd =
      isSuccess(status) && !hasFraming(head) && this.isLongRequest;
  }

  /** Whether the target may begin to answer before the request has arrived. */
  private get isLongRequest(): boolean {
    return this.req.body.length > LONG_BODY_BYTES;
  }

  private receiveChunk(chunk: Buffer): void {
    this.bytes.addBody(chunk.length);
    const {head, metadata} = this.received!;
    if (metadata.notRun) this.skipRefusalBody(head);
    else if (isEventStream(this.received!)) this.forwardEvents(chunk);
    else this.bufferChunk(chunk);
  }

  /** The head alone states a refusal, so its body is not waited for at length. */
  private skipRefusalBody({status}: ResponseHead): void {
    if (this.bytes.isTooLongForRefusal) this.finish({kind: 'declined', status});
  }

  private receiveEnd(received: ReceivedHead): void {
    const {head, metadata} = received;
    const {wasBrokenOff} = this.connection;
    // The headers alone state a refusal. A target that refuses a request before
    // it has read all of it resets the connection.
    if (metadata.notRun) {
      this.finish({kind: 'declined', status: head.status}, !wasBrokenOff);
      return;
    }
    if (wasBrokenOff) {
      this.failDisconnected('reset during the answer');
      return;
    }
    if (this.connection.lingersAtEnd && this.connection.hasUnsentBytes) {
      this.failDisconnected('ended before the request was sent');
      return;
    }
    if (!isEventStream(received)) {
      const {body} = this.content;
      const doubt = failureDoubt(head, metadata);
      this.finish({kind: 'answered', head, body, doubt}, true);
      return;
    }
    if (this.content.hasPartialEvent)
      this.failDisconnected('ended inside an event');
    else this.finish({kind: 'streamed', head}, true);
  }

  private recordProgress(): void {
    if (this.settled) return;
    this.lastProgressAt = this.context.now();
    this.context.onActivity();
  }

  /** Rejects a success whose body the target does not vouch for. */
  private checkSuccess(metadata: ResponseMetadata, status: number): void {
    if (metadata.notRun || !isSuccess(status)) return;
    if (!metadata.sealed) this.failInvalid('success without a seal');
    else if (metadata.hasUnexpectedEncoding)
      this.failInvalid('body in an unasked coding');
  }

  private forwardEvents(chunk: Buffer): void {
    const events = this.content.split(chunk);
    if (!events.ok) {
      this.failInvalid(events.err);
      return;
    }
    if (events.value.length === 0) return;
    this.recordProgress();
    if (!this.context.sink.events(events.value, this.received!.head))
      this.end('caller-slow');
  }

  private bufferChunk(chunk: Buffer): void {
    this.recordProgress();
    if (!this.content.buffer(chunk)) this.failInvalid('answer too large');
  }

  /** Ends the exchange because the target sent an invalid response. */
  private failInvalid(reason: string): void {
    this.failBroken(reason, true);
  }

  /** Ends the exchange because the response may belong to another request. */
  private failUnattributed(unattributed: UnattributedReason): void {
    const reason = UNATTRIBUTED_TEXT[unattributed];
    this.finish({kind: 'broken', reason, sentInvalidData: true, unattributed});
  }

  /**
   * Ends the exchange because the connection closed before the response was
   * complete.
   */
  private failDisconnected(reason: string): void {
    this.failBroken(reason, false);
  }

  private failBroken(reason: string, sentInvalidData: boolean): void {
    const part = this.failurePart();
    this.finish({kind: 'broken', reason, sentInvalidData, ...part});
  }

  /** What is known of a failure that is incomplete. */
  private failurePart(): {readonly failedStatus?: number} {
    if (!this.received || this.received.metadata.notRun) return {};
    const {status} = this.received.head;
    return isSuccess(status) ? {} : {failedStatus: status};
  }

  /**
   * Settles the outcome once, and closes the connection unless the response is
   * complete.
   */
  private finish(outcome: ExchangeOutcome, complete = false): void {
    if (this.settled) return;
    this.settled = true;
    if (!complete) this.connection[Symbol.dispose]();
    this.content[Symbol.dispose]();
    this.resolveOutcome(outcome);
  }
}

function isEventStream({head, metadata}: ReceivedHead): boolean {
  return metadata.isEventStream && head.status === 200;
}

/** Whether the target has sent bytes that the parser refuses. */
function isInvalidResponse(err: unknown): boolean {
  return (
    err instanceof errors.HTTPParserError ||
    err instanceof errors.HeadersOverflowError
  );
}
