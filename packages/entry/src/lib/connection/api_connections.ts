/**
 * The connections of callers. Node counts a connection as idle once its answer
 * has ended, also while a part of it is unsent, and never before its first
 * request: a stop that closes what Node calls idle cuts answers off and leaves
 * unused connections open.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer} from 'node:net';
import type {Socket} from 'node:net';
import {Server as TlsServer} from 'node:tls';

/** What one connection is used for. */
interface Use {
  /** Requests whose answers have not been sent to their end. */
  unanswered: number;
  /** Bytes that had been read when the last answer was sent. */
  readBefore: number;
}

/** Knows which connections are open, and which are in use. */
export class ApiConnections {
  /** All connections, also those whose TLS handshake has not ended. */
  private readonly open = new Set<Socket>();
  /** Connections that can carry requests. */
  private readonly uses = new Map<Socket, Use>();
  /** Requests on all connections, as {@link Use.unanswered}. */
  private unanswered = 0;

  /** @param server - A server that does not listen yet. */
  constructor(private readonly server: Server) {
    server.on('connection', (socket: Socket) => {
      this.open.add(socket);
      socket.once('close', () => this.open.delete(socket));
    });
    const isTls = (server as NetServer) instanceof TlsServer;
    server.on(isTls ? 'secureConnection' : 'connection', (socket: Socket) => {
      this.uses.set(socket, {unanswered: 0, readBefore: socket.bytesRead});
      socket.once('close', () => this.uses.delete(socket));
    });
    server.prependListener('request', (req, res) => this.begin(req, res));
  }

  /** Whether a request is on its way, or an answer not sent to its end. */
  get busy(): boolean {
    return this.unanswered > 0 || [...this.uses].some(isInUse);
  }

  /** Takes no new connections; the open ones stay. */
  stopListening(): void {
    // The server's own `close` would also close what Node calls idle.
    NetServer.prototype.close.call(this.server);
  }

  /** Closes kept connections on which nothing is under way. */
  closeIdle(): void {
    for (const [socket, use] of [...this.uses]) {
      const kept = use.readBefore > 0;
      if (kept && !isInUse([socket, use])) socket.destroy();
    }
  }

  /** Closes all connections. */
  closeAll(): void {
    for (const socket of [...this.open]) socket.destroy();
    this.server.close();
  }

  private begin({socket}: IncomingMessage, res: ServerResponse): void {
    const use = this.uses.get(socket);
    this.unanswered++;
    if (use) use.unanswered++;
    // Comes when the last byte was handed to the system, or the connection is
    // closed.
    res.once('close', () => {
      this.unanswered--;
      if (!use) return;
      use.unanswered--;
      use.readBefore = socket.bytesRead;
    });
  }
}

function isInUse([socket, use]: readonly [Socket, Use]): boolean {
  if (use.unanswered > 0 || socket.writableLength > 0) return true;
  return socket.bytesRead > use.readBefore;
}
