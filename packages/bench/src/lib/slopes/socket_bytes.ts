/** Bytes on the sockets of this process, by the port that is listened on. */
import {subscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';

/** Bytes over the connections of one port, as this process sees them. */
export interface PortBytes {
  readonly in: number;
  readonly out: number;
}

/** Bytes by port. */
export type SocketBytes = Readonly<Record<string, PortBytes>>;

/** Counts the bytes of all TCP connections of this process. */
export class SocketMeter {
  private readonly open = new Map<Socket, string>();
  private readonly closed = new Map<string, PortBytes>();

  constructor() {
    subscribe('net.client.socket', message => {
      const {socket} = message as {readonly socket: Socket};
      socket.once('connect', () => this.add(socket, String(socket.remotePort)));
    });
    subscribe('net.server.socket', message => {
      const {socket} = message as {readonly socket: Socket};
      this.add(socket, String(socket.localPort));
    });
  }

  /** @returns Bytes so far. */
  read(): SocketBytes {
    const sums = new Map(this.closed);
    for (const [socket, port] of this.open) addTo(sums, port, bytesOf(socket));
    return Object.fromEntries(sums);
  }

  private add(socket: Socket, port: string): void {
    this.open.set(socket, port);
    socket.once('close', () => {
      this.open.delete(socket);
      addTo(this.closed, port, bytesOf(socket));
    });
  }
}

function bytesOf(socket: Socket): PortBytes {
  return {in: socket.bytesRead, out: socket.bytesWritten};
}

function addTo(
  sums: Map<string, PortBytes>,
  port: string,
  bytes: PortBytes,
): void {
  const before = sums.get(port) ?? {in: 0, out: 0};
  sums.set(port, {in: before.in + bytes.in, out: before.out + bytes.out});
}
