/**
 * A model engine that batches continuously, in virtual time and without text,
 * input or output. It knows no priorities.
 *
 * Use: `submit` and `cancel` at any time; call `advance` at `nextStepAt`
 * (or later) and handle the events. Every call takes the time on the caller's
 * clock in milliseconds, which must not go back. Events carry the time of the
 * end of their step.
 *
 * A step begins as soon as the last one has ended and there is work. Its time
 * grows with the running sequences and with the prompt tokens that it
 * prefills; each sequence whose prefill is complete gains one token. What is
 * submitted or cancelled during a step counts from the next one.
 */
import {invariant, type CacheEvent} from '@oathead/core';
import {CacheJournal} from './cache_journal.js';
import type {ModelEvent, ModelState} from './engine_events.js';
import {
  DEFAULT_ENGINE_OPTIONS,
  stepTime,
  type EngineModelOptions,
} from './engine_options.js';
import {
  EngineSequence,
  sharePrefill,
  tokensToPrefill,
  type ModelRequest,
} from './engine_sequence.js';
import {ImportQueue} from './import_queue.js';
import {LoadSamples, type LoadSample, type ModelLoad} from './load_samples.js';
import {PrefixCache, type CacheExport} from './prefix_cache.js';

/** The model of an engine. */
export class EngineModel {
  /** Parameters in force. */
  readonly options: EngineModelOptions;
  private readonly cache: PrefixCache;
  private readonly journal: CacheJournal;
  private readonly samples: LoadSamples;
  private readonly byId = new Map<string, EngineSequence>();
  private waiting: EngineSequence[] = [];
  private running: EngineSequence[] = [];
  private readonly imports: ImportQueue;
  private events: ModelEvent[] = [];
  private kvUsed = 0;
  private stepEndsAt: number | undefined;
  private stepMs = 0;
  private slowdown = 1;
  private time = 0;

  /** @param options - What differs from {@link DEFAULT_ENGINE_OPTIONS}. */
  constructor(options: Partial<EngineModelOptions> = {}) {
    this.options = {...DEFAULT_ENGINE_OPTIONS, ...options};
    this.journal = new CacheJournal(this.options);
    this.samples = new LoadSamples(this.options);
    this.imports = new ImportQueue(this.options.importTokensPerSecond);
    this.cache = new PrefixCache(
      this.options.prefixCacheTokens,
      this.options.cacheBlockTokens,
      change => this.journal.add(change, this.time),
    );
  }

  /**
   * Takes a request, behind all that wait.
   *
   * @param request - What is to be generated.
   * @param now - Milliseconds.
   * @returns False when it could never fit the KV memory or generates nothing.
   */
  submit(request: ModelRequest, now: number): boolean {
    this.runUntil(now);
    invariant(!this.byId.has(request.id), `request ${request.id} is inside`);
    const sequence = new EngineSequence(request);
    if (sequence.tokensAtEnd > this.options.kvTokens) return false;
    if (sequence.generated >= request.outputTokens) return false;
    this.byId.set(request.id, sequence);
    this.waiting.push(sequence);
    this.beginStepIfIdle();
    return true;
  }

  /**
   * Cancels a request; `cancelled` follows, at once when it waits, else at the
   * end of the current step. One that is not inside is ignored.
   *
   * @param id - The request.
   * @param now - Milliseconds.
   */
  cancel(id: string, now: number): void {
    this.runUntil(now);
    const sequence = this.byId.get(id);
    if (!sequence) return;
    sequence.cancelled = true;
    if (!this.waiting.includes(sequence)) return;
    this.waiting = this.waiting.filter(s => s !== sequence);
    this.end(sequence, 'cancelled');
  }

  /**
   * @returns When to call `advance`: at once when events wait to be read, at
   *     the end of the current step, or undefined when nothing runs.
   */
  nextStepAt(): number | undefined {
    return this.events.length > 0 ? this.time : this.stepEndsAt;
  }

  /**
   * @param now - Milliseconds.
   * @returns What has happened since the last call, in order.
   */
  advance(now: number): readonly ModelEvent[] {
    this.runUntil(now);
    const events = this.events;
    this.events = [];
    return events;
  }

  /** @returns The load as the engine reports it, late. */
  load(now: number): ModelLoad {
    this.runUntil(now);
    return this.samples.report(now);
  }

  /** @returns The load as it is. */
  state(): ModelState {
    return {
      ...this.sample(),
      prefillTokens: tokensToPrefill(this.running, this.waiting),
      stepMs: this.stepEndsAt === undefined ? 0 : this.stepMs,
      cachedTokens: this.cache.tokens,
    };
  }

  /** @returns Published events after `sequence`, late and with gaps. */
  cacheEvents(sequence: number, now: number): readonly CacheEvent[] {
    this.runUntil(now);
    return this.journal.since(sequence, now);
  }

  /** @returns The cached blocks up to `prefix`, or undefined. */
  exportCache(prefix: string): CacheExport | undefined {
    return this.cache.export(prefix);
  }

