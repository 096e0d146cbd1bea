/** The connections of callers, and the requests that they have carried. */
import type {Socket} from 'node:net';

/** Whether a connection had carried a request before. */
export type ConnectionUse = 'new' | 'kept';

/** What one connection has carried. */
interface CarriedRequests {
  /** Number of requests, with those in progress. */
  total: number;
}

/** Keeps count of the requests on each open connection. */
export class CallerConnections {
  private readonly connections = new Map<Socket, CarriedRequests>();

  /** @param socket - A connection that has just been accepted. */
  add(socket: Socket): void {
    this.connections.set(socket, {total: 0});
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
    return carried.total === 1 ? 'new' : 'kept';
  }
}
