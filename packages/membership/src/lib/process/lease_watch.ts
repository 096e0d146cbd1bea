/**
 * Detects expired leases of other entries without synchronised clocks. A lease
 * counts as expired when its row has stayed unchanged, by the observer's own
 * monotonic clock, for longer than any holder may act on it.
 */

import type {Row} from '@oathead/stores';

/** A lease that has expired. */
export interface ExpiredLease {
  readonly entryId: string;
  /**
   * The version that stayed unchanged. The take-over is conditional on it, so
   * that it fails if the holder renews the lease first.
   */
  readonly version: number;
}

/** Settings of {@link LeaseWatch}; times in milliseconds. */
export interface WatchSettings {
  /** Interval between reads of the watched leases. */
  readonly watchMs: number;
  /** How long a holder may act on its lease without renewal. */
  readonly leaseMs: number;
  /** Additional time that an observer waits before it takes over. */
  readonly marginMs: number;
}

interface Observation {
  readonly version: number;
  readonly since: number;
}

/** The leases that one entry watches. */
export class LeaseWatch {
  private observations = new Map<string, Observation>();
  private lastCheck = -Infinity;

  /** @param settings - Intervals and timeouts. */
  constructor(private readonly settings: WatchSettings) {}

  /**
   * @param now - Milliseconds on the observer's clock.
   * @returns Whether the leases are due to be read. After true, the next call
   *     that returns true is at least `watchMs` later.
   */
  due(now: number): boolean {
    if (now - this.lastCheck < this.settings.watchMs) return false;
    this.lastCheck = now;
    return true;
  }

  /**
   * Records the result of a read. An observation starts when the response has
   * arrived, while the holder's lease starts before its write is sent. So the
   * holder's lease always expires before the observation does.
   *
   * @param entryIds - Ids of the entries whose leases were read. All others are
   *     no longer watched.
   * @param rows - Their lease rows, in the same order.
   * @param now - Time of the response, in milliseconds on the observer's clock.
   */
  observe(
    entryIds: readonly string[],
    rows: readonly (Row | undefined)[],
    now: number,
  ): void {
    const next = new Map<string, Observation>();
    for (const [i, entryId] of entryIds.entries()) {
      const version = rows[i]?.version;
      if (version === undefined) continue;
      const known = this.observations.get(entryId);
      const same = known?.version === version;
      next.set(entryId, same ? known : {version, since: now});
    }
    this.observations = next;
  }

  /**
   * Discards all observations. While the store is down no entry can renew its
   * lease. Without this reset, the first entry to reach the store after an
   * outage would find every lease unchanged for the whole outage, and would
   * take over from entries that are alive.
   */
  reset(): void {
    this.observations.clear();
  }

  /**
   * @param now - Milliseconds on the observer's clock.
   * @returns The watched leases that have expired.
   */
  expired(now: number): readonly ExpiredLease[] {
    const takeOverAfterMs = this.settings.leaseMs + this.settings.marginMs;
    return [...this.observations]
      .filter(([, {since}]) => now - since > takeOverAfterMs)
      .map(([entryId, {version}]) => ({entryId, version}));
  }
}
