/** A request in flight on a link. */
import {LinkLostError, isFinalEvent} from '@oathead/core';
import type {Clock, ServeEvent, ServeRequest} from '@oathead/core';
import {EventQueue} from './event_queue.js';
import type {LinkCall} from './link_call.js';
import type {LinkChannel} from './link_channel.js';
import {refusalOf} from './peer_error.js';
import type {StreamSinks} from './stream_call.js';

/**
 * Sends a request once and then only ever attaches to it.
 *
 * Guards against a lost and against a doubled request when its connection is
 * replaced: sent again, it would run twice at a target process that has
 * restarted or forgotten it; given up, an answer would be lost that the target
 * still makes. The position in the stream goes along, so that no token comes
 * twice and none is missing.
 */
export class ServeCall implements LinkCall {
  readonly awaited = true;
  private readonly queue = new EventQueue<ServeEvent>();
  private subscription: {unsubscribe(): void} | undefined;
  private current: LinkChannel | undefined;
  private sentTo: string | undefined;
  private sentAt = 0;
  private startedSeen = false;
  private tokensSeen = 0;
  private over = false;

  /**
   * @param req - The request.
   * @param clock - Tells how long ago it was sent.
   */
  constructor(
    private readonly req: ServeRequest,
    private readonly clock: Clock,
  ) {}

  /** @returns What the target tells, in order. @throws LinkLostError */
  events(): AsyncGenerator<ServeEvent, void, undefined> {
    return this.queue.read();
  }

  use(channel: LinkChannel): void {
    if (this.over) return;
    this.current = channel;
    const sinks = {
      onData: (event: ServeEvent) => this.onEvent(channel, event),
      onStopped: () => this.onStopped(channel),
      onError: (err: unknown) => this.onError(channel, err as Error),
    };
    this.subscription =
      this.sentTo === undefined
        ? this.send(channel, sinks)
        : this.attach(channel, this.sentTo, sinks);
  }

  fail(err: LinkLostError): void {
    this.over = true;
    this.queue.end(err);
  }

  /** Whether the request may have reached the target. */
  get wasSent(): boolean {
    return this.sentTo !== undefined;
  }

  /** Cancels the request at the target, if it has not ended. */
  cancel(): void {
    if (!this.over && this.current?.isOpen) this.subscription?.unsubscribe();
    this.over = true;
    this.queue.end();
  }

  private send(
    channel: LinkChannel,
    sinks: StreamSinks<ServeEvent>,
  ): {unsubscribe(): void} {
    this.sentTo = channel.hello.bootId;
    this.sentAt = this.clock.now();
    return channel.api.serve.subscribe(this.req, sinks);
  }

  private attach(
    channel: LinkChannel,
    bootId: string,
    sinks: StreamSinks<ServeEvent>,
  ): {unsubscribe(): void} {
    const attachment = {
      id: this.req.id,
      attempt: this.req.attempt,
      bootId,
      sentAgoMs: this.clock.now() - this.sentAt,
      startedSeen: this.startedSeen,
      tokensSeen: this.tokensSeen,
    };
    return channel.api.attach.subscribe(attachment, sinks);
  }

  private onEvent(channel: LinkChannel, event: ServeEvent): void {
    // A replaced connection that speaks again must not add to the stream.
    if (this.over || channel !== this.current) return;
    if (event.kind === 'started') this.startedSeen = true;
    if (event.kind === 'tokens') this.tokensSeen = event.index + event.count;
    this.queue.push(event);
    if (!isFinalEvent(event)) return;
    this.over = true;
    this.queue.end();
  }

  /**
   * Guards against a cut stream that looks like a finished one: the target
   * ended it, but without telling how the request ended.
   */
  private onStopped(channel: LinkChannel): void {
    if (this.over || channel !== this.current) return;
    this.fail(new LinkLostError('the stream ended without an outcome'));
  }

  private onError(channel: LinkChannel, err: Error): void {
    if (this.over || channel !== this.current) return;
    const refusal = refusalOf(err);
    // Otherwise the connection broke: the link moves the call or fails it.
    if (refusal) this.onEvent(channel, {kind: 'refused', refusal});
  }
}
