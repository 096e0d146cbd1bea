/** A call on a link that can outlive the connection on which it started. */
import type {LinkLostError} from '@oathead/core';
import type {LinkChannel} from './link_channel.js';

/** A call in flight. */
export interface LinkCall {
  /**
   * Whether the target has to send data for this call, so that silence on the
   * connection indicates a fault.
   */
  readonly expectsResponse: boolean;
  /**
   * Starts the call on a channel, or moves it there from an earlier channel.
   *
   * @param channel - The open channel to use from now on.
   */
  use(channel: LinkChannel): void;
  /**
   * Ends the call with an error.
   *
   * @param err - States why the target cannot be reached.
   */
  fail(err: LinkLostError): void;
}
