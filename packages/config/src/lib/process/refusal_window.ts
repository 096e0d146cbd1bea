/** Refusals of the last minutes, by reason. */
import type {Clock} from '@oathead/core';
import type {RefusalCount} from '../version/status_report.js';

const BUCKET_MS = 30_000;
const BUCKETS = 10;

interface Tally {
  readonly kind: string;
  readonly pool?: string;
  /** Counts by number of the bucket. */
  readonly buckets: Map<number, number>;
  lastAt: number;
}

/**
 * Counts refusals over the last five minutes. What is counted by is bounded:
 * kinds of refusal times declared models.
 */
export class RefusalWindow {
  private readonly tallies = new Map<string, Tally>();

  /** @param clock - Tells what is recent. */
  constructor(private readonly clock: Clock) {}

  /**
   * Counts one refusal.
   *
   * @param kind - Kind of the refusal.
   * @param pool - The declared model or service that was asked for, if any.
   */
  count(kind: string, pool?: string): void {
    const key = `${kind} ${pool ?? ''}`;
    const tally = this.tallies.get(key) ?? {
      kind,
      pool,
      buckets: new Map<number, number>(),
      lastAt: 0,
    };
    const bucket = this.bucket();
    tally.buckets.set(bucket, (tally.buckets.get(bucket) ?? 0) + 1);
    tally.lastAt = this.clock.wallTime();
    this.tallies.set(key, tally);
  }

  /** @returns The refusals of the last minutes, most frequent first. */
  recent(): readonly RefusalCount[] {
    this.forgetOld();
    return [...this.tallies.values()]
      .map(({kind, pool, buckets, lastAt}) => ({
        kind,
        pool,
        count: [...buckets.values()].reduce((sum, n) => sum + n, 0),
        lastAt,
      }))
      .sort((a, b) => b.count - a.count);
  }

  private forgetOld(): void {
    const oldest = this.bucket() - BUCKETS;
    for (const [key, {buckets}] of this.tallies) {
      for (const bucket of buckets.keys()) {
        if (bucket <= oldest) buckets.delete(bucket);
      }
      if (buckets.size === 0) this.tallies.delete(key);
    }
  }

  private bucket(): number {
    return Math.floor(this.clock.now() / BUCKET_MS);
  }
}
