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
   * @param targetId - ID of the target. Connections are pooled by ID, because
   *     an address can be reused by another target.
   * @param address - IP address and port at which the target listens.
   * @returns An idle connection, or a new one that is opened with its first
   *     request.
   */
  acquire(targetId: string, address: string): TargetConnection {
    const idleConnections = this.idle.get(targetId);
    let connection = idleConnections?.pop();
    while (connection && !connection.usable)
      connection = idleConnections?.pop();
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
