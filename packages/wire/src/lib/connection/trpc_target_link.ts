/** A link to a target process over tRPC. */
import {
  LinkLostError,
  initialConnection,
  notRun,
  stepConnection,
} from '@oathead/core';
import type {
  Clock,
  ConnectionAction,
  ConnectionEvent,
  ConnectionState,
  Counters,
  Heartbeat,
  HeartbeatReply,
  LoadReport,
  Order,
  OrderOutcome,
  ServeEvent,
  ServeRequest,
} from '@oathead/core';
import type {ReportingLink} from '../process/target_handler.js';
import {Channel} from './channel.js';
import type {ClientTls} from './channel.js';
import type {LinkCall} from './link_call.js';
import {QueryCall} from './query_call.js';
import type {Query} from './query_call.js';
import {ReportCall} from './report_call.js';
import {ServeCall} from './serve_call.js';

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
}

const DEFAULT_SILENCE_MS = 500;
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

/** A link that replaces its connection when it breaks or goes silent. */
export class TrpcTargetLink implements ReportingLink, Disposable {
  private readonly calls = new Set<LinkCall>();
  private snapshot = initialConnection();
  private channel: Channel | undefined;
  /** Counts attempts to connect, so that an abandoned one is known as such. */
  private connecting = 0;
  private quietTimer: Disposable | undefined;
  private quietSince = 0;
  private readonly silenceMs: number;
  private closed = false;

  private readonly handlers: Readonly<Record<ConnectionAction, () => void>> = {
    connect: () => void this.connect(),
    probe: () => this.channel?.probe(),
    adopt: () => {},
    abandon: () => void this.connecting++,
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

  async *serve(
    req: ServeRequest,
    signal: AbortSignal,
  ): AsyncGenerator<ServeEvent, void, undefined> {
    if (signal.aborted) return;
    const call = new ServeCall(req, this.options.clock);
    const onAbort = () => call.cancel();
    signal.addEventListener('abort', onAbort, {once: true});
    this.begin(call);
    try {
      yield* call.events();
    } catch (err) {
      if (!(err instanceof LinkLostError) || call.wasSent) throw err;
      yield {kind: 'refused', refusal: notRun('target-lost', err.message)};
    } finally {
      signal.removeEventListener('abort', onAbort);
      call.cancel();
      this.end(call);
    }
  }

  heartbeat(req: Heartbeat, signal: AbortSignal): Promise<HeartbeatReply> {
    return this.query(
      (channel, s) => channel.api.heartbeat.query(req, {signal: s}),
      signal,
    );
  }

  order(order: Order, signal: AbortSignal): Promise<OrderOutcome> {
    return this.query(
      (channel, s) => channel.api.order.mutate(order, {signal: s}),
      signal,
    );
  }

  async release(dedupeKeys: readonly string[]): Promise<void> {
    await this.query(
      channel => channel.api.release.mutate([...dedupeKeys]),
      new AbortController().signal,
    );
  }

  async *reports(
    signal: AbortSignal,
  ): AsyncGenerator<LoadReport, void, undefined> {
    if (signal.aborted) return;
    const call = new ReportCall();
    const onAbort = () => call.cancel();
    signal.addEventListener('abort', onAbort, {once: true});
    this.begin(call);
    try {
      yield* call.reports();
    } finally {
      signal.removeEventListener('abort', onAbort);
      call.cancel();
      this.end(call);
    }
  }

  /** Closes the connection; calls in flight fail. */
  [Symbol.dispose](): void {
    this.closed = true;
    this.giveUp('the link was closed');
  }

  private async query<T>(query: Query<T>, signal: AbortSignal): Promise<T> {
    if (signal.aborted) throw new LinkLostError('given up');
    const call = new QueryCall(query, signal);
    this.begin(call);
    try {
      return await call.answer;
    } finally {
      this.end(call);
    }
  }

  private begin(call: LinkCall): void {
    if (this.closed) {
      call.fail(new LinkLostError('the link was closed'));
      return;
    }
    if (this.calls.size === 0) this.quietSince = this.options.clock.now();
    this.calls.add(call);
    this.watch();
    if (this.channel?.isOpen) call.use(this.channel);
    else this.step({type: 'wanted'});
  }

  private end(call: LinkCall): void {
    this.calls.delete(call);
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
    const attempt = ++this.connecting;
    try {
      const channel = await Channel.connect(
        {
          url: this.options.url,
          clock: this.options.clock,
          connectTimeoutMs:
            this.options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
          tls: this.options.tls,
        },
        {
          heard: from => this.onHeard(from),
          broken: from => this.onBroken(from),
        },
      );
      if (attempt !== this.connecting || this.closed) {
        channel[Symbol.dispose]();
        return;
      }
      this.adopt(channel);
    } catch {
      if (attempt === this.connecting && !this.closed) {
        this.step({type: 'failed'});
      }
    }
  }

  /** Make before break: the calls move, then the old connection is closed. */
  private adopt(channel: Channel): void {
    const old = this.channel;
    this.channel = channel;
    this.quietSince = channel.lastHeardAt;
    this.step({type: 'opened'});
    for (const call of this.calls) call.use(channel);
    old?.[Symbol.dispose]();
  }

  private onHeard(from: Channel): void {
    if (from !== this.channel) return;
    this.quietSince = from.lastHeardAt;
    if (this.state !== 'open') this.step({type: 'heard'});
  }

  private onBroken(from: Channel): void {
    if (from !== this.channel) return;
    this.channel = undefined;
    this.step({type: 'broken'});
  }

  /** One timer a link, that runs only while calls are in flight. */
  private watch(): void {
    if (this.quietTimer) return;
    this.quietTimer = this.options.clock.after(this.silenceMs, () => {
      this.quietTimer = undefined;
      if (this.calls.size === 0) return;
      const quietMs = this.options.clock.now() - this.quietSince;
      if (quietMs >= this.silenceMs) this.step({type: 'quiet'});
      this.watch();
    });
  }

  private giveUp(message: string): void {
    this.connecting++;
    this.channel?.[Symbol.dispose]();
    this.channel = undefined;
    for (const call of this.calls) call.fail(new LinkLostError(message));
    this.calls.clear();
  }
}
