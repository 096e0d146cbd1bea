/** Carries what hosts tell and ask each other of the versions of streams. */
import {
  StreamVersions,
  type StreamVersionsContext,
} from '../process/stream_versions.js';
import type {HostSocket} from './host_socket.js';
import type {HostPeer} from './load_exchange.js';
import {
  decodeStreamVersion,
  encodeStreamVersion,
  STREAM_VERSION_FORMAT,
} from './stream_version_message.js';

/**
 * @param socket - Sends and receives the datagrams.
 * @param context - The targets and the other hosts.
 * @returns The streams of this host, which also answers other hosts.
 */
export function createStreamVersions(
  socket: HostSocket,
  context: Omit<StreamVersionsContext<HostPeer>, 'send'>,
): StreamVersions<HostPeer> {
  const versions = new StreamVersions<HostPeer>({
    ...context,
    send: (message, to) =>
      socket.send(encodeStreamVersion(message), to, `stream-${message.kind}`),
  });
  socket.setHandler(STREAM_VERSION_FORMAT, datagram => {
    const message = decodeStreamVersion(datagram);
    if (message) versions.receive(message);
    return message !== undefined;
  });
  return versions;
}
