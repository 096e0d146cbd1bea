/**
 * A model engine in this process: the engine model with text, versions and
 * fault switches, on an injected clock.
 *
 * Tokens of a resumed request are numbered on from the resumed ones, and its
 * usage counts them all.
 */
import {
  DisposableStore,
  EngineError,
  estimatePromptTokens,
  inputText,
  type CacheEvent,
  type Clock,
  type EngineClient,
  type EngineEvent,
  type EngineLoad,
  type EngineRequest,
  type Order,
  type OrderOutcome,
} from '@oathead/core';
import {z} from 'zod';
import {EngineStream} from '../request/engine_stream.js';
import {
  NO_ENGINE_FAULTS,
  NO_RUNS,
  type EngineFaults,
  type EngineRuns,
} from './engine_faults.js';
import type {ModelEvent} from './engine_events.js';
import {EngineModel} from './engine_model.js';
import type {EngineModelOptions} from './engine_options.js';
import {engineText, promptKey} from './engine_text.js';
import {prefixBlocks} from './prefix_cache.js';
import {ServedModels, type ServedModelsOptions} from './served_models.js';

/** How a fake engine is set up. */
export interface FakeEngineOptions {
  readonly model?: Partial<EngineModelOptions>;
  readonly served?: Partial<ServedModelsOptions>;
  /** Time from a crash until the engine takes requests, in milliseconds. */
  readonly restartMs?: number;
  /** Called in place of the restart when a prompt crashes the engine. */
  readonly onCrash?: () => void;
}

const DEFAULT_RESTART_MS = 2000;

const CACHE_SCHEMA = z.object({
  blockTokens: z.number().int().positive(),
  blocks: z.array(z.string()),
});

/** A model engine without sockets. */
export class FakeEngine implements EngineClient, Disposable {
  /** What the engine serves. */
  readonly served: ServedModels;
  /** The model of its time and memory. */
  readonly model: EngineModel;
  private readonly owned = new DisposableStore();
  private readonly streams = new Map<string, EngineStream>();
  private readonly counts = new Map<string, EngineRuns>();
  private faults = NO_ENGINE_FAULTS;
  private upAt = -Infinity;
  private submitted = 0;
  private timer: Disposable | undefined;

  /**
   * @param clock - Time for steps, loads and restarts.
   * @param options - Model, versions, crashes.
   */
  constructor(
    private readonly clock: Clock,
    private readonly options: FakeEngineOptions = {},
  ) {
    this.model = new EngineModel(options.model);
    this.served = new ServedModels(options.served);
    this.owned.defer(() => this.timer?.[Symbol.dispose]());
  }

  async *generate(
    req: EngineRequest,
    signal: AbortSignal,
  ): AsyncGenerator<EngineEvent> {
    this.checkServes(req);
    if (signal.aborted) throw new EngineError('refused', 'aborted before');
    const stream = new EngineStream(req, engineText(req.completion));
    const key = this.submit(stream);
    const abort = () => stream.fail('lost', 'aborted by the reader');
    signal.addEventListener('abort', abort, {once: true});
    try {
      let event: EngineEvent;
      do {
        event = await stream.next();
        yield event;
      } while (event.kind !== 'done');
    } finally {
      signal.removeEventListener('abort', abort);
      this.close(key, 'cut');
    }
  }

  async load(): Promise<EngineLoad> {
    this.checkUp();
    const now = this.clock.now();
    return {...this.model.load(now), versions: this.served.report(now)};
  }

  async order(order: Order): Promise<OrderOutcome> {
    this.checkUp();
    return this.served.order(order, this.clock.now());
  }

  async cacheEvents(sequence: number): Promise<readonly CacheEvent[]> {
    this.checkUp();
    return this.model.cacheEvents(sequence, this.clock.now());
  }

  async exportCache(prefix: string): Promise<Uint8Array> {
    this.checkUp();
    const cache = this.model.exportCache(prefix);
    if (!cache) throw new EngineError('failed', `${prefix} is not cached`);
    return new TextEncoder().encode(JSON.stringify(cache));
  }

  async importCache(cache: Uint8Array): Promise<void> {
    this.checkUp();
    const parsed = CACHE_SCHEMA.safeParse(parseJson(cache));
    if (!parsed.success) throw new EngineError('failed', 'not a KV cache');
    this.model.importCache(parsed.data, this.clock.now());
  }

  /**
   * @param requestId - The id of a request.
   * @returns What the engine did with it.
   */
  runs(requestId: string): EngineRuns {
    return this.counts.get(requestId) ?? NO_RUNS;
  }

  /** @returns All runs by request id. */
  seen(): Readonly<Record<string, EngineRuns>> {
    return Object.fromEntries(this.counts);
  }

  /** @param faults - The switches to change; the others stay. */
  setFaults(faults: Partial<EngineFaults>): void {
    this.faults = {...this.faults, ...faults};
    this.model.setSlowdown(this.faults.slowdown);
  }

