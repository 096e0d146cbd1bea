/**
 * Judges the leases of other entries without a shared clock: a lease has run
 * out when its row was seen unchanged for longer than any holder may act on it,
 * on the observer's own monotonic clock.
 */

import type {Row} from '@oathead/stores';

/** A lease that ran out. */
export interface LapsedLease {
  readonly entryId: string;
  /** The version that did not change: the take-over is conditional on it. */
  readonly version: number;
}

/** How leases are watched; times in milliseconds. */
export interface WatchSettings {
  readonly watchMs: number;
  readonly leaseMs: number;
  readonly marginMs: number;
}

interface Sighting {
  readonly version: number;
  readonly since: number;
}

/** The leases that one entry watches. */
export class LeaseWatch {
  private sightings = new Map<string, Sighting>();
  private lastLook = -Infinity;

  /** @param settings - How leases are watched. */
  constructor(private readonly settings: WatchSettings) {}

  /**
   * @param now - Milliseconds on the observer's clock.
   * @returns Whether it is time to look at the leases; then not for a while.
   */
  due(now: number): boolean {
    if (now - this.lastLook < this.settings.watchMs) return false;
    this.lastLook = now;
    return true;
  }

  /**
   * Takes in what a read has shown. The sighting counts from after the answer,
   * the holder's lease from before its write was sent: the observer is always
   * later.
   *
   * @param entryIds - The entries whose leases were read; others are watched no
   *     more.
   * @param rows - The rows of their leases, in the same order.
   * @param now - Milliseconds on the observer's clock.
   */
  observe(
    entryIds: readonly string[],
    rows: readonly (Row | undefined)[],
    now: number,
  ): void {
    const next = new Map<string, Sighting>();
    for (const [i, entryId] of entryIds.entries()) {
      const version = rows[i]?.version;
      if (version === undefined) continue;
      const known = this.sightings.get(entryId);
      const same = known?.version === version;
      next.set(entryId, same ? known : {version, since: now});
    }
    this.sightings = next;
  }

  /**
   * Starts all over. While the store is down nobody can renew; without this,
   * the first entry to reach the store after an outage would see every lease
   * unchanged for the whole outage, and take over from the living.
   */
  reset(): void {
    this.sightings.clear();
  }

  /**
   * @param now - Milliseconds on the observer's clock.
   * @returns The leases that ran out.
   */
  lapsed(now: number): readonly LapsedLease[] {
    const patienceMs = this.settings.leaseMs + this.settings.marginMs;
    return [...this.sightings]
      .filter(([, {since}]) => now - since > patienceMs)
      .map(([entryId, {version}]) => ({entryId, version}));
  }
}