  /**
   * Takes over cached blocks; they are usable after the time that it takes to
   * copy them.
   *
   * @param cache - What another engine exported.
   * @param now - Milliseconds.
   */
  importCache(cache: CacheExport, now: number): void {
    this.runUntil(now);
    this.imports.add(cache, now);
  }

  /** Makes later steps take `factor` times as long; 1 is normal. */
  setSlowdown(factor: number): void {
    this.slowdown = factor;
  }

  /** Loses all requests, the cache and unread events, as a restart does. */
  reset(now: number): void {
    this.runUntil(now);
    this.byId.clear();
    this.waiting = [];
    this.running = [];
    this.imports.clear();
    this.events = [];
    this.kvUsed = 0;
    this.stepEndsAt = undefined;
    this.cache.clear();
  }

  private runUntil(now: number): void {
    while (this.stepEndsAt !== undefined && this.stepEndsAt <= now) {
      this.moveTo(this.stepEndsAt);
      this.endStep();
      this.beginStepIfIdle();
    }
    this.moveTo(now);
  }

  private moveTo(time: number): void {
    if (time < this.time) return;
    this.samples.record(() => this.sample(), time);
    this.time = time;
  }

  private beginStepIfIdle(): void {
    if (this.stepEndsAt !== undefined) return;
    for (const blocks of this.imports.due(this.time)) this.cache.store(blocks);
    this.admit();
    this.reserveKv();
    if (this.running.length === 0) return;
    this.stepMs = this.planStep() * this.slowdown;
    this.stepEndsAt = this.time + this.stepMs;
  }

  private admit(): void {
    while (this.running.length < this.options.maxSequences) {
      const next = this.waiting[0];
      // One more token than it has: else it would be evicted in this step.
      if (!next || this.kvUsed + next.tokens + 1 > this.options.kvTokens)
        return;
      this.waiting.shift();
      this.start(next);
    }
  }

  private start(sequence: EngineSequence): void {
    const blocks = sequence.blocks(this.options.cacheBlockTokens);
    const cached = this.cache.match(blocks);
    // The last token is always computed: its output is the next token.
    const cachedTokens = Math.min(cached, sequence.tokens - 1);
    sequence.prefillLeft = sequence.tokens - cachedTokens;
    this.kvUsed += sequence.tokens;
    this.running.push(sequence);
    this.events.push({kind: 'admitted', cachedTokens, ...this.mark(sequence)});
  }

  /** Evicts the newest sequences until each that gains a token has room. */
  private reserveKv(): void {
    while (this.kvUsed + this.running.length > this.options.kvTokens) {
      const newest = this.running.pop();
      if (!newest) return;
      this.kvUsed -= newest.tokens;
      this.waiting.unshift(newest);
      this.events.push({kind: 'evicted', ...this.mark(newest)});
    }
  }

  /** @returns Time of the step. */
  private planStep(): number {
    const {prefillTokensPerStep} = this.options;
    const prefilled = sharePrefill(this.running, prefillTokensPerStep);
    return stepTime(this.options, this.running.length, prefilled);
  }

  private endStep(): void {
    this.stepEndsAt = undefined;
    const left: EngineSequence[] = [];
    for (const sequence of this.running) {
      if (sequence.cancelled) this.release(sequence, 'cancelled');
      else if (this.generate(sequence)) this.release(sequence, 'done');
      else left.push(sequence);
    }
    this.running = left;
  }

  /** @returns Whether the sequence has all its tokens. */
  private generate(sequence: EngineSequence): boolean {
    if (sequence.prefillLeft > 0) {
      sequence.prefillLeft -= sequence.chunk;
      if (sequence.prefillLeft > 0) return false;
      this.storePrefix(sequence);
    }
    // Written out: a spread here makes the whole model ten times slower.
    this.events.push({
      kind: 'token',
      index: sequence.generated,
      id: sequence.request.id,
      at: this.time,
    });
    sequence.generated++;
    this.kvUsed++;
    return sequence.generated >= sequence.request.outputTokens;
  }

  private release(sequence: EngineSequence, kind: 'done' | 'cancelled'): void {
    this.kvUsed -= sequence.tokens;
    // What was computed stays cached, so that resuming here costs little.
    if (sequence.prefillLeft === 0) this.storePrefix(sequence);
    this.end(sequence, kind);
  }

  private storePrefix(sequence: EngineSequence): void {
    this.cache.store(sequence.blocks(this.options.cacheBlockTokens));
  }

  private end(sequence: EngineSequence, kind: 'done' | 'cancelled'): void {
    this.byId.delete(sequence.request.id);
    this.events.push({kind, ...this.mark(sequence)});
  }

  private mark({request}: EngineSequence): {id: string; at: number} {
    return {id: request.id, at: this.time};
  }

  private sample(): LoadSample {
    return {
      running: this.running.length,
      waiting: this.waiting.length,
      kvTokensUsed: this.kvUsed,
      kvTokensTotal: this.options.kvTokens,
    };
  }
}
