/** A call with one answer that may be repeated over another connection. */
import {LinkLostError} from '@oathead/core';
import {TRPCClientError} from '@trpc/client';
import type {Channel} from './channel.js';
import type {LinkCall} from './link_call.js';

/** What makes the call over a channel. */
export type Query<T> = (channel: Channel, signal: AbortSignal) => Promise<T>;

/** A heartbeat, an order or a release in flight. */
export class QueryCall<T> implements LinkCall {
  /** The answer. */
  readonly answer: Promise<T>;
  private resolve!: (answer: T) => void;
  private reject!: (err: Error) => void;
  private current: Channel | undefined;

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
    const onAbort = () => this.fail(new LinkLostError('given up'));
    signal.addEventListener('abort', onAbort, {once: true});
  }

  use(channel: Channel): void {
    this.current = channel;
    this.query(channel, this.signal).then(this.resolve, (err: Error) =>
      this.onError(channel, err),
    );
  }

  fail(err: LinkLostError): void {
    this.reject(err);
  }

  /** An error without a shape came from no peer: the connection has broken. */
  private onError(channel: Channel, err: Error): void {
    const fromPeer = err instanceof TRPCClientError && err.shape;
    if (fromPeer) this.reject(err);
    else if (channel !== this.current || !channel.isOpen) return;
    else this.reject(new LinkLostError(err.message));
  }
}
