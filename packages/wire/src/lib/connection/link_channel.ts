/** The interface through which a link uses a connection to a target process. */
import type {TRPCClient} from '@trpc/client';
import type {Hello} from '../process/target_handler.js';
import type {TargetRouter} from '../process/target_router.js';
import type {ChannelOptions} from './channel.js';

/** An open connection on which the target process has responded. */
export interface LinkChannel extends Disposable {
  /** Identity of the target process, sent when the channel was opened. */
  readonly hello: Hello;
  /** Client for the procedures of the target process. */
  readonly api: TRPCClient<TargetRouter>;
  /** Time at which data was last received, on the clock of this process. */
  readonly lastReceivedAt: number;
  /** Whether calls can be made on this channel. */
  readonly isOpen: boolean;
  /** Sends a ping, to which a responsive target process replies. */
  probe(): void;
}

/** Callbacks through which a channel notifies its owner. */
export interface ChannelEvents {
  /** Data was received on the channel. */
  heard(channel: LinkChannel): void;
  /** The connection was closed by the other side or by the network. */
  broken(channel: LinkChannel): void;
}

/**
 * Opens a channel. Tests inject an implementation that uses no network.
 *
 * @param options - The address and the connection settings.
 * @param events - Receives the events of the channel.
 * @returns The open channel.
 * @throws LinkLostError if the connection fails, or if the target process does
 *     not respond within `connectTimeoutMs`.
 */
export type OpenChannel = (
  options: ChannelOptions,
  events: ChannelEvents,
) => Promise<LinkChannel>;
