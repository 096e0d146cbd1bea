/** Carries placement requests and their replies between hosts. */
import {Placement, type PlacementContext} from '../process/placement.js';
import type {HostSocket} from './host_socket.js';
import type {HostPeer} from './load_exchange.js';
import {
  decodePlacement,
  encodePlacement,
  PLACEMENT_FORMAT,
} from './placement_message.js';

/**
 * @param socket - Sends and receives the datagrams.
 * @param context - The coordinators that receive the requests, and this host's
 *     local view of the loads.
 * @returns The placement of this host, which also replies to requests of other
 *     hosts.
 */
export function createPlacement(
  socket: HostSocket,
  context: Omit<PlacementContext<HostPeer>, 'send'>,
): Placement<HostPeer> {
  const placement = new Placement<HostPeer>({
    ...context,
    send: (message, to) =>
      socket.send(encodePlacement(message), [to], message.kind),
  });
  socket.setHandler(PLACEMENT_FORMAT, datagram => {
    const message = decodePlacement(datagram);
    if (message) placement.receive(message);
    return message !== undefined;
  });
  return placement;
}
