/** A request in flight on a link, with its stream of events. */
import {LinkLostError, isFinalEvent} from '@oathead/core';
import type {Clock, ServeEvent, ServeRequest} from '@oathead/core';
import {EventQueue} from './event_queue.js';
import type {LinkCall} from './link_call.js';
import type {LinkChannel} from './link_channel.js';
import {refusalOf} from './peer_error.js';
import type {StreamSinks} from './stream_call.js';

/**
 * Sends a request once and reattaches to it on later connections.
 *
 * When its connection is replaced, a request must be neither repeated nor
 * dropped. Resending it would run it twice at a target process that has
 * restarted or no longer remembers it; dropping it would lose an answer that
 * the target is still producing. Each attachment states the position in the
 * stream, so that no token is duplicated or missing.
 */
export class ServeCall implements LinkCall {
  readonly expectsResponse = true;
  private readonly queue = new EventQueue<ServeEvent>();
  private subscription: {unsubscribe(): void} | undefined;
  private current: LinkChannel | undefined;
  /** Boot id of the target process that the request was sent to. */
  private sentToBootId: string | undefined;
  private sentAt = 0;
  private startedSeen = false;
  private tokensSeen = 0;
  private over = false;

  /**
   * @param req - The request.
   * @param clock - Measures the time since the request was sent.
   */
  constructor(
    private readonly req: ServeRequest,
    private readonly clock: Clock,
  ) {}

  /**
   * @returns The events sent by the target, in order.
   * @throws LinkLostError if the target cannot be reached, or if the stream
   *     ends without a final event.
   */
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
      this.sentToBootId === undefined
        ? this.send(channel, sinks)
        : this.attach(channel, this.sentToBootId, sinks);
  }

  fail(err: LinkLostError): void {
    this.over = true;
    this.queue.end(err);
  }

  /** Whether the request may have reached the target. */
  get wasSent(): boolean {
    return this.sentToBootId !== undefined;
  }

  /**
   * Ends the events, and cancels the request at the target if it still runs.
   */
  cancel(): void {
    if (!this.over && this.current?.isOpen) this.subscription?.unsubscribe();
    this.over = true;
    this.queue.end();
  }

  private send(
    channel: LinkChannel,
    sinks: StreamSinks<ServeEvent>,
  ): {unsubscribe(): void} {
    this.sentToBootId = channel.hello.bootId;
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
    // Late data on a replaced connection must not be added to the stream.
    if (this.over || channel !== this.current) return;
    if (event.kind === 'started') this.startedSeen = true;
    if (event.kind === 'tokens') this.tokensSeen = event.index + event.count;
    this.queue.push(event);
    if (!isFinalEvent(event)) return;
    this.over = true;
    this.queue.end();
  }

  /**
   * Fails a request whose stream the target ended without a final event.
   * Otherwise a truncated stream would look like a complete one.
   */
  private onStopped(channel: LinkChannel): void {
    if (this.over || channel !== this.current) return;
    this.fail(new LinkLostError('the stream ended without an outcome'));
  }

  private onError(channel: LinkChannel, err: Error): void {
    if (this.over || channel !== this.current) return;
    const refusal = refusalOf(err);
    // Without a refusal the connection broke: the link moves or fails the call.
    if (refusal) this.onEvent(channel, {kind: 'refused', refusal});
  }
}
