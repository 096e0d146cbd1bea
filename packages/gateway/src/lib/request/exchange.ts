/**
 * One request on one connection to a target, and its outcome. Only a complete
 * response of the target to this request is passed on. The exchange rejects
 * responses to other requests, successes without a seal, bodies in an encoding
 * that was not requested, and responses that were truncated or reset.
 */
import type {IncomingHttpHeaders} from 'node:http';
import {errors, type Dispatcher} from 'undici';
import type {TargetConnection} from '../connection/target_connection.js';
import {unattributedReason, type UnattributedReason} from './attribution.js';
import {EventSplitter, type StreamEvent} from './stream_events.js';
import type {
  ResponseMetadata,
  Headers,
  TargetProtocol,
} from './target_protocol.js';

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

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

/** Why a failure may be less, or another one, than the target stated. */
export type FailureDoubt =
  /** Its connection ended before its end. */
  | 'incomplete'
  /** It ended with its connection, so that its end may be missing. */
  | 'no-length'
  /** It does not name the request. */
  | 'no-id'
  /** The target does not vouch for it. */
  | 'no-seal'
  /** Its body has a content encoding that was not requested. */
  | 'unasked-coding';

/** A response with its complete body. */
export interface CompleteResponse {
  readonly head: ResponseHead;
  readonly body: Buffer;
  /** Set if the target may not have stated this failure. */
  readonly doubt?: FailureDoubt;
}

/** Why the gateway aborted a request. */
export type AbortReason =
  | 'caller-left'
  | 'timeout'
  | 'yield'
  | 'stop'
  /** The target sent nothing for longer than the silence timeout. */
  | 'silent'
  /** The target server was restarted and has lost the request. */
  | 'restarted'
  /** The caller has left too much of its stream unread. */
  | 'caller-slow';

/** Outcome of a request at a target. */
export type ExchangeOutcome =
  /** The target sent a complete response. */
  | ({readonly kind: 'answered'} & CompleteResponse)
  /** A stream was received to its end; the sink received its events. */
  | {readonly kind: 'streamed'; readonly head: ResponseHead}
  /** The target reported that it did not run the request. */
  | {readonly kind: 'declined'; readonly status: number}
  /** No connection could be established, so the request cannot have run. */
  | {readonly kind: 'unsent'; readonly reason: string}
  /** The response was invalid or incomplete; the request may have run. */
  | {
      readonly kind: 'broken';
      readonly reason: string;
      /** Whether the target sent invalid data, which shows that it is alive. */
      readonly sentInvalidData: boolean;
      /** Set if the response may belong to another request. */
      readonly unattributed?: UnattributedReason;
      /** Status of a failure that is incomplete. */
      readonly failedStatus?: number;
    }
  /** The gateway aborted the request; it may have run. */
  | {
      readonly kind: 'ended';
      readonly by: AbortReason;
      /** Status of a failure that is incomplete. */
      readonly failedStatus?: number;
    };

/**
 * Maximum size of a buffered response body, in bytes: twice the default limit
 * for request bodies.
 */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/** What the log says of a response that can't be attributed. */
const UNATTRIBUTED_TEXT: Readonly<Record<UnattributedReason, string>> = {
  'other-id': 'answer to another request',
  'no-id': 'answer without a request id',
};

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
   * @returns Milliseconds since the target last sent data, or since the whole
   *     request was sent.
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
}

