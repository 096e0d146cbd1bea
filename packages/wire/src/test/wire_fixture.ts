/**
 * A link and a target server on the loopback interface, connected through a
 * proxy that simulates network faults.
 */
import {NO_COUNTERS, SYSTEM_CLOCK} from '@oathead/core';
import type {
  Answer,
  Clock,
  LoadReport,
  ServeEvent,
  ServeRequest,
} from '@oathead/core';
import {createClock} from '@sinonjs/fake-timers';
import type {ExecutionContext} from 'ava';
import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {WebSocketServer} from 'ws';
import {EventQueue} from '../lib/connection/event_queue.js';
import {TrpcTargetLink} from '../lib/connection/trpc_target_link.js';
import type {LinkOptions} from '../lib/connection/link_connection.js';
import type {TargetHandler} from '../lib/process/target_handler.js';
import {serveWire} from '../lib/process/wire_server.js';
import type {Attachment} from '../lib/request/attachment.js';

/** A call received by the handler. */
export interface HandlerCall {
  readonly req?: ServeRequest;
  readonly attachment?: Attachment;
  readonly signal: AbortSignal;
  /** Events that the test sends in response. */
  readonly answer: EventQueue<ServeEvent>;
}

/** A handler whose responses are supplied by the test. */
export class ScriptedHandler implements TargetHandler {
  readonly calls: HandlerCall[] = [];
  readonly released: string[] = [];
  readonly loads = new EventQueue<LoadReport>();
  bootId = 'boot-1';
  private readonly arrivals = new EventQueue<HandlerCall>();
  private readonly arriving = this.arrivals.read();

  hello() {
    return {targetId: 'target-1', bootId: this.bootId};
  }

  serve(req: ServeRequest, signal: AbortSignal) {
    return this.recordCall({req, signal, answer: new EventQueue()});
  }

  attach(attachment: Attachment, signal: AbortSignal) {
    return this.recordCall({attachment, signal, answer: new EventQueue()});
  }

  async heartbeat() {
    return {bootId: this.bootId, load: LOAD};
  }

  async recall() {
    return undefined;
  }

  async order() {
    return {kind: 'taken'} as const;
  }

  reports() {
    return this.loads.read();
  }

  async release(dedupeKeys: readonly string[]) {
    this.released.push(...dedupeKeys);
  }

  async *held(entryId: string) {
    yield {
      dedupeKey: `${entryId}/k1`,
      id: 'r1',
      caller: 'bank-a',
      work: REQUEST.work,
      answer: ANSWER,
    };
  }

  async cachedPrefixes() {
    return ['p1', 'p2'];
  }

  /** @returns The next call, once it arrives. */
  async nextCall(): Promise<HandlerCall> {
    return (await this.arriving.next()).value as HandlerCall;
  }

  private async *recordCall(call: HandlerCall) {
    this.calls.push(call);
    this.arrivals.push(call);
    call.signal.addEventListener('abort', () => call.answer.end());
    yield* call.answer.read();
  }
}

export const LOAD: LoadReport = {
  targetId: 'target-1',
  dataCentre: 'hall-a',
  sequence: 1,
  leaving: false,
  cfgRevision: 3,
  versions: [
    {pool: 'review', version: 'v1', adapters: ['bank-a'], state: 'ready'},
  ],
  onlineRunning: 1,
  onlineQueued: 0,
  onlineCapacity: 8,
  batchRunning: 2,
  batchQueued: 0,
  batchRoom: 4,
  prefillTokens: 120,
  stepMs: 21.5,
  engineDown: false,
};

export const REQUEST: ServeRequest = {
  id: 'r1',
  attempt: 1,
  entryId: 'e1',
  caller: 'bank-a',
  class: 'online',
  work: {
    kind: 'completion',
    model: 'review',
    input: {kind: 'prompt', prompt: 'is the limit fair?'},
    maxTokens: 16,
  },
  idempotent: true,
  timeoutMs: 30_000,
  promptTokens: 5,
  stream: true,
};

export const ANSWER: Answer = {
  kind: 'completion',
  text: 'yes',
  usage: {promptTokens: 5, completionTokens: 1},
  finishReason: 'stop',
  version: 'v1',
};

/** A TCP proxy whose open connections can be silenced or broken. */
export class FaultyProxy {
  private readonly pairs = new Set<readonly [Socket, Socket]>();
  private readonly server: Server;
  accepted = 0;
  /** Whether new connections are closed immediately. */
  refusing = false;

  constructor(private readonly port: number) {
    this.server = createServer(near => this.onConnection(near));
  }

  async listen(): Promise<number> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  /** Makes the open connections discard all data without raising an error. */
  silence(): void {
    for (const [client, upstream] of this.pairs) {
      client.unpipe(upstream);
      upstream.unpipe(client);
      client.resume();
      upstream.resume();
    }
  }

  /** Breaks the open connections. */
  cut(): void {
    for (const [client, upstream] of this.pairs) {
      client.destroy();
      upstream.destroy();
    }
  }

  close(): void {
    this.cut();
    this.server.close();
  }

  private onConnection(client: Socket): void {
    this.accepted++;
    if (this.refusing) {
      client.destroy();
      return;
    }
    const upstream = connect(this.port, '127.0.0.1');
    this.pairs.add([client, upstream]);
    client.on('error', () => {});
    upstream.on('error', () => {});
    client.on('close', () => upstream.destroy());
    upstream.on('close', () => client.destroy());
    client.pipe(upstream);
    upstream.pipe(client);
  }
}

/**
 * @returns A clock that only the test advances, and the function that advances
 *     it by a number of milliseconds.
 */
export function virtualClock() {
  const timers = createClock(1_000);
  const clock: Clock = {
    now: () => timers.now,
    wallTime: () => timers.now,
    after(delayMs, callback) {
      const timer = timers.setTimeout(callback, delayMs);
      return {[Symbol.dispose]: () => timers.clearTimeout(timer)};
    },
  };
  return {clock, advance: (ms: number) => void timers.tick(ms)};
}

/**
 * Starts a target server, a proxy in front of it, and a link through the proxy.
 * All are closed at the end of the test.
 */
export async function startWire(
  t: ExecutionContext,
  options: Partial<LinkOptions> = {},
) {
  const handler = new ScriptedHandler();
  const server = new WebSocketServer({port: 0, host: '127.0.0.1'});
  await once(server, 'listening');
  const wire = serveWire(server, handler);
  const proxy = new FaultyProxy((server.address() as AddressInfo).port);
  const port = await proxy.listen();
  const link = new TrpcTargetLink({
    url: `ws://127.0.0.1:${port}`,
    clock: SYSTEM_CLOCK,
    counters: NO_COUNTERS,
    ...options,
  });
  t.teardown(() => {
    link[Symbol.dispose]();
    wire[Symbol.dispose]();
    proxy.close();
    for (const socket of server.clients) socket.terminate();
    server.close();
  });
  return {handler, link, proxy, server, port};
}

/**
 * Collects the events of a request.
 *
 * @returns The events received so far, and a promise that settles when the
 *     iteration ends.
 */
export function collect(events: AsyncIterable<ServeEvent>) {
  const got: ServeEvent[] = [];
  const ended = (async () => {
    for await (const event of events) got.push(event);
  })();
  return {got, ended};
}
