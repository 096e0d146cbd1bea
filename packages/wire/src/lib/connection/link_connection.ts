/**
 * The connection of a link. It is driven by a state machine and replaced when
 * it breaks or stays silent.
 */
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
import type {OpenChannel, LinkChannel} from './link_channel.js';

/** Settings of a link. */
export interface LinkOptions {
  /** `ws://host:port` or `wss://host:port`. */
  readonly url: string;
  readonly clock: Clock;
  readonly counters: Counters;
  /** Certificates for mutual TLS. */
  readonly tls?: ClientTls;
  /**
   * Silence timeout of a connection with calls in flight, in milliseconds. If
   * no data arrives, a probe is sent after this time and a replacement
   * connection is opened after twice this time.
   */
  readonly silenceMs?: number;
  /** Timeout for the first response on a new connection, in milliseconds. */
  readonly connectTimeoutMs?: number;
  /** Opens a connection. Default: over a WebSocket. */
  readonly connect?: OpenChannel;
}

const DEFAULT_SILENCE_MS = 500;
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

/** Maintains the connection of a link and moves its calls to replacements. */
export class LinkConnection implements Disposable {
  /** All calls in flight, including those in {@link LinkConnection.waiting}. */
  private readonly calls = new Set<LinkCall>();
  /** Calls that have not started because no responsive channel is open. */
  private readonly waiting = new Set<LinkCall>();
  private snapshot = initialConnection();
  private channel: LinkChannel | undefined;
  /**
   * Number of the latest connection attempt. An attempt that completes with an
   * older number was abandoned, and its channel is closed.
   */
  private attempts = 0;
  private silenceTimer: Disposable | undefined;
  /**
   * Start of the current period of silence: when data was last received, or
   * when a call that expects a response was started on an otherwise idle
   * connection.
   */
  private lastActivityAt = 0;
  private readonly silenceMs: number;
  private closed = false;

  private readonly handlers: Readonly<Record<ConnectionAction, () => void>> = {
    connect: () => void this.connect(),
    probe: () => this.channel?.probe(),
    adopt: () => this.moveCalls(),
    abandon: () => void this.attempts++,
    fail: () => this.failCalls('the target does not answer'),
  };

  /** @param options - The address and the connection settings. */
  constructor(private readonly options: LinkOptions) {
    this.silenceMs = options.silenceMs ?? DEFAULT_SILENCE_MS;
  }

  /** State of the connection. */
  get state(): ConnectionState {
    return this.snapshot.value as ConnectionState;
  }

  /**
   * Starts a call as soon as a connection is open.
   *
   * @param call - The call. It fails if no connection can be opened or the link
   *     is closed.
   */
  begin(call: LinkCall): void {
    if (this.closed) {
      call.fail(new LinkLostError('the link was closed'));
      return;
    }
    if (!this.expectsResponse()) this.lastActivityAt = this.options.clock.now();
    this.calls.add(call);
    this.scheduleSilenceCheck();
    if (this.channel && this.state === 'open') call.use(this.channel);
    else this.queueCall(call);
  }

  /**
   * Removes a call.
   *
   * @param call - A call that has ended.
   */
  end(call: LinkCall): void {
    this.calls.delete(call);
    this.waiting.delete(call);
  }

  /** Closes the connection and fails the calls in flight. */
  [Symbol.dispose](): void {
    this.closed = true;
    this.silenceTimer?.[Symbol.dispose]();
    this.failCalls('the link was closed');
  }

  /**
   * Queues a call until a channel is known to be responsive. A call started on
   * a silent connection would probably have to be moved to its replacement.
   */
  private queueCall(call: LinkCall): void {
    this.waiting.add(call);
    this.step({type: 'wanted'});
  }

  private expectsResponse(): boolean {
    for (const call of this.calls) if (call.expectsResponse) return true;
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
    const channel = await this.tryOpenChannel();
    if (attempt !== this.attempts) channel?.[Symbol.dispose]();
    else if (channel) this.adopt(channel);
    else this.step({type: 'failed'});
  }

  private async tryOpenChannel(): Promise<LinkChannel | undefined> {
    const {url, clock, tls, connect = Channel.connect} = this.options;
    const connectTimeoutMs =
      this.options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS;
    const events = {
      heard: (from: LinkChannel) => this.onReceived(from),
      broken: (from: LinkChannel) => this.onClosed(from),
    };
    try {
      return await connect({url, clock, tls, connectTimeoutMs}, events);
    } catch (err) {
      if (!(err instanceof LinkLostError)) throw err;
      return undefined;
    }
  }

  /** Moves the calls to a new channel before closing the old one. */
  private adopt(channel: LinkChannel): void {
    const old = this.channel;
    this.channel = channel;
    this.lastActivityAt = channel.lastReceivedAt;
    this.step({type: 'opened'});
    old?.[Symbol.dispose]();
  }

  private moveCalls(): void {
    this.waiting.clear();
    for (const call of this.calls) call.use(this.channel!);
  }

  private onReceived(from: LinkChannel): void {
    if (from !== this.channel) return;
    this.lastActivityAt = from.lastReceivedAt;
    if (this.state === 'open') return;
    this.step({type: 'heard'});
    for (const call of this.waiting) call.use(from);
    this.waiting.clear();
  }

  private onClosed(from: LinkChannel): void {
    if (from !== this.channel) return;
    this.channel = undefined;
    this.step({type: 'broken'});
  }

  /**
   * Starts the silence timer, unless it is running. There is one timer per
   * link, and it runs only while calls that expect a response are in flight.
   */
  private scheduleSilenceCheck(): void {
    if (this.silenceTimer) return;
    this.silenceTimer = this.options.clock.after(this.silenceMs, () => {
      this.silenceTimer = undefined;
      if (!this.expectsResponse()) return;
      const quietMs = this.options.clock.now() - this.lastActivityAt;
      if (quietMs >= this.silenceMs) this.step({type: 'quiet'});
      this.scheduleSilenceCheck();
    });
  }

  private failCalls(message: string): void {
    this.attempts++;
    this.channel?.[Symbol.dispose]();
    this.channel = undefined;
    for (const call of this.calls) call.fail(new LinkLostError(message));
    this.calls.clear();
    this.waiting.clear();
  }
}
