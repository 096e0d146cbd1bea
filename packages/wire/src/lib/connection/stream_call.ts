/** A subscription on a link that restarts on each new connection. */
import type {LinkLostError} from '@oathead/core';
import {EventQueue} from './event_queue.js';
import type {LinkCall} from './link_call.js';
import type {LinkChannel} from './link_channel.js';
import {refusalOf} from './peer_error.js';

/** Callbacks of a subscription. */
export interface StreamSinks<T> {
  readonly onData: (event: T) => void;
  readonly onStopped: () => void;
  readonly onError: (err: unknown) => void;
}

/**
 * Subscribes over a channel.
 *
 * @param channel - The channel to use.
 * @param sinks - Receives what the subscription delivers.
 * @returns The subscription.
 */
export type Subscribe<T> = (
  channel: LinkChannel,
  sinks: StreamSinks<T>,
) => {unsubscribe(): void};

/** A stream of load reports or held answers. */
export class StreamCall<T> implements LinkCall {
  private readonly queue = new EventQueue<T>();
  private subscription: {unsubscribe(): void} | undefined;
  private current: LinkChannel | undefined;

  /**
   * @param subscribe - Starts the stream on a channel.
   * @param expectsResponse - Whether the target has to send data soon, so that
   *     silence on the connection indicates a fault.
   */
  constructor(
    private readonly subscribe: Subscribe<T>,
    readonly expectsResponse: boolean,
  ) {}

  /**
   * @returns The events in the order received.
   * @throws LinkLostError if the target cannot be reached.
   */
  events(): AsyncGenerator<T, void, undefined> {
    return this.queue.read();
  }

  use(channel: LinkChannel): void {
    this.current = channel;
    const isCurrent = () => channel === this.current;
    this.subscription = this.subscribe(channel, {
      onData: event => void (isCurrent() && this.queue.push(event)),
      onStopped: () => void (isCurrent() && this.queue.end()),
      onError: err => void (isCurrent() && this.onError(err as Error)),
    });
  }

  fail(err: LinkLostError): void {
    this.queue.end(err);
  }

  /** Ends the events and cancels the subscription at the target. */
  cancel(): void {
    if (this.current?.isOpen) this.subscription?.unsubscribe();
    this.queue.end();
  }

  /**
   * Ends the stream on a refusal only. After a broken connection the link
   * restarts the call on another connection or fails it.
   */
  private onError(err: Error): void {
    if (refusalOf(err)) this.queue.end(err);
  }
}
