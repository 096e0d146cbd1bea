/**
 * One connection to a target, with what undici does not tell of it: whether it
 * was made, and whether the other end reset it.
 */
import type {Socket} from 'node:net';
import {buildConnector, Client, errors} from 'undici';

/** Timeouts of a connection to a target. */
export interface ConnectionTimeouts {
  /** How long a connection may take to be made, in milliseconds. */
  readonly connectMs: number;
  /** How long it may stay unused when the target names no time, in ms. */
  readonly idleMs: number;
  /** How much sooner than the target's own time it is given up, in ms. */
  readonly idleMarginMs: number;
}

/**
 * A connection inside a data centre or between near ones is made within a few
 * milliseconds. A lost first packet is sent again after a second, later than it
 * takes to go elsewhere: nothing was sent yet. With 1200 ms a request to a target
 * that had gone dark knew of it after 1516 ms, as undici's own timeouts are coarse (one
 * request to a listener that takes no connections). A target's own idle time has
 * whole seconds, and one without a hint may be short.
 */
export const DEFAULT_CONNECTION_TIMEOUTS: ConnectionTimeouts = {
  connectMs: 400,
  idleMs: 700,
  idleMarginMs: 400,
};

/** Idle time before the system probes a connection, in milliseconds: the
 * smallest that can be set, so that a silent connection ends by itself. */
const KEEP_ALIVE_PROBE_MS = 1000;

/** A connection that carries one request at a time. */
export class TargetConnection implements Disposable {
  /** Sends the requests; it holds this one connection. */
  readonly client: Client;
  private socket: Socket | undefined;
  private reset = false;
  private lost = false;

  /**
   * @param address - IP address and port of the target.
   * @param timeouts - How long it may take and stay unused.
   */
  constructor(address: string, timeouts: ConnectionTimeouts) {
    const connect = buildConnector({
      timeout: timeouts.connectMs,
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
    });
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: timeouts.idleMs,
      keepAliveTimeoutThreshold: timeouts.idleMarginMs,
      connect: (options, callback) => {
        const late = setTimeout(
          () => void this.client.destroy(new errors.ConnectTimeoutError()),
          timeouts.connectMs,
        );
        connect(options, (...made) => {
          clearTimeout(late);
          if (made[1]) this.watch(made[1] as Socket);
          callback(...made);
        });
      },
    });
    this.client.on('disconnect', () => {
      this.lost = true;
    });
  }

  /** Whether the connection was ever made. */
  get connected(): boolean {
    return this.socket !== undefined;
  }

  /**
   * Whether another request can be sent on it at once.
   *
   * Guards against a request that waits behind the rest of an earlier one: a
   * target may answer a long request before it has read it, and read on slowly
   * or not at all. undici takes a body for sent once the socket holds it.
   */
  get usable(): boolean {
    const unsent = this.socket?.writableLength ?? 0;
    return !this.lost && !this.client.destroyed && unsent === 0;
  }

  /**
   * Whether the other end reset the connection. undici takes a reset for the
   * end of an answer that has no length, but such an answer may be cut short;
   * only an orderly close ends it whole.
   */
  get wasReset(): boolean {
    return this.reset;
  }

  /** Closes the connection at once; the target sees it and stops its work. */
  [Symbol.dispose](): void {
    this.lost = true;
    void this.client.destroy();
  }

  private watch(socket: Socket): void {
    this.socket = socket;
    // Added before undici's own listener, and so called before it.
    socket.on('error', () => {
      this.reset = true;
    });
  }
}
