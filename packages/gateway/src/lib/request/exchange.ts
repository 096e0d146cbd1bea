/**
 * One request on one connection to a target, and what came of it. Answers that
 * are not the target's whole answer to this very request never get out: those
 * of another request, without seal, in an unasked coding, cut or reset.
 */
import type {IncomingHttpHeaders} from 'node:http';
import {errors, type Dispatcher} from 'undici';
import type {TargetConnection} from '../connection/target_connection.js';
import {EventSplitter, type StreamEvent} from './stream_events.js';
import type {AnswerFacts, Headers, TargetProtocol} from './target_protocol.js';

/** What is sent to a target. */
export interface TargetRequest {
  readonly requestId: string | undefined;
  readonly method: string;
  /** Path and query, as the caller sent them. */
  readonly path: string;
  readonly headers: Headers;
  readonly body: Buffer;
  /** The number of the first event of a stream; undefined: unknown. */
  readonly firstEventId: number | undefined;
}

/** Takes the events of a stream as they come. */
export interface EventSink {
  /**
   * @param events - The next events, whole and in order.
   * @param head - The head of the answer they belong to.
   * @returns Whether more are wanted now; if not, `resume` is called later.
   */
  events(events: readonly StreamEvent[], head: AnswerHead): boolean;
  /** @param resume - To be called when more events are wanted. */
  paused(resume: () => void): void;
}

/** Status and headers of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

/** All of an answer. */
export interface WholeAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** Why a request was ended from this side. */
export type EndedBy =
  | 'caller-left'
  | 'timeout'
  | 'yield'
  | 'stop'
  /** Nothing came from the target for too long. */
  | 'silent'
  /** The target's server runs anew and knows nothing of the request. */
  | 'restarted';

/** What came of a request at a target. */
export type ExchangeEnd =
  /** The target's whole answer. */
  | ({readonly kind: 'answered'} & WholeAnswer)
  /** A stream, to its end; its events went to the sink. */
  | {readonly kind: 'streamed'; readonly head: AnswerHead}
  /** The target says that it did not run the request. */
  | {readonly kind: 'declined'; readonly status: number}
  /** No connection could be made: it can't have run. */
  | {readonly kind: 'unsent'; readonly reason: string}
  /** It may have run. */
  | {
      readonly kind: 'broken';
      readonly reason: string;
      /** Whether the target sent what is not its answer: it lives. */
      readonly targetSpoke: boolean;
    }
  /** It was ended from this side and may have run. */
  | {readonly kind: 'ended'; readonly by: EndedBy};

/** Answers larger than this are no answers of ours, in bytes: twice the largest
 * body that callers may send by default. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** Ends a request from this side. */
export interface ExchangeControl {
  /** @param by - Why; the target sees its connection closed. */
  end(by: EndedBy): void;
  /** Milliseconds since the last byte came, or since it was sent. */
  silentMs(now: number): number;
}

/** What an exchange needs beside its request. */
export interface ExchangeContext {
  /** Reads the answer's head. */
  readonly protocol: TargetProtocol;
  /** Takes the events of a stream. */
  readonly sink: EventSink;
  /** A steady clock, in milliseconds. */
  readonly now: () => number;
  /** Called whenever something comes from the target. */
  readonly onHeard: () => void;
}

/** A request that is under way at a target. */
export class Exchange implements ExchangeControl, Dispatcher.DispatchHandler {
  private readonly splitter = new EventSplitter();
  private readonly chunks: Buffer[] = [];
  private bytes = 0;
  private head: AnswerHead | undefined;
  private facts: AnswerFacts | undefined;
  private nextEventId: number | undefined;
  private settled = false;
  private readonly startedAt: number;
  private heardAt: number;
  private firstByte: number | undefined;
  private settle!: (end: ExchangeEnd) => void;

  /** What came of it; never rejects. */
  readonly end$: Promise<ExchangeEnd>;

