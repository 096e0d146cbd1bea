/**
 * Work that was in flight when a target died. Now and then one request kills
 * each target that runs it, and its caller sends it again: it runs alone next,
 * so that only the guilty one is in flight at a second death, and is refused
 * for good after that.
 */
import {LRUCache} from 'lru-cache';
import type {Counters} from '@oathead/core';

/** What is known against a piece of work. */
export type Verdict = 'clear' | 'suspect' | 'blocked';

/** Says which work has killed targets. */
export interface SuspectRegistry {
  /** Whether nothing is known against any work. */
  readonly empty: boolean;
  /** @param work - Fingerprint of the work. */
  verdict(work: string): Verdict;
  /**
   * @param work - Fingerprint of work in flight when a target died.
   * @param alone - Whether it ran alone.
   */
  died(work: string, alone: boolean): void;
  /** @param work - Fingerprint of work that ran to its end. */
  completed(work: string): void;
}

const REMEMBERED = 10_000;

/** The verdicts of this entry. */
export class LocalSuspects implements SuspectRegistry {
  private readonly suspects = new LRUCache<string, true>({max: REMEMBERED});
  private readonly blocked = new LRUCache<string, true>({max: REMEMBERED});

  /** @param counters - Counts verdicts. */
  constructor(private readonly counters: Counters) {}

  /** Whether nothing is known against any work. */
  get empty(): boolean {
    return this.suspects.size === 0 && this.blocked.size === 0;
  }

  /** Fingerprints of work that is refused for good. */
  get blockedWork(): readonly string[] {
    return [...this.blocked.keys()];
  }

  verdict(work: string): Verdict {
    if (this.blocked.has(work)) return 'blocked';
    return this.suspects.has(work) ? 'suspect' : 'clear';
  }

  died(work: string, alone: boolean): void {
    if (alone) {
      this.counters.count('suspects_blocked');
      this.block(work);
      return;
    }
    this.counters.count('suspects');
    this.suspect(work);
  }

  completed(work: string): void {
    this.suspects.delete(work);
  }

  /** @param work - Work that another entry has found to run alone. */
  suspect(work: string): void {
    this.suspects.set(work, true);
  }

  /** @param work - Work that is refused for good. */
  block(work: string): void {
    this.suspects.delete(work);
    this.blocked.set(work, true);
  }
}
