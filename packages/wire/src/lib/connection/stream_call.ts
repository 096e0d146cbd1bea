/** A subscription on a link that begins anew on each connection. */
import type {LinkLostError} from '@oathead/core';
import {EventQueue} from './event_queue.js';
import type {LinkCall} from './link_call.js';
import type {LinkChannel} from './link_channel.js';
import {refusalOf} from './peer_error.js';

/** What a subscription tells. */
export interface StreamSinks<T> {
  readonly onData: (event: T) => void;
  readonly onStopped: () => void;
  readonly onError: (err: unknown) => void;
}

/** Subscribes over a channel. */
export type Subscribe<T> = (
  channel: LinkChannel,
  sinks: StreamSinks<T>,
) => {unsubscribe(): void};

/** Load reports or held answers in flight. */
export class StreamCall<T> implements LinkCall {
  private readonly queue = new EventQueue<T>();
  private subscription: {unsubscribe(): void} | undefined;
  private current: LinkChannel | undefined;

  /**
   * @param subscribe - Begins the stream over a channel.
   * @param awaited - Whether something must come soon.
   */
  constructor(
    private readonly subscribe: Subscribe<T>,
    readonly awaited: boolean,
  ) {}

  /** @returns What comes, in order. @throws LinkLostError */
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

  cancel(): void {
    if (this.current?.isOpen) this.subscription?.unsubscribe();
    this.queue.end();
  }

  /** A broken connection is no end: the link moves the call or fails it. */
  private onError(err: Error): void {
    if (refusalOf(err)) this.queue.end(err);
  }
}