  /**
   * @param connection - A connection with no request on it.
   * @param req - What is sent.
   * @param context - Who reads the answer, and the time.
   */
  constructor(
    private readonly connection: TargetConnection,
    private readonly req: TargetRequest,
    private readonly context: ExchangeContext,
  ) {
    this.startedAt = context.now();
    this.heardAt = this.startedAt;
    this.nextEventId = req.firstEventId;
    this.end$ = new Promise(resolve => {
      this.settle = resolve;
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
      // undici would otherwise hold back what follows a request that it takes
      // for one with side effects.
      idempotent: true,
      blocking: false,
    };
    try {
      this.connection.client.dispatch(options, this);
    } catch (err) {
      this.finish({kind: 'unsent', reason: reasonOf(err)});
    }
  }

  /** {@inheritDoc ExchangeControl.end} */
  end(by: EndedBy): void {
    this.finish({kind: 'ended', by});
  }

  /** {@inheritDoc ExchangeControl.silentMs} */
  silentMs(now: number): number {
    return now - this.heardAt;
  }

  /** Until the head of the answer came, in milliseconds; undefined: not yet. */
  get firstByteMs(): number | undefined {
    return this.firstByte;
  }

  /** Whether all of the answer came and the connection can be used again. */
  get leavesConnectionUsable(): boolean {
    return this.settled && this.connection.usable;
  }

  /** Called by undici when the request is taken up. */
  onRequestStart(): void {}

  /** Called by undici with the head of the answer. */
  onResponseStart(
    ...[, status, headers]: Parameters<
      NonNullable<Dispatcher.DispatchHandler['onResponseStart']>
    >
  ): void {
    if (this.settled || status < 200) return;
    this.heardAt = this.context.now();
    this.firstByte = this.heardAt - this.startedAt;
    this.context.onHeard();
    this.head = {status, headers};
    this.facts = this.context.protocol.readAnswer(status, headers);
    const flaw = this.flawOfHead(this.facts, status);
    if (flaw) this.spoilt(flaw);
  }

  /** Called by undici with bytes of the body. */
  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.settled) return;
    this.heardAt = this.context.now();
    this.context.onHeard();
    if (this.streams()) this.pass(controller, chunk);
    else this.collect(chunk);
  }

  /** Called by undici at the end of the answer. */
  onResponseEnd(): void {
    if (this.settled) return;
    if (this.connection.wasReset) {
      this.lost('reset during the answer');
      return;
    }
    if (this.facts!.notRun) {
      this.finish({kind: 'declined', status: this.head!.status}, true);
      return;
    }
    if (!this.streams()) {
      const body = Buffer.concat(this.chunks);
      this.finish({kind: 'answered', head: this.head!, body}, true);
      return;
    }
    if (this.splitter.hasPartialEvent) this.lost('ended inside an event');
    else this.finish({kind: 'streamed', head: this.head!}, true);
  }

  /** Called by undici when there will be no whole answer. */
  onResponseError(
    ...[, err]: Parameters<
      NonNullable<Dispatcher.DispatchHandler['onResponseError']>
    >
  ): void {
    const reason = reasonOf(err);
    if (!this.connection.connected) this.finish({kind: 'unsent', reason});
    else if (err instanceof errors.HTTPParserError) this.spoilt(reason);
    else this.lost(reason);
  }

  private streams(): boolean {
    return this.facts!.eventStream && this.head!.status === 200;
  }

  private flawOfHead(facts: AnswerFacts, status: number): string | undefined {
    if (facts.notRun) return undefined;
    const {requestId} = this.req;
    if (facts.requestId !== undefined && facts.requestId !== requestId)
      return 'answer to another request';
    const success = status >= 200 && status < 300;
    if (!success) return undefined;
    if (facts.requestId === undefined) return 'answer without a request id';
    if (!facts.sealed) return 'success without a seal';
    if (facts.encoded) return 'body in an unasked coding';
    return undefined;
  }

  private pass(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    const events = this.splitter.push(chunk);
    if (events.length === 0) return;
    const flaw = this.flawOfOrder(events);
    if (flaw) {
      this.spoilt(flaw);
      return;
    }
    if (this.context.sink.events(events, this.head!)) return;
    controller.pause();
    this.context.sink.paused(() => controller.resume());
  }

  /** A stream whose events are not numbered one after another is spoilt. */
  private flawOfOrder(events: readonly StreamEvent[]): string | undefined {
    for (const {id} of events) {
      if (id === undefined) continue;
      const expected = this.nextEventId ?? id;
      if (id !== expected) return `event ${id} in place of ${expected}`;
      this.nextEventId = id + 1;
    }
    return undefined;
  }

  private collect(chunk: Buffer): void {
    this.bytes += chunk.length;
    if (this.bytes > MAX_ANSWER_BYTES) this.spoilt('answer too large');
    else this.chunks.push(chunk);
  }

  /** What the target sent is not its whole answer to this request. */
  private spoilt(reason: string): void {
    this.finish({kind: 'broken', reason, targetSpoke: true});
  }

  /** The connection ended before the answer did. */
  private lost(reason: string): void {
    this.finish({kind: 'broken', reason, targetSpoke: false});
  }

  /** The connection is closed unless the answer was whole. */
  private finish(end: ExchangeEnd, whole = false): void {
    if (this.settled) return;
    this.settled = true;
    if (!whole) this.connection[Symbol.dispose]();
    this.settle(end);
  }
}

/**
 * Guards against a request that is taken for one that crashes targets, and held for
 * a minute, for answers that live targets spoilt: only a connection that was lost,
 * or a server that runs anew, can come from a crash.
 *
 * @param end - What came of a request that got nothing of its answer.
 * @returns Whether the request may have crashed its target.
 */
export function mayHaveCrashed(end: ExchangeEnd): boolean {
  if (end.kind === 'broken') return !end.targetSpoke;
  return end.kind === 'ended' && end.by === 'restarted';
}

function reasonOf(err: unknown): string {
  if (err instanceof errors.UndiciError) return err.code;
  if (err instanceof Error && 'code' in err) return String(err.code);
  return String(err);
}