/** A request in flight at a target. */
export class Exchange implements ExchangeControl, Dispatcher.DispatchHandler {
  private readonly splitter = new EventSplitter();
  private readonly chunks: Buffer[] = [];
  private bytes = 0;
  private head: ResponseHead | undefined;
  private metadata: ResponseMetadata | undefined;
  private nextEventId: number | undefined;
  private isFirstRequest = false;
  private settled = false;
  private readonly startedAt: number;
  private lastActivityAt: number;
  private headAfterMs: number | undefined;
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
    this.lastActivityAt = this.startedAt;
    this.nextEventId = req.firstEventId;
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
    this.connection.onDrained = () => this.recordActivity();
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
    return now - this.lastActivityAt;
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
    this.recordActivity();
    this.headAfterMs = this.lastActivityAt - this.startedAt;
    this.head = {status, headers};
    this.metadata = this.context.protocol.readResponse(status, headers);
    const unattributed = unattributedReason({
      responseId: this.metadata.requestId,
      requestId: this.req.requestId,
      isFirstRequest: this.isFirstRequest,
      success: isSuccess(status) && !this.metadata.notRun,
    });
    if (unattributed) this.failUnattributed(unattributed);
    else this.checkSuccess(this.metadata, status);
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
    this.recordActivity();
    if (this.isEventStream()) this.forwardEvents(chunk);
    else this.bufferChunk(chunk);
  }

  /** Called by undici at the end of the response. */
  onResponseEnd(): void {
    if (this.settled) return;
    const {wasBrokenOff} = this.connection;
    // The headers alone state a refusal. A target that refuses a request before
    // it has read all of it resets the connection.
    if (this.metadata!.notRun) {
      this.finish({kind: 'declined', status: this.head!.status}, !wasBrokenOff);
      return;
    }
    if (wasBrokenOff) {
      this.failDisconnected('reset during the answer');
      return;
    }
    if (!this.isEventStream()) {
      const body = Buffer.concat(this.chunks);
      const head = this.head!;
      const doubt = failureDoubt(head, this.metadata!);
      this.finish({kind: 'answered', head, body, doubt}, true);
      return;
    }
    if (this.splitter.hasPartialEvent)
      this.failDisconnected('ended inside an event');
    else this.finish({kind: 'streamed', head: this.head!}, true);
  }

  /** Called by undici when the response cannot be completed. */
  onResponseError(
    ...[, err]: Parameters<
      NonNullable<Dispatcher.DispatchHandler['onResponseError']>
    >
  ): void {
    const reason = reasonOf(err);
    if (!this.connection.wasConnected) this.finish({kind: 'unsent', reason});
    else if (err instanceof errors.HTTPParserError) this.failInvalid(reason);
    else this.failDisconnected(reason);
  }

  private recordActivity(): void {
    if (this.settled) return;
    this.lastActivityAt = this.context.now();
    this.context.onActivity();
  }

  private isEventStream(): boolean {
    return this.metadata!.isEventStream && this.head!.status === 200;
  }

  /** Rejects a success whose body the target does not vouch for. */
  private checkSuccess(metadata: ResponseMetadata, status: number): void {
    if (metadata.notRun || !isSuccess(status)) return;
    if (!metadata.sealed) this.failInvalid('success without a seal');
    else if (metadata.hasUnexpectedEncoding)
      this.failInvalid('body in an unasked coding');
  }

  private forwardEvents(chunk: Buffer): void {
    const events = this.splitter.push(chunk);
    if (events.length === 0) return;
    const error = this.eventOrderError(events);
    if (error) {
      this.failInvalid(error);
      return;
    }
    if (!this.context.sink.events(events, this.head!)) this.end('caller-slow');
  }

  /** Rejects a stream whose events are not numbered consecutively. */
  private eventOrderError(events: readonly StreamEvent[]): string | undefined {
    for (const {id} of events) {
      if (id === undefined) continue;
      const expected = this.nextEventId ?? id;
      if (id !== expected) return `event ${id} in place of ${expected}`;
      this.nextEventId = id + 1;
    }
    return undefined;
  }

  private bufferChunk(chunk: Buffer): void {
    this.bytes += chunk.length;
    if (this.bytes > MAX_RESPONSE_BYTES) this.failInvalid('answer too large');
    else this.chunks.push(chunk);
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
    if (!this.head || this.metadata!.notRun) return {};
    const {status} = this.head;
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
    this.resolveOutcome(outcome);
  }
}

/**
 * Tells a lost connection or a restarted server, which a crash can cause, from
 * an invalid response of a live target. Without the distinction, a request
 * could be blocked for a minute as the cause of a crash although its target is
 * alive.
 *
 * @param outcome - Outcome of a request of whose response nothing was received.
 * @returns Whether the request may have crashed the target.
 */
export function mayHaveCrashed(outcome: ExchangeOutcome): boolean {
  if (outcome.kind === 'broken') return !outcome.sentInvalidData;
  return outcome.kind === 'ended' && outcome.by === 'restarted';
}

function failureDoubt(
  {status, headers}: ResponseHead,
  metadata: ResponseMetadata,
): FailureDoubt | undefined {
  if (isSuccess(status)) return undefined;
  if (metadata.requestId === undefined) return 'no-id';
  if (!metadata.sealed) return 'no-seal';
  if (metadata.hasUnexpectedEncoding) return 'unasked-coding';
  const hasLength =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  return hasLength ? undefined : 'no-length';
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

function reasonOf(err: unknown): string {
  if (err instanceof errors.UndiciError) return err.code;
  if (err instanceof Error && 'code' in err) return String(err.code);
  return String(err);
}
