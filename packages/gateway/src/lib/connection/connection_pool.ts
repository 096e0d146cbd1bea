/** Kept connections to targets: the one used last is used first. */
import type {Counters} from '@oathead/core';
import {
  DEFAULT_CONNECTION_TIMEOUTS,
  TargetConnection,
  type ConnectionTimeouts,
} from './target_connection.js';

/** Connections by target. */
export class ConnectionPool implements Disposable {
  private readonly idle = new Map<string, TargetConnection[]>();

  /**
   * @param counters - Counts connections that are made.
   * @param timeouts - Of each connection.
   */
  constructor(
    private readonly counters: Counters,
    private readonly timeouts: ConnectionTimeouts = DEFAULT_CONNECTION_TIMEOUTS,
  ) {}

  /**
   * @param targetId - Whose connection is wanted; addresses are used again.
   * @param address - Where the target listens.
   * @returns A kept connection, or one that is made with the first request.
   */
  take(targetId: string, address: string): TargetConnection {
    const kept = this.idle.get(targetId);
    let connection = kept?.pop();
    while (connection && !connection.usable) connection = kept?.pop();
    if (connection) return connection;
    this.counters.count('target_connections');
    return new TargetConnection(address, this.timeouts);
  }

  /**
   * Keeps a connection whose answer was whole and whose request was sent. It can
   * be taken a turn of the event loop later: bytes that follow an answer in the
   * same packet belong to no request, and undici would take them for the answer
   * to a request that is queued already. With none queued it drops the
   * connection.
   *
   * @param targetId - Whose connection it is.
   * @param connection - The connection, with no request on it.
   */
  keep(targetId: string, connection: TargetConnection): void {
    setImmediate(() => {
      if (!connection.usable) return;
      const kept = this.idle.get(targetId) ?? [];
      this.idle.set(targetId, kept);
      kept.push(connection);
    });
  }

  /** @param targetId - A target that is gone: its connections are closed. */
  forget(targetId: string): void {
    for (const connection of this.idle.get(targetId) ?? [])
      connection[Symbol.dispose]();
    this.idle.delete(targetId);
  }

  /** Closes all kept connections. */
  [Symbol.dispose](): void {
    for (const targetId of [...this.idle.keys()]) this.forget(targetId);
  }
}
