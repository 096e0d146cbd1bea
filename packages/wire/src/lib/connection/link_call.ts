/** A call on a link that outlives the connection it was first made over. */
import type {LinkLostError} from '@oathead/core';
import type {LinkChannel} from './link_channel.js';

/** A call in flight. */
export interface LinkCall {
  /** Whether something must come for it: silence is suspicious then. */
  readonly awaited: boolean;
  /** Makes the call over a channel, for the first time or again. */
  use(channel: LinkChannel): void;
  /** Ends the call: the target can't be reached. */
  fail(err: LinkLostError): void;
}
