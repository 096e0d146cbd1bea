/** A call with a single response that may be repeated on another connection. */
import {LinkLostError} from '@oathead/core';
import type {LinkCall} from './link_call.js';
import type {LinkChannel} from './link_channel.js';
import {refusalOf} from './peer_error.js';

/**
 * Makes the call over a channel.
 *
 * @param channel - The channel to use.
 * @param signal - Aborts the call.
 * @returns The response.
 */
export type Query<T> = (
  channel: LinkChannel,
  signal: AbortSignal,
) => Promise<T>;

/** An idempotent call in flight, such as a heartbeat, an order or a release. */
export class QueryCall<T> implements LinkCall {
  readonly expectsResponse = true;
  /** The response; rejects if the call is refused, aborted or lost. */
  readonly answer: Promise<T>;
  private resolve!: (answer: T) => void;
  private reject!: (err: Error) => void;
  private current: LinkChannel | undefined;
  private readonly onAbort = () =>
    this.fail(new LinkLostError('the call was aborted'));

  /**
   * @param query - Makes the call. It must be idempotent, because it is
   *     repeated when the connection is replaced.
   * @param signal - Aborts the call.
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

  /** Removes the listener on the signal, which may outlive many calls. */
  removeAbortListener(): void {
    this.signal.removeEventListener('abort', this.onAbort);
  }

  /**
   * Rejects the call, except when its connection broke or was replaced: then
   * the link restarts the call on another connection or fails it.
   */
  private onError(channel: LinkChannel, err: Error): void {
    if (refusalOf(err)) this.reject(err);
    else if (channel !== this.current || !channel.isOpen) return;
    else this.reject(new LinkLostError(err.message));
  }
}
