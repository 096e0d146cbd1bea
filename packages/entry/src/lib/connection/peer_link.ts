/** A connection from one entry to another. */
import {DisposableStore, LinkLostError, sleep} from '@oathead/core';
import type {Clock, ServeEvent, ServeOutcome} from '@oathead/core';
import type {ConfigDelta} from '@oathead/config';
import type {ClientTls} from '@oathead/wire';
import {createTRPCClient, createWSClient, wsLink} from '@trpc/client';
import type {TRPCClient} from '@trpc/client';
import {WebSocket} from 'ws';
import type {UseReport, UseReports} from '../process/limit_gate.js';
import type {ConfigQuestion, ForwardedCall, PeerRouter} from './peer_router.js';

/** Ways to ask one other entry. */
export interface PeerLink extends Disposable {
  /** @throws LinkLostError */
  serve(call: ForwardedCall, signal: AbortSignal): AsyncIterable<ServeEvent>;
  /** @throws LinkLostError */
  configSince(question: ConfigQuestion): Promise<ConfigDelta | undefined>;
  /** @throws LinkLostError */
  findOutcome(dedupeKey: string): Promise<ServeOutcome | undefined>;
  /** @throws LinkLostError */
  reportUse(reports: UseReports): Promise<readonly UseReport[]>;
}

/** How to open a link to another entry. */
export interface PeerLinkOptions {
  /** `ws://host:port` or `wss://host:port`. */
  readonly url: string;
  readonly clock: Clock;
  /** Quiet for so long while something is asked: the peer is lost, in ms. */
  readonly silenceMs: number;
  readonly tls?: ClientTls;
}

/**
 * A link over tRPC. A connection that has gone silent for good is noticed by
 * pings; a new one is made for the next call.
 */
export class TrpcPeerLink implements PeerLink {
  private current: PeerChannel | undefined;

  /** @param options - Where to, and how. */
  constructor(private readonly options: PeerLinkOptions) {}

  async *serve(
    call: ForwardedCall,
    signal: AbortSignal,
  ): AsyncGenerator<ServeEvent> {
    yield* this.channel().subscribe(call, signal);
  }

  configSince(question: ConfigQuestion): Promise<ConfigDelta | undefined> {
    return this.channel().ask(api => api.configSince.query(question));
  }

  findOutcome(dedupeKey: string): Promise<ServeOutcome | undefined> {
    return this.channel().ask(api => api.findOutcome.query(dedupeKey));
  }

  reportUse(reports: UseReports): Promise<readonly UseReport[]> {
    const input = {...reports, reports: [...reports.reports]};
    return this.channel().ask(api => api.reportUse.mutate(input));
  }

  [Symbol.dispose](): void {
    this.current?.[Symbol.dispose]();
  }

  private channel(): PeerChannel {
    if (!this.current?.isOpen) this.current = new PeerChannel(this.options);
    return this.current;
  }
}

type Api = TRPCClient<PeerRouter>;

/** One connection; calls on it fail together when it is lost. */
class PeerChannel implements Disposable {
  private readonly api: Api;
  private readonly closeClient: () => void;
  private readonly lost = new AbortController();
  private readonly lostCallbacks = new Set<() => void>();
  private socket: WebSocket | undefined;
  private lastHeardAt: number;
  private asked = 0;

  constructor(private readonly options: PeerLinkOptions) {
    this.lastHeardAt = options.clock.now();
    const client = createWSClient({
      url: options.url,
      WebSocket: this.socketClass() as unknown as typeof globalThis.WebSocket,
      onClose: () => this.lost.abort(),
      onError: () => this.lost.abort(),
    });
    this.api = createTRPCClient<PeerRouter>({links: [wsLink({client})]});
    this.closeClient = () => void client.close();
    this.lost.signal.addEventListener('abort', () => this.close(), {
      once: true,
    });
  }

  get isOpen(): boolean {
    return !this.lost.signal.aborted;
  }

