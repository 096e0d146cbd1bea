/** An engine whose every step is made by the test. */
import {EngineError} from '@oathead/core';
import type {
  CacheEvent,
  EngineClient,
  EngineEvent,
  EngineLoad,
  EngineRequest,
  Order,
  OrderOutcome,
} from '@oathead/core';
import {once} from 'node:events';
import {PassThrough} from 'node:stream';

/** One call of `generate`. */
export class FakeStream {
  readonly out = new PassThrough({objectMode: true});
  private index: number;

  constructor(
    readonly req: EngineRequest,
    readonly signal: AbortSignal,
  ) {
    this.index = req.resume?.tokens ?? 0;
    const onAbort = () =>
      this.out.destroy(new EngineError('lost', 'cancelled'));
    if (signal.aborted) onAbort();
    else signal.addEventListener('abort', onAbort);
  }

  /** Generates tokens. */
  tokens(...texts: readonly string[]): void {
    for (const text of texts) {
      this.out.write({kind: 'token', index: this.index++, text});
    }
  }

  /** Loses a token. */
  skip(): void {
    this.index++;
  }

  /** Generates the end. */
  done(): void {
    const usage = {promptTokens: 3, completionTokens: this.index};
    this.out.end({kind: 'done', usage, finishReason: 'stop'});
  }

  /** Breaks. */
  fail(kind: EngineError['kind'] = 'lost'): void {
    this.out.destroy(new EngineError(kind, 'broken by the test'));
  }
}

/** An engine that records its calls and answers when told. */
export class FakeEngine implements EngineClient {
  readonly streams: FakeStream[] = [];
  readonly orders: Order[] = [];
  /** Whether it does not answer. */
  loadError = false;
  events: CacheEvent[] = [];
  /** Orders are taken when it resolves. */
  orderTaken: Promise<void> = Promise.resolve();
  versions: EngineLoad['versions'] = [
    {model: 'review', version: 'v1', adapters: ['bank-a'], state: 'ready'},
  ];
  private readonly arrivals = new PassThrough({objectMode: true});

  async *generate(
    req: EngineRequest,
    signal: AbortSignal,
  ): AsyncGenerator<EngineEvent, void, undefined> {
    const stream = new FakeStream(req, signal);
    this.streams.push(stream);
    this.arrivals.emit('arrived');
    yield* stream.out as AsyncIterable<EngineEvent>;
  }

  /** Resolves to the stream of the `nth` call, counted from 0. */
  async stream(nth: number): Promise<FakeStream> {
    while (this.streams.length <= nth) await once(this.arrivals, 'arrived');
    return this.streams[nth]!;
  }

  async load(): Promise<EngineLoad> {
    if (this.loadError) throw new EngineError('lost', 'no answer');
    return {
      running: 0,
      waiting: 0,
      kvTokensUsed: 0,
      kvTokensTotal: 1000,
      ageMs: 100,
      versions: this.versions,
    };
  }

  async order(order: Order): Promise<OrderOutcome> {
    this.orders.push(order);
    await this.orderTaken;
    return {kind: 'taken'};
  }

  async cacheEvents(sequence: number): Promise<readonly CacheEvent[]> {
    return this.events.filter(event => event.sequence > sequence);
  }

  async exportCache(): Promise<Uint8Array> {
    return new Uint8Array();
  }

  async importCache(): Promise<void> {}
}
