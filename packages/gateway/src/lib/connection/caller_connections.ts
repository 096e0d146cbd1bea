/** The connections of callers, and the requests that they have carried. */
import type {Socket} from 'node:net';

/** Whether a connection had carried a request before. */
export type ConnectionUse = 'new' | 'kept';

/** What one connection has carried. */
interface CarriedRequests {
  /** Number of requests, with those in progress. */
  total: number;
  /** Number of requests whose response has not been sent to its end. */
  open: number;
  /** Bytes that had arrived when its latest request ended. */
  readBytes: number;
}

/**
 * Knows which connections may be closed without cutting off a request.
 *
 * Node's `closeIdleConnections` doesn't: to it, a connection is idle once its
 * response has ended, although not all of it may be sent, and one that has not
 * carried a request yet is not idle.
 */
export class CallerConnections {
  private readonly connections = new Map<Socket, CarriedRequests>();

  /** @param socket - A connection that has just been accepted. */
  add(socket: Socket): void {
    this.connections.set(socket, {total: 0, open: 0, readBytes: 0});
    socket.once('close', () => this.connections.delete(socket));
  }

  /**
   * Records a request whose head has arrived.
   *
   * @param socket - Its connection.
   * @returns Whether the connection had carried a request before.
   */
  beginRequest(socket: Socket): ConnectionUse {
    const carried = this.connections.get(socket);
    if (!carried) return 'new';
    carried.total++;
    carried.open++;
    return carried.total === 1 ? 'new' : 'kept';
  }

  /**
   * Records that a response has been sent to its end, or was broken off.
   *
   * @param socket - Its connection.
   */
  endRequest(socket: Socket): void {
    const carried = this.connections.get(socket);
    if (!carried) return;
    carried.open--;
    carried.readBytes = socket.bytesRead;
  }

  /**
   * Closes the connections on which no request is in progress or has begun to
   * arrive.
   */
  closeIdle(): void {
    for (const [socket, {open, readBytes}] of this.connections) {
      const isIdle = open === 0 && socket.bytesRead === readBytes;
      if (isIdle) socket.destroySoon();
    }
  }
}