  async ask<T>(query: (api: Api) => Promise<T>): Promise<T> {
    const watch = this.watch();
    const held = new DisposableStore();
    held.add(watch);
    const lost = new Promise<never>((resolve, reject) => {
      held.add(this.onLost(() => reject(lostError())));
    });
    try {
      return await Promise.race([query(this.api), lost]);
    } catch {
      throw lostError();
    } finally {
      held[Symbol.dispose]();
    }
  }

  async *subscribe(
    call: ForwardedCall,
    signal: AbortSignal,
  ): AsyncGenerator<ServeEvent> {
    const events = new EventBuffer();
    const subscription = this.api.serve.subscribe(call, {
      onData: event => events.push(event),
      onComplete: () => events.end(),
      onError: () => events.fail(lostError()),
    });
    const held = new DisposableStore();
    held.defer(() => subscription.unsubscribe());
    held.add(this.onLost(() => events.fail(lostError())));
    held.add(this.watch());
    const stop = () => events.end();
    signal.addEventListener('abort', stop, {once: true});
    held.defer(() => signal.removeEventListener('abort', stop));
    try {
      yield* events.read();
    } finally {
      held[Symbol.dispose]();
    }
  }

  [Symbol.dispose](): void {
    this.lost.abort();
  }

  /**
   * An open connection can be silent for good because something between the
   * two ends has lost track of it. While something is asked, pings show it.
   */
  private watch(): Disposable {
    this.asked++;
    if (this.asked === 1) void this.ping();
    return {[Symbol.dispose]: () => void this.asked--};
  }

  private async ping(): Promise<void> {
    const {clock, silenceMs} = this.options;
    this.lastHeardAt = clock.now();
    while (this.asked > 0 && this.isOpen) {
      await sleep(clock, silenceMs / 2, this.lost.signal);
      if (clock.now() - this.lastHeardAt > silenceMs) this.lost.abort();
      else if (this.socket?.readyState === WebSocket.OPEN) this.socket.ping();
    }
  }

  private onLost(callback: () => void): Disposable {
    if (!this.isOpen) callback();
    else this.lostCallbacks.add(callback);
    return {[Symbol.dispose]: () => void this.lostCallbacks.delete(callback)};
  }

  private close(): void {
    this.closeClient();
    this.socket?.terminate();
    for (const callback of this.lostCallbacks) callback();
    this.lostCallbacks.clear();
  }

  /** The client of tRPC would connect anew by itself and send calls again. */
  private socketClass(): typeof WebSocket {
    const channel = this.attach.bind(this);
    const {tls} = this.options;
    return class extends WebSocket {
      constructor(url: string) {
        super(url, {...tls, perMessageDeflate: false});
        channel(this);
      }
    } as typeof WebSocket;
  }

  private attach(socket: WebSocket): void {
    if (this.socket) throw lostError();
    this.socket = socket;
    const heard = () => (this.lastHeardAt = this.options.clock.now());
    socket.on('message', heard);
    socket.on('pong', heard);
  }
}

/** Events on their way from a callback to a reader. */
class EventBuffer {
  private readonly events: ServeEvent[] = [];
  private wake: (() => void) | undefined;
  private ended = false;
  private err: Error | undefined;

  push(event: ServeEvent): void {
    this.events.push(event);
    this.wake?.();
  }

  end(): void {
    this.ended = true;
    this.wake?.();
  }

  fail(err: Error): void {
    this.err ??= err;
    this.wake?.();
  }

  async *read(): AsyncGenerator<ServeEvent> {
    for (;;) {
      while (this.events.length > 0) yield this.events.shift()!;
      if (this.ended) return;
      if (this.err) throw this.err;
      await new Promise<void>(resolve => (this.wake = resolve));
    }
  }
}

function lostError(): LinkLostError {
  return new LinkLostError('the other entry cannot be reached');
}
