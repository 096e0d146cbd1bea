/**
 * UDP socket for small datagrams between hosts. A lost datagram is superseded
 * by the next one or handled by a timeout of the host that waits for it; a
 * datagram that arrives late is of no use.
 */
import {createSocket, type Socket} from 'node:dgram';
import {
  DisposableStore,
  type Clock,
  type Counters,
  type EventLog,
} from '@oathead/core';

/** Address at which a host listens. */
export interface HostAddress {
  readonly ip: string;
  readonly port: number;
}

/**
 * Handles datagrams of one message type.
 *
 * @returns Whether the datagram could be decoded.
 */
export type DatagramHandler = (datagram: Uint8Array) => boolean;

/** Dependencies of a {@link HostSocket}. */
export interface HostSocketContext {
  readonly self: HostAddress;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly counters: Counters;
}

/**
 * Offset of the message type. Every datagram is a msgpack array of fewer than
 * 16 fields, whose header takes one byte. The first field is a small integer
 * that identifies the message type and takes the second byte.
 */
const KIND_BYTE = 1;

/** Sends and receives datagrams until disposed. */
export class HostSocket implements Disposable {
  private readonly disposables = new DisposableStore();
  private readonly handlers = new Map<number, DatagramHandler>();
  private readonly socket: Socket = createSocket('udp4');
  private lastHeardAt: number;

  /** @param context - The own address, the log and the counters. */
  constructor(private readonly context: HostSocketContext) {
    this.lastHeardAt = context.clock.now();
  }

  /**
   * When another host was heard last, or this one started, on the monotonic
   * clock in milliseconds.
   */
  get heardAt(): number {
    return this.lastHeardAt;
  }

  /**
   * @param kind - Message type: the number in the first field of the datagram.
   * @param handler - Receives all datagrams of this type.
   */
  setHandler(kind: number, handler: DatagramHandler): void {
    this.handlers.set(kind, handler);
  }

  /** Binds the socket and starts to receive. */
  start(): void {
    const {self, clock, log, counters} = this.context;
    this.socket.on('message', datagram => {
      this.lastHeardAt = clock.now();
      const handler = this.handlers.get(datagram[KIND_BYTE] ?? 0);
      if (!handler?.(datagram)) counters.count('datagrams_unreadable');
    });
    this.socket.on('error', err =>
      log.event('host-socket-failed', {message: err.message}),
    );
    this.socket.bind(self.port, self.ip);
    this.disposables.defer(() => this.socket.close());
  }

  /**
   * @param datagram - The encoded message.
   * @param peers - Hosts that it is sent to.
   * @param messageType - Name of the message type, used as a label of the
   *     counters.
   */
  send(
    datagram: Uint8Array,
    peers: readonly HostAddress[],
    messageType: string,
  ): void {
    // Requests that end during shutdown still send messages. The socket is
    // already closed then, and the messages are dropped.
    if (this.disposables.disposed) return;
    const {counters} = this.context;
    for (const {ip, port} of peers) {
      this.socket.send(datagram, port, ip, err => {
        if (err) counters.count('datagrams_unsent', {what: messageType});
      });
    }
    counters.count('datagrams_sent', {what: messageType}, peers.length);
    counters.count(
      'datagram_bytes',
      {what: messageType},
      peers.length * datagram.length,
    );
  }

  /** Closes the socket. */
  [Symbol.dispose](): void {
    this.disposables[Symbol.dispose]();
  }
}
