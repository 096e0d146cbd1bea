/**
 * The connections of callers. Node counts a connection as idle once its answer
 * has ended, also while a part of it is unsent, and never before its first
 * request: a stop that closes what Node calls idle cuts answers off and leaves
 * unused connections open.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer} from 'node:net';
import type {Socket} from 'node:net';

/** Knows which connections are open, and which are in use. */
export class ApiConnections {
  /** All connections, also those whose TLS handshake has not ended. */
  private readonly open = new Set<Socket>();
  /** Requests on each connection that have no whole answer, if it had any. */
  private readonly unanswered = new Map<Socket, number>();
  private count = 0;

  /** @param server - A server that does not listen yet. */
  constructor(private readonly server: Server) {
    server.on('connection', (socket: Socket) => {
      this.open.add(socket);
      socket.once('close', () => this.open.delete(socket));
    });
    server.prependListener('request', (req, res) => this.begin(req, res));
  }

  /** Whether an answer has not been sent to its end. */
  get busy(): boolean {
    return this.count > 0;
  }

  /** Takes no new connections; the open ones stay. */
  stopListening(): void {
    // The server's own `close` would also close what Node calls idle.
    NetServer.prototype.close.call(this.server);
  }

  /** Closes kept connections on which nothing is under way. */
  closeIdle(): void {
    for (const [socket, unanswered] of [...this.unanswered]) {
      if (unanswered === 0 && socket.writableLength === 0) socket.destroy();
    }
  }

  /** Closes all connections. */
  closeAll(): void {
    for (const socket of [...this.open]) socket.destroy();
    this.server.close();
  }

  private begin({socket}: IncomingMessage, res: ServerResponse): void {
    const before = this.unanswered.get(socket);
    if (before === undefined) {
      socket.once('close', () => this.unanswered.delete(socket));
    }
    this.unanswered.set(socket, (before ?? 0) + 1);
    this.count++;
    // Comes when the last byte was handed to the system, or the connection is
    // closed.
    res.once('close', () => {
      this.count--;
      const left = this.unanswered.get(socket);
      if (left !== undefined) this.unanswered.set(socket, left - 1);
    });
  }
}
