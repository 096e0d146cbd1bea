/** Watches whether the engine answers, and what it says of itself. */
import {InvariantError, repeat} from '@oathead/core';
import type {Clock, Counters, EngineClient, EngineLoad} from '@oathead/core';
import {createDebugLog} from '@oathead/observe';
import {CacheIndex} from './cache_index.js';

const log = createDebugLog('target:engine');

/** How often the engine is asked. */
export interface EngineWatchSettings {
  /** Pause between probes, in milliseconds. */
  readonly probeMs: number;
  /** Largest wait for an answer, in milliseconds. */
  readonly probeTimeoutMs: number;
}

/** What the watch tells. */
export interface EngineWatchEvents {
  load(load: EngineLoad): void;
  /** The engine went down, or answers again. */
  changed(): void;
}

/** Polls the load and cache events of one engine. */
export class EngineWatch implements Disposable {
  readonly cache = new CacheIndex();
  private lastLoad: EngineLoad | undefined;
  private isDown = true;
  private polling: Disposable | undefined;

  /**
   * @param engine - The engine.
   * @param settings - How often it is asked.
   * @param clock - Pauses and timeouts are measured on it.
   * @param counters - Counts failed probes and changes.
   * @param events - Told what is learnt.
   */
  constructor(
    private readonly engine: EngineClient,
    private readonly settings: EngineWatchSettings,
    private readonly clock: Clock,
    private readonly counters: Counters,
    private readonly events: EngineWatchEvents,
  ) {}

  /** Whether the engine does not answer; true until it first has. */
  get down(): boolean {
    return this.isDown;
  }

  /** What the engine said last. */
  get load(): EngineLoad | undefined {
    return this.lastLoad;
  }

  /** Begins to poll, with a first probe at once. */
  start(): void {
    const {probeMs} = this.settings;
    void this.probe();
    this.polling = repeat(this.clock, probeMs, () => this.probe());
  }

  /** A request's connection to the engine broke: down until a probe answers. */
  suspect(): void {
    if (this.isDown) return;
    this.setDown(true);
    void this.probe();
  }

  /** Asks the engine once. */
  async probe(): Promise<void> {
    const timeout = new AbortController();
    const onTimeout = () => timeout.abort();
    using timer = this.clock.after(this.settings.probeTimeoutMs, onTimeout);
    void timer;
    const load = await this.ask('load', () => this.engine.load(timeout.signal));
    this.setDown(load === undefined);
    if (load === undefined) return;
    this.lastLoad = load;
    this.events.load(load);
    const {sequence} = this.cache;
    const events = await this.ask('cache', () =>
      this.engine.cacheEvents(sequence, timeout.signal),
    );
    this.cache.apply(events ?? []);
  }

  [Symbol.dispose](): void {
    this.polling?.[Symbol.dispose]();
  }

  /** Whatever a client throws, the engine has not answered. */
  private async ask<T>(
    what: string,
    question: () => Promise<T>,
  ): Promise<T | undefined> {
    try {
      return await question();
    } catch (err) {
      if (err instanceof InvariantError) throw err;
      this.counters.count('engine_probe_failed', {what});
      return undefined;
    }
  }

  private setDown(down: boolean): void {
    if (down === this.isDown) return;
    this.isDown = down;
    if (down) this.cache.reset();
    log(down ? 'does not answer' : 'answers');
    this.counters.count('engine_state', {to: down ? 'down' : 'up'});
    this.events.changed();
  }
}
