/**
 * Pool of keep-alive connections to targets. The most recently used connection
 * is reused first.
 */
import type {Counters} from '@oathead/core';
import {
  DEFAULT_CONNECTION_TIMEOUTS,
  TargetConnection,
  type ConnectionTimeouts,
} from './target_connection.js';
import type {Target} from './target.js';

/** Idle connections by target ID. */
export class ConnectionPool implements Disposable {
  private readonly idle = new Map<string, TargetConnection[]>();

  /**
   * @param counters - Counts connections that are opened.
   * @param timeouts - Timeouts that apply to each connection.
   */
  constructor(
    private readonly counters: Counters,
    private readonly timeouts: ConnectionTimeouts = DEFAULT_CONNECTION_TIMEOUTS,
  ) {}

  /**
   * A connection never carries two requests with one ID: a late response to the
   * first one would count as the response to the second.
   *
   * @param target - The target. Connections are pooled by its ID, because an
   *     address can be reused by another target.
   * @param requestId - ID of the request to be sent; undefined if it has none.
   * @returns An idle connection, or a new one that is opened with its first
   *     request.
   */
  acquire(
    {id, address}: Pick<Target, 'id' | 'address'>,
    requestId: string | undefined,
  ): TargetConnection {
    const usable = (this.idle.get(id) ?? []).filter(idle => idle.usable);
    const at = usable.findLastIndex(({carried}) => carried.canTell(requestId));
    const [connection] = at < 0 ? [] : usable.splice(at, 1);
    if (usable.length > 0) this.idle.set(id, usable);
    else this.idle.delete(id);
    if (connection) return connection;
    this.counters.count('target_connections');
    return new TargetConnection(address, this.timeouts);
  }

  /**
   * Returns a connection to the pool after a complete response to a request
   * that was fully sent.
   *
   * The connection becomes available in the next turn of the event loop. Bytes
   * that follow a response in the same packet belong to no request. If a
   * request were already queued, undici would parse them as the response to it;
   * with none queued, undici closes the connection.
   *
   * @param targetId - ID of the target.
   * @param connection - The connection, with no request on it.
   */
  release(targetId: string, connection: TargetConnection): void {
    setImmediate(() => {
      if (!connection.usable) return;
      if (connection.carried.isFull) {
        connection[Symbol.dispose]();
        return;
      }
      const idleConnections = this.idle.get(targetId) ?? [];
      this.idle.set(targetId, idleConnections);
      idleConnections.push(connection);
    });
  }

  /**
   * @param targetId - A target that no longer exists. Its idle connections are
   *     closed.
   */
  closeIdle(targetId: string): void {
    for (const connection of this.idle.get(targetId) ?? [])
      connection[Symbol.dispose]();
    this.idle.delete(targetId);
  }

  /** Closes all idle connections. */
  [Symbol.dispose](): void {
    for (const targetId of [...this.idle.keys()]) this.closeIdle(targetId);
  }
}
