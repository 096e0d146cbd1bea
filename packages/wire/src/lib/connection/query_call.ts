/** A call with one answer that may be repeated over another connection. */
import {LinkLostError} from '@oathead/core';
import type {LinkCall} from './link_call.js';
import type {LinkChannel} from './link_channel.js';
import {refusalOf} from './peer_error.js';

/** What makes the call over a channel. */
export type Query<T> = (
  channel: LinkChannel,
  signal: AbortSignal,
) => Promise<T>;

/** A heartbeat, an order or a release in flight. */
export class QueryCall<T> implements LinkCall {
  readonly awaited = true;
  /** The answer. */
  readonly answer: Promise<T>;
  private resolve!: (answer: T) => void;
  private reject!: (err: Error) => void;
  private current: LinkChannel | undefined;
  private readonly onAbort = () => this.fail(new LinkLostError('given up'));

  /**
   * @param query - Makes the call; the target process must take a repetition
   *     for the same call.
   * @param signal - Gives the call up.
   */
  constructor(
    private readonly query: Query<T>,
    private readonly signal: AbortSignal,
  ) {
    this.answer = new Promise((resolve, reject) => {
      this.resolve = resolve;
      this.reject = reject;
    });
    signal.addEventListener('abort', this.onAbort, {once: true});
  }

  use(channel: LinkChannel): void {
    this.current = channel;
    this.query(channel, this.signal).then(this.resolve, (err: Error) =>
      this.onError(channel, err),
    );
  }

  fail(err: LinkLostError): void {
    this.reject(err);
  }

  /** Lets go of the signal, which may outlive many calls. */
  end(): void {
    this.signal.removeEventListener('abort', this.onAbort);
  }

  /** A broken connection is no end: the link moves the call or fails it. */
  private onError(channel: LinkChannel, err: Error): void {
    if (refusalOf(err)) this.reject(err);
    else if (channel !== this.current || !channel.isOpen) return;
    else this.reject(new LinkLostError(err.message));
  }
}
