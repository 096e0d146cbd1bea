/** An open connection to a target process, as a link uses it. */
import type {TRPCClient} from '@trpc/client';
import type {Hello} from '../process/target_handler.js';
import type {TargetRouter} from '../process/target_router.js';
import type {ChannelOptions} from './channel.js';

/** An open connection whose other end has answered. */
export interface LinkChannel extends Disposable {
  readonly hello: Hello;
  /** Calls procedures of the target process. */
  readonly api: TRPCClient<TargetRouter>;
  /** When something came last, on the clock of this process. */
  readonly lastHeardAt: number;
  /** Whether calls can be made. */
  readonly isOpen: boolean;
  /** Asks the other end for a sign of life. */
  probe(): void;
}

/** What a channel tells its owner. */
export interface ChannelEvents {
  /** Something came. */
  heard(channel: LinkChannel): void;
  /** The connection has closed. */
  broken(channel: LinkChannel): void;
}

/**
 * Opens a channel; other than over a network in tests.
 *
 * @throws LinkLostError when the other end doesn't answer in time.
 */
export type ConnectChannel = (
  options: ChannelOptions,
  events: ChannelEvents,
) => Promise<LinkChannel>;
