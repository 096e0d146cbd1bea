/**
 * One connection to a target, with state that undici does not expose: whether
 * the connection was established, and whether it was broken off.
 */
import type {Socket} from 'node:net';
import {buildConnector, Client, errors} from 'undici';
import {CarriedRequests} from './carried_requests.js';

/** Timeouts of a connection to a target. */
export interface ConnectionTimeouts {
  /** Timeout for establishing the connection, in milliseconds. */
  readonly connectMs: number;
  /** Idle timeout if the target announces none, in milliseconds. */
  readonly idleMs: number;
  /**
   * How long before the idle timeout that the target announces the connection
   * is closed, in milliseconds.
   */
  readonly idleMarginMs: number;
}

/**
 * A connection within a data centre or between nearby ones is established
 * within a few milliseconds. A lost first packet is retransmitted only after a
 * second; it is faster to use another target, since nothing has been sent yet.
 * undici's own timeouts are coarse: with 1200 ms, a request to a listener that
 * accepts no connections failed only after 1516 ms. Targets announce their idle
 * timeout in whole seconds, and a target that announces none may use a short
 * one.
 */
export const DEFAULT_CONNECTION_TIMEOUTS: ConnectionTimeouts = {
  connectMs: 400,
  idleMs: 700,
  idleMarginMs: 400,
};

/**
 * Idle time before the operating system sends keep-alive probes, in
 * milliseconds. This is the smallest value that can be set, so that it closes
 * unresponsive connections early.
 */
const KEEP_ALIVE_PROBE_MS = 1000;

/**
 * How long the end of a connection is held back where it is the only end of a
 * response and a long request may still be on its way, in milliseconds: several
 * round trips between data centres. A target that has closed the connection resets
 * it when more of the request arrives.
 */
const END_LINGER_MS = 50;

/** A connection that carries one request at a time. */
export class TargetConnection implements Disposable {
  /** The requests that were sent on the connection. */
  readonly carried = new CarriedRequests();
  /** Sends the requests; limited to this one connection. */
  readonly client: Client;
  /**
   * Called when the operating system has taken over all bytes of a request that
   * it did not take at once.
   */
  onDrained: () => void = () => {};
  /** Called when bytes have arrived, before they are parsed. */
  onBytes: () => void = () => {};
  /**
   * Whether the end of the connection shows only after {@link END_LINGER_MS}, so
   * that a reset that follows it is seen.
   */
  lingersAtEnd = false;
  private socket: Socket | undefined;
  private endedByReset = false;
  private lost = false;

  /**
   * @param address - IP address and port of the target.
   * @param timeouts - Connect and idle timeouts.
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
        const connectTimer = setTimeout(
          () => void this.client.destroy(new errors.ConnectTimeoutError()),
          timeouts.connectMs,
        );
        connect(options, (...result) => {
          clearTimeout(connectTimer);
          if (result[1]) this.observeSocket(result[1] as Socket);
          callback(...result);
        });
      },
    });
    this.client.on('disconnect', () => {
      this.lost = true;
    });
  }

  /** Number of bytes that have arrived on the connection. */
  get bytesRead(): number {
    return this.socket?.bytesRead ?? 0;
  }

  /** Whether the connection was ever established. */
  get wasConnected(): boolean {
    return this.socket !== undefined;
  }

  /**
   * Whether another request can be sent immediately.
   *
   * A target may respond to a long request before it has read all of it, and
   * read the rest slowly or not at all. The next request would then wait behind
   * the unsent bytes. undici considers a body sent once the socket has buffered
   * it, so the buffer of the socket is checked here.
   */
  get usable(): boolean {
    return !this.lost && !this.client.destroyed && !this.hasUnsentBytes;
  }

  /**
   * Whether the connection ended in another way than by an orderly end of the
   * peer. undici treats every end as the end of a response without a content
   * length, but only an orderly one marks its end.
   */
  get wasBrokenOff(): boolean {
    if (!this.socket) return false;
    const {destroyed, readableEnded} = this.socket;
    return this.endedByReset || (destroyed && !readableEnded);
  }

  /** Whether the operating system has not taken over a part of the request. */
  get hasUnsentBytes(): boolean {
    return (this.socket?.writableLength ?? 0) > 0;
  }

  /**
   * Closes the connection immediately, so that the target can cancel the
   * request.
   */
  [Symbol.dispose](): void {
    this.lost = true;
    void this.client.destroy();
  }

  private observeSocket(socket: Socket): void {
    this.socket = socket;
    this.delayEnd(socket);
    socket.on('drain', () => this.onDrained());
    socket.on('readable', () => this.onBytes());
    // Registered before undici's own listener, so that it is called first.
    socket.on('end', () => {
      this.endedByReset = !hasPeer(socket);
    });
  }

  /** Holds back the end of the connection where that is asked for. */
  private delayEnd(socket: Socket): void {
    const push = socket.push.bind(socket);
    socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
      const isEnd = chunk === null;
      if (!isEnd || !this.lingersAtEnd) return push(chunk, encoding);
      setTimeout(() => push(null), END_LINGER_MS);
      return false;
    };
  }
}

/**
 * Guards against a reset that is taken for an orderly end: if data and a reset
 * are read in one turn of the event loop, Node.js reports an end and no error.
 * The operating system knows the peer of a connection that ended in an orderly
 * way, and none after a reset.
 *
 * @param socket - A connection whose remote address was not asked for before;
 *     Node.js remembers it.
 */
function hasPeer(socket: Socket): boolean {
  return socket.remoteAddress !== undefined;
}
