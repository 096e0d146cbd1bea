/** A single WebSocket connection to a target process that carries tRPC. */
import type {Clock} from '@oathead/core';
import {LinkLostError} from '@oathead/core';
import {createTRPCClient, createWSClient, wsLink} from '@trpc/client';
import type {TRPCClient} from '@trpc/client';
import {WebSocket} from 'ws';
import type {Hello} from '../process/target_handler.js';
import type {TargetRouter} from '../process/target_router.js';
import type {ChannelEvents, LinkChannel} from './link_channel.js';

/** Client certificate and trusted CA for mutual TLS, in PEM format. */
export interface ClientTls {
  readonly ca: string | Buffer;
  readonly cert: string | Buffer;
  readonly key: string | Buffer;
}

/** Options for opening a channel. */
export interface ChannelOptions {
  /** `ws://host:port` or `wss://host:port`. */
  readonly url: string;
  readonly clock: Clock;
  /** Timeout for the response to the `hello` query, in milliseconds. */
  readonly connectTimeoutMs: number;
  readonly tls?: ClientTls;
}

/** An open connection on which the target process has responded. */
export class Channel implements LinkChannel {
  /** Time at which data was last received, on the clock of this process. */
  lastReceivedAt: number;
  private open = true;

  private constructor(
    readonly hello: Hello,
    /** Client for the procedures of the target process. */
    readonly api: TRPCClient<TargetRouter>,
    private readonly socket: WebSocket,
    events: ChannelEvents,
    clock: Clock,
  ) {
    this.lastReceivedAt = clock.now();
    const heard = () => {
      this.lastReceivedAt = clock.now();
      events.heard(this);
    };
    socket.on('message', heard);
    socket.on('pong', heard);
    socket.on('close', () => {
      if (!this.open) return;
      this.open = false;
      events.broken(this);
    });
  }

  /**
   * Opens a connection and waits until the target process responds to a
   * `hello` query. An accepted connection alone does not show that the process
   * is responsive, because the kernel accepts it on behalf of the process.
   *
   * @param options - The address and the connection settings.
   * @param events - Receives the events of the channel.
   * @returns The open channel.
   * @throws LinkLostError if the connection fails, or if the target process
   *     does not respond within `connectTimeoutMs`.
   */
  static async connect(
    options: ChannelOptions,
    events: ChannelEvents,
  ): Promise<Channel> {
    const opening = openSocket(options);
    const failure = new Promise<never>((resolve, reject) => {
      opening.failed = reject;
    });
    const timeout = options.clock.after(options.connectTimeoutMs, () =>
      opening.failed(new Error('the connection attempt timed out')),
    );
    try {
      const hello = await Promise.race([opening.api.hello.query(), failure]);
      return new Channel(
        hello,
        opening.api,
        opening.socket!,
        events,
        options.clock,
      );
    } catch (err) {
      opening.socket?.terminate();
      throw new LinkLostError(`${options.url}: ${(err as Error).message}`);
    } finally {
      timeout[Symbol.dispose]();
    }
  }

  /** Whether calls can be made on this channel. */
  get isOpen(): boolean {
    return this.open;
  }

  /** Sends a WebSocket ping; the target process responds with a pong. */
  probe(): void {
    if (this.open) this.socket.ping();
  }

  /**
   * Closes the connection immediately, without a closing handshake and without
   * notifying the calls on it.
   */
  [Symbol.dispose](): void {
    this.open = false;
    this.socket.terminate();
  }
}

/** A connection attempt in progress. */
interface OpeningSocket {
  readonly api: TRPCClient<TargetRouter>;
  /** Set when the tRPC client creates its socket. */
  socket?: WebSocket;
  /** Fails the attempt; has no effect once it has succeeded. */
  failed: (err: Error) => void;
}

/**
 * Creates a tRPC client that never reconnects, so that no request is sent
 * twice. By default the tRPC client reconnects after a lost connection and
 * resends its pending subscriptions; a target process that has restarted in the
 * meantime would run them a second time. The client is therefore closed
 * together with its first socket, and creating a second socket throws.
 */
function openSocket(options: ChannelOptions): OpeningSocket {
  class SingleUseSocket extends WebSocket {
    constructor(url: string) {
      if (opening.socket) throw new LinkLostError('the connection has closed');
      super(url, {...options.tls, perMessageDeflate: false});
      opening.socket = this;
    }
  }
  const onSocketEnd = () => {
    void client.close();
    opening.failed(new Error('the connection has closed'));
  };
  const client = createWSClient({
    url: options.url,
    WebSocket: SingleUseSocket as unknown as typeof globalThis.WebSocket,
    onClose: onSocketEnd,
    onError: onSocketEnd,
  });
  const opening: OpeningSocket = {
    api: createTRPCClient<TargetRouter>({links: [wsLink({client})]}),
    failed: () => {},
  };
  return opening;
}
