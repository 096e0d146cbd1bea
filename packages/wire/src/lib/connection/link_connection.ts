/** The connection of a link: driven by its machine, replaced when in doubt. */
import {LinkLostError, initialConnection, stepConnection} from '@oathead/core';
import type {
  Clock,
  ConnectionAction,
  ConnectionEvent,
  ConnectionState,
  Counters,
} from '@oathead/core';
import {Channel} from './channel.js';
import type {ClientTls} from './channel.js';
import type {LinkCall} from './link_call.js';
import type {ConnectChannel, LinkChannel} from './link_channel.js';

/** Settings of a link. */
export interface LinkOptions {
  /** `ws://host:port` or `wss://host:port`. */
  readonly url: string;
  readonly clock: Clock;
  readonly counters: Counters;
  /** Certificates for mutual TLS. */
  readonly tls?: ClientTls;
  /**
   * Quiet on a connection with calls in flight is answered by a probe after
   * this time and by a new connection after twice this time, in milliseconds.
   */
  readonly silenceMs?: number;
  /** Largest wait for a new connection's first answer, in milliseconds. */
  readonly connectTimeoutMs?: number;
  /** Opens a connection; over a WebSocket where absent. */
  readonly connect?: ConnectChannel;
}

const DEFAULT_SILENCE_MS = 500;
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

/** Keeps one connection open for the calls of a link. */
export class LinkConnection implements Disposable {
  private readonly calls = new Set<LinkCall>();
  /** Calls that wait for a connection to be open. */
  private readonly waiting = new Set<LinkCall>();
  private snapshot = initialConnection();
  private channel: LinkChannel | undefined;
  /** Counts attempts to connect, so that an abandoned one is known as such. */
  private attempts = 0;
  private quietTimer: Disposable | undefined;
  private quietSince = 0;
  private readonly silenceMs: number;
  private closed = false;

  private readonly handlers: Readonly<Record<ConnectionAction, () => void>> = {
    connect: () => void this.connect(),
    probe: () => this.channel?.probe(),
    adopt: () => this.moveCalls(),
    abandon: () => void this.attempts++,
    fail: () => this.giveUp('the target does not answer'),
  };

  /** @param options - Where to, and how. */
  constructor(private readonly options: LinkOptions) {
    this.silenceMs = options.silenceMs ?? DEFAULT_SILENCE_MS;
  }

  /** The state of the connection. */
  get state(): ConnectionState {
    return this.snapshot.value as ConnectionState;
  }

  /**
   * Makes a call, as soon as there is a connection to make it over.
   *
   * @param call - The call; it fails if there is to be none.
   */
  begin(call: LinkCall): void {
    if (this.closed) {
      call.fail(new LinkLostError('the link was closed'));
      return;
    }
    if (!this.isAwaiting()) this.quietSince = this.options.clock.now();
    this.calls.add(call);
    this.watch();
    if (this.channel && this.state === 'open') call.use(this.channel);
    else this.hold(call);
  }

  /** @param call - A call that is over. */
  end(call: LinkCall): void {
    this.calls.delete(call);
    this.waiting.delete(call);
  }

  /** Closes the connection; calls in flight fail. */
  [Symbol.dispose](): void {
    this.closed = true;
    this.quietTimer?.[Symbol.dispose]();
    this.giveUp('the link was closed');
  }

  /** A call made over a connection in doubt would only have to be moved. */
  private hold(call: LinkCall): void {
    this.waiting.add(call);
    this.step({type: 'wanted'});
  }

  private isAwaiting(): boolean {
    for (const call of this.calls) if (call.awaited) return true;
    return false;
  }

  private step(event: ConnectionEvent): void {
    const before = this.state;
    const {snapshot, actions} = stepConnection(this.snapshot, event);
    this.snapshot = snapshot;
    for (const action of actions) this.handlers[action]();
    if (this.state !== before) {
      this.options.counters.count('link_state', {to: this.state});
    }
  }

  private async connect(): Promise<void> {
    const attempt = ++this.attempts;
    const channel = await this.openChannel();
    if (attempt !== this.attempts) channel?.[Symbol.dispose]();
    else if (channel) this.adopt(channel);
    else this.step({type: 'failed'});
  }

  private async openChannel(): Promise<LinkChannel | undefined> {
    const {url, clock, tls, connect = Channel.connect} = this.options;
    const connectTimeoutMs =
      this.options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS;
    const events = {
      heard: (from: LinkChannel) => this.onHeard(from),
      broken: (from: LinkChannel) => this.onBroken(from),
    };
    try {
      return await connect({url, clock, tls, connectTimeoutMs}, events);
    } catch (err) {
      if (!(err instanceof LinkLostError)) throw err;
      return undefined;
    }
  }

  /** Make before break: the calls move, then the old connection is closed. */
  private adopt(channel: LinkChannel): void {
    const old = this.channel;
    this.channel = channel;
    this.quietSince = channel.lastHeardAt;
    this.step({type: 'opened'});
    old?.[Symbol.dispose]();
  }

  private moveCalls(): void {
    this.waiting.clear();
    for (const call of this.calls) call.use(this.channel!);
  }

  private onHeard(from: LinkChannel): void {
    if (from !== this.channel) return;
    this.quietSince = from.lastHeardAt;
    if (this.state === 'open') return;
    this.step({type: 'heard'});
    for (const call of this.waiting) call.use(from);
    this.waiting.clear();
  }

  private onBroken(from: LinkChannel): void {
    if (from !== this.channel) return;
    this.channel = undefined;
    this.step({type: 'broken'});
  }

  /** One timer a link, that runs only while calls are in flight. */
  private watch(): void {
    if (this.quietTimer) return;
    this.quietTimer = this.options.clock.after(this.silenceMs, () => {
      this.quietTimer = undefined;
      if (!this.isAwaiting()) return;
      const quietMs = this.options.clock.now() - this.quietSince;
      if (quietMs >= this.silenceMs) this.step({type: 'quiet'});
      this.watch();
    });
  }

  private giveUp(message: string): void {
    this.attempts++;
    this.channel?.[Symbol.dispose]();
    this.channel = undefined;
    for (const call of this.calls) call.fail(new LinkLostError(message));
    this.calls.clear();
    this.waiting.clear();
  }
}
