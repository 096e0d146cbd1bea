/** Which prompt prefixes the engine has in its cache, as far as it told. */
import type {CacheEvent} from '@oathead/core';
import {LRUCache} from 'lru-cache';

const MAX_PREFIXES = 10_000;

type Handler = (event: CacheEvent) => void;

/** An index fed by the engine's cache events. */
export class CacheIndex {
  private readonly tokensByPrefix = new LRUCache<string, number>({
    max: MAX_PREFIXES,
  });
  private last = 0;

  private readonly handlers: Readonly<Record<CacheEvent['kind'], Handler>> = {
    stored: event =>
      void this.tokensByPrefix.set(event.prefix, Math.max(1, event.tokens)),
    evicted: event => void this.tokensByPrefix.delete(event.prefix),
    cleared: () => this.tokensByPrefix.clear(),
  };

  /** The sequence to ask for events behind. */
  get sequence(): number {
    return this.last;
  }

  /**
   * @param events - Events behind {@link sequence}, in order.
   */
  apply(events: readonly CacheEvent[]): void {
    for (const event of events) this.applyOne(event);
  }

  /** Forgets all: the engine has restarted. */
  reset(): void {
    this.tokensByPrefix.clear();
    this.last = 0;
  }

  /**
   * @param prefix - Fingerprint of a prefix.
   * @returns How many of its tokens are cached; 0 when none is known to be.
   */
  tokens(prefix: string): number {
    return this.tokensByPrefix.get(prefix) ?? 0;
  }

  /** @returns The prefixes known to be cached, most recently stored first. */
  prefixes(): readonly string[] {
    return [...this.tokensByPrefix.keys()];
  }

  private applyOne(event: CacheEvent): void {
    if (event.sequence <= this.last) return;
    // Events get lost. An eviction that was missed would send requests here
    // for a prefix that is gone, so a gap ends the trust in all before it.
    const gap = this.last > 0 && event.sequence > this.last + 1;
    if (gap) this.tokensByPrefix.clear();
    this.last = event.sequence;
    this.handlers[event.kind](event);
  }
}