  /**
   * Breaks all streams and forgets the cache, as when the process dies.
   *
   * @param restartMs - How long nothing is taken, in milliseconds.
   */
  crash(restartMs = this.options.restartMs ?? DEFAULT_RESTART_MS): void {
    this.upAt = this.clock.now() + restartMs;
    this.model.reset(this.clock.now());
    for (const [key, stream] of [...this.streams]) {
      stream.fail('lost', 'the engine crashed');
      this.close(key, 'cut');
    }
  }

  /** Stops its timers; streams that are open stay silent. */
  [Symbol.dispose](): void {
    this.owned[Symbol.dispose]();
  }

  private checkUp(): void {
    if (this.clock.now() < this.upAt)
      throw new EngineError('refused', 'the engine is down');
  }

  private checkServes(req: EngineRequest): void {
    this.checkUp();
    if (this.faults.refuses)
      throw new EngineError('refused', 'the engine takes no requests');
    const {model, adapter} = req.completion;
    if (!this.served.serves(model, req.version, adapter, this.clock.now()))
      throw new EngineError('refused', `${model} is not ready here`);
  }

  /** @returns The name of the stream. */
  private submit(stream: EngineStream): string {
    const {id, completion, resume} = stream.req;
    // An id can come again before the engine is free of its last run.
    const key = `${id}~${this.submitted++}`;
    this.streams.set(key, stream);
    this.count(id, 'started');
    const {model, adapter = '', input} = completion;
    const {cacheBlockTokens} = this.model.options;
    const scope = `${model}/${adapter}`;
    const request = {
      id: key,
      cacheKey: promptKey(completion),
      promptTokens: estimatePromptTokens(completion),
      blocks: prefixBlocks(scope, inputText(input), cacheBlockTokens),
      outputTokens: stream.answer.tokens.length,
      resumedTokens: resume?.tokens ?? 0,
    };
    if (request.resumedTokens >= request.outputTokens) this.finish(key, stream);
    else if (!this.model.submit(request, this.clock.now()))
      this.fail(key, stream, 'it does not fit the KV memory');
    this.schedule();
    return key;
  }

  /** Wakes up at the end of the model's current step. */
  private schedule(): void {
    this.timer?.[Symbol.dispose]();
    const at = this.model.nextStepAt();
    if (at === undefined || this.owned.disposed) return;
    // Timers count whole milliseconds: one that fires early would be in vain.
    const delay = Math.max(0, Math.ceil(at - this.clock.now()));
    this.timer = this.clock.after(delay, () => this.pump());
  }

  private pump(): void {
    for (const event of this.model.advance(this.clock.now())) {
      const stream = this.streams.get(event.id);
      if (stream) this.handle(event, stream);
    }
    this.schedule();
  }

  private handle(event: ModelEvent, stream: EngineStream): void {
    stream.silent ||= this.faults.hangs;
    const handlers = {
      admitted: () => this.meetFate(event.id, stream),
      token: () => this.passToken(event, stream),
      done: () => this.finish(event.id, stream),
      cancelled: () => {},
      evicted: () => {},
    };
    handlers[event.kind]();
  }

  private meetFate(key: string, stream: EngineStream): void {
    const handlers = {
      answered: () => {},
      impossible: () => this.fail(key, stream, 'it can never be answered'),
      crash: this.options.onCrash ?? (() => this.crash()),
    };
    handlers[stream.answer.fate]();
  }

  private passToken(event: ModelEvent, stream: EngineStream): void {
    if (event.kind !== 'token') return;
    const {index} = event;
    stream.push({kind: 'token', index, text: stream.answer.tokens[index]!});
    stream.tokens++;
    if (stream.tokens < this.faults.breaksAfterTokens) return;
    stream.fail('lost', 'the stream broke');
    this.close(event.id, 'cut');
  }

  private finish(key: string, stream: EngineStream): void {
    const {answer, req} = stream;
    const usage = {
      promptTokens: estimatePromptTokens(req.completion),
      completionTokens: answer.tokens.length,
    };
    stream.push({kind: 'done', usage, finishReason: answer.finishReason});
    this.close(key, 'done');
  }

  private fail(key: string, stream: EngineStream, message: string): void {
    stream.fail('failed', message);
    this.close(key, 'failed');
  }

  /** Ends a stream once; the model is freed if it still works on it. */
  private close(key: string, how: keyof EngineRuns): void {
    const stream = this.streams.get(key);
    if (!stream) return;
    this.streams.delete(key);
    this.count(stream.req.id, how);
    this.model.cancel(key, this.clock.now());
    this.schedule();
  }

  private count(requestId: string, what: keyof EngineRuns): void {
    const runs = this.runs(requestId);
    this.counts.set(requestId, {...runs, [what]: runs[what] + 1});
  }
}

function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(new TextDecoder().decode(bytes));
  } catch {
    return undefined;
  }
}
