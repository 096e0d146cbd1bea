/** A link to a target process over tRPC. */
import {LinkLostError, notRun} from '@oathead/core';
import type {
  ConnectionState,
  Heartbeat,
  HeartbeatReply,
  LoadReport,
  Order,
  OrderOutcome,
  ServeEvent,
  ServeRequest,
} from '@oathead/core';
import {applyLoadChange} from '../process/load_change.js';
import type {LoadChange} from '../process/load_change.js';
import type {
  HeldAnswer,
  RecalledOutcome,
  ReportingLink,
} from '../process/target_handler.js';
import type {LinkCall} from './link_call.js';
import {LinkConnection} from './link_connection.js';
import type {LinkOptions} from './link_connection.js';
import {refusalOf} from './peer_error.js';
import {QueryCall} from './query_call.js';
import type {Query} from './query_call.js';
import {ServeCall} from './serve_call.js';
import {StreamCall} from './stream_call.js';
import type {Subscribe} from './stream_call.js';

/** A call whose response is a stream. */
interface IterableCall<T> extends LinkCall {
  events(): AsyncIterable<T>;
  cancel(): void;
}

/** A link that replaces its connection when it breaks or stays silent. */
export class TrpcTargetLink implements ReportingLink, Disposable {
  private readonly connection: LinkConnection;

  /** @param options - The address and the connection settings. */
  constructor(private readonly options: LinkOptions) {
    this.connection = new LinkConnection(options);
  }

  /** State of the connection. */
  get state(): ConnectionState {
    return this.connection.state;
  }

  /**
   * Runs one request; see {@link TargetLink.serve}. If the target cannot be
   * reached and the request was never sent, it ends with a refusal marked as
   * not run instead of a `LinkLostError`.
   */
  async *serve(
    req: ServeRequest,
    signal: AbortSignal,
  ): AsyncGenerator<ServeEvent, void, undefined> {
    const call = new ServeCall(req, this.options.clock);
    try {
      yield* this.iterate(call, signal);
    } catch (err) {
      if (!(err instanceof LinkLostError) || call.wasSent) throw err;
      yield {kind: 'refused', refusal: notRun('target-lost', err.message)};
    }
  }

  /** {@inheritDoc TargetLink.heartbeat} */
  heartbeat(req: Heartbeat, signal: AbortSignal): Promise<HeartbeatReply> {
    return this.query(
      (channel, s) => channel.api.heartbeat.query(req, {signal: s}),
      signal,
    );
  }

  /** {@inheritDoc TargetLink.order} */
  async order(order: Order, signal: AbortSignal): Promise<OrderOutcome> {
    try {
      return await this.query(
        (channel, s) => channel.api.order.mutate(order, {signal: s}),
        signal,
      );
    } catch (err) {
      const refusal = refusalOf(err);
      if (!refusal) throw err;
      return {kind: 'refused', refusal};
    }
  }

  /** {@inheritDoc ReportingLink.release} */
  async release(dedupeKeys: readonly string[]): Promise<void> {
    await this.query(
      channel => channel.api.release.mutate([...dedupeKeys]),
      new AbortController().signal,
    );
  }

  /** {@inheritDoc ReportingLink.reports} */
  reports(signal: AbortSignal): AsyncGenerator<LoadReport, void, undefined> {
    const subscribe: Subscribe<LoadReport> = (channel, sinks) => {
      let last: LoadReport | undefined;
      const onData = (change: LoadChange) => {
        last = applyLoadChange(last, change);
        sinks.onData(last);
      };
      return channel.api.reports.subscribe(undefined, {...sinks, onData});
    };
    // Reports are sent only when the load changes: silence is no sign of a
    // fault.
    return this.iterate(new StreamCall(subscribe, false), signal);
  }

  /** {@inheritDoc ReportingLink.held} */
  held(
    entryId: string,
    signal: AbortSignal,
  ): AsyncGenerator<HeldAnswer, void, undefined> {
    const subscribe: Subscribe<HeldAnswer> = (channel, sinks) =>
      channel.api.held.subscribe(entryId, sinks);
    return this.iterate(new StreamCall(subscribe, true), signal);
  }

  /** {@inheritDoc ReportingLink.recall} */
  recall(
    dedupeKey: string,
    signal: AbortSignal,
  ): Promise<RecalledOutcome | undefined> {
    return this.query(
      (channel, s) => channel.api.recall.query(dedupeKey, {signal: s}),
      signal,
    );
  }

  /** {@inheritDoc ReportingLink.cachedPrefixes} */
  cachedPrefixes(signal: AbortSignal): Promise<readonly string[]> {
    return this.query(
      (channel, s) => channel.api.cachedPrefixes.query(undefined, {signal: s}),
      signal,
    );
  }

  /** Closes the connection and fails the calls in flight. */
  [Symbol.dispose](): void {
    this.connection[Symbol.dispose]();
  }

  private async *iterate<T>(
    call: IterableCall<T>,
    signal: AbortSignal,
  ): AsyncGenerator<T, void, undefined> {
    if (signal.aborted) return;
    const onAbort = () => call.cancel();
    signal.addEventListener('abort', onAbort, {once: true});
    this.connection.begin(call);
    try {
      yield* call.events();
    } finally {
      signal.removeEventListener('abort', onAbort);
      call.cancel();
      this.connection.end(call);
    }
  }

  /**
   * Makes a call with an abort signal of its own. tRPC leaves a listener on the
   * signal of each query, and the signal passed in may live as long as the
   * process, as that of heartbeats does: listeners would accumulate on it.
   */
  private async query<T>(query: Query<T>, signal: AbortSignal): Promise<T> {
    if (signal.aborted) throw new LinkLostError('the call was aborted');
    const stop = new AbortController();
    const onAbort = () => stop.abort();
    signal.addEventListener('abort', onAbort, {once: true});
    const call = new QueryCall(query, stop.signal);
    this.connection.begin(call);
    try {
      return await call.answer;
    } finally {
      signal.removeEventListener('abort', onAbort);
      this.connection.end(call);
      call.removeAbortListener();
    }
  }
}
