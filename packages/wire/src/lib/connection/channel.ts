/** One WebSocket connection to a target process, with tRPC over it. */
import type {Clock} from '@oathead/core';
import {LinkLostError} from '@oathead/core';
import {createTRPCClient, createWSClient, wsLink} from '@trpc/client';
import type {TRPCClient} from '@trpc/client';
import {WebSocket} from 'ws';
import type {Hello} from '../process/target_handler.js';
import type {TargetRouter} from '../process/target_router.js';
import type {ChannelEvents, LinkChannel} from './link_channel.js';

/** Certificates of this end, for mutual TLS. */
export interface ClientTls {
  readonly ca: string | Buffer;
  readonly cert: string | Buffer;
  readonly key: string | Buffer;
}

/** How to open a channel. */
export interface ChannelOptions {
  /** `ws://host:port` or `wss://host:port`. */
  readonly url: string;
  readonly clock: Clock;
  /** Largest wait for the other end's first answer, in milliseconds. */
  readonly connectTimeoutMs: number;
  readonly tls?: ClientTls;
}

/** An open connection whose other end has answered. */
export class Channel implements LinkChannel {
  /** When something came last, on the clock of this process. */
  lastHeardAt: number;
  private open = true;

  private constructor(
    readonly hello: Hello,
    /** Calls procedures of the target process. */
    readonly api: TRPCClient<TargetRouter>,
    private readonly socket: WebSocket,
    events: ChannelEvents,
    clock: Clock,
  ) {
    this.lastHeardAt = clock.now();
    const heard = () => {
      this.lastHeardAt = clock.now();
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
   * Opens a connection and waits until the process at the other end answers:
   * an accepted connection alone is the kernel's doing and shows no life.
   *
   * @param options - Where to, and how.
   * @param events - Told what happens to the channel.
   * @returns The open channel.
   * @throws LinkLostError when the other end doesn't answer in time.
   */
  static async connect(
    options: ChannelOptions,
    events: ChannelEvents,
  ): Promise<Channel> {
    const opened = openSocket(options);
    const gaveUp = new Promise<never>((resolve, reject) => {
      opened.failed = reject;
    });
    const timeout = options.clock.after(options.connectTimeoutMs, () =>
      opened.failed(new Error('no answer in time')),
    );
    try {
      const hello = await Promise.race([opened.api.hello.query(), gaveUp]);
      return new Channel(
        hello,
        opened.api,
        opened.socket!,
        events,
        options.clock,
      );
    } catch (err) {
      opened.socket?.terminate();
      throw new LinkLostError(`${options.url}: ${(err as Error).message}`);
    } finally {
      timeout[Symbol.dispose]();
    }
  }

  /** Whether calls can be made. */
  get isOpen(): boolean {
    return this.open;
  }

  /** Asks the other end for a sign of life. */
  probe(): void {
    if (this.open) this.socket.ping();
  }

  /** Closes the connection at once, without a word for the calls on it. */
  [Symbol.dispose](): void {
    this.open = false;
    this.socket.terminate();
  }
}

interface OpeningSocket {
  readonly api: TRPCClient<TargetRouter>;
  socket?: WebSocket;
  failed: (err: Error) => void;
}

/**
 * Guards against requests that are sent twice. The tRPC client opens a new
 * connection by itself when one is lost and sends its pending subscriptions
 * again; a target process that has restarted in between would run them a second
 * time. So its client is closed with its first socket, and a second socket is
 * never made.
 */
function openSocket(options: ChannelOptions): OpeningSocket {
  class OnlySocket extends WebSocket {
    constructor(url: string) {
      if (opening.socket) throw new LinkLostError('the connection has closed');
      super(url, {...options.tls, perMessageDeflate: false});
      opening.socket = this;
    }
  }
  const shut = () => {
    void client.close();
    opening.failed(new Error('the connection has closed'));
  };
  const client = createWSClient({
    url: options.url,
    WebSocket: OnlySocket as unknown as typeof globalThis.WebSocket,
    onClose: shut,
    onError: shut,
  });
  const opening: OpeningSocket = {
    api: createTRPCClient<TargetRouter>({links: [wsLink({client})]}),
    failed: () => {},
  };
  return opening;
}
