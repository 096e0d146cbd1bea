/** Cache events as an engine publishes them: late, and with gaps. */
import {seededRandom, type CacheEvent} from '@oathead/core';
import type {CacheChange} from './prefix_cache.js';
import type {EngineModelOptions} from './engine_options.js';

const RETAINED_EVENTS = 4096;

/** Numbers changes of the cache and publishes most of them, late. */
export class CacheJournal {
  private readonly entries: {event: CacheEvent; visibleAt: number}[] = [];
  private readonly random;
  private sequence = 0;

  /** @param options - Lag and loss. */
  constructor(
    private readonly options: Pick<
      EngineModelOptions,
      'cacheEventLagMs' | 'cacheEventLoss' | 'seed'
    >,
  ) {
    this.random = seededRandom(options.seed);
  }

  /**
   * @param change - What changed.
   * @param now - When, in milliseconds.
   */
  add(change: CacheChange, now: number): void {
    this.sequence++;
    if (this.random.float() < this.options.cacheEventLoss) return;
    this.entries.push({
      event: {...change, sequence: this.sequence},
      visibleAt: now + this.options.cacheEventLagMs,
    });
    // Drops half at a time, so that the cost of an event stays constant.
    if (this.entries.length > 2 * RETAINED_EVENTS)
      this.entries.splice(0, RETAINED_EVENTS);
  }

  /**
   * @param sequence - Only events after this one.
   * @param now - Milliseconds.
   * @returns What is published by now.
   */
  since(sequence: number, now: number): readonly CacheEvent[] {
    return this.entries
      .filter(e => e.event.sequence > sequence && e.visibleAt <= now)
      .map(e => e.event);
  }
}
