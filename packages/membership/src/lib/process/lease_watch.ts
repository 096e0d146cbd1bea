/**
 * Judges the leases of other entries without a shared clock: a lease has run
 * out when its row was seen unchanged for longer than any holder may act on it,
 * on the observer's own monotonic clock.
 */

/** A lease that ran out. */
export interface LapsedLease {
  readonly entryId: string;
  /** The version that did not change: the take-over is conditional on it. */
  readonly version: number;
}

interface Sighting {
  readonly version: number;
  readonly since: number;
}

/** The leases that one entry watches. */
export class LeaseWatch {
  private sightings = new Map<string, Sighting>();

  /**
   * @param patienceMs - How long a row must stay unchanged, in milliseconds:
   *     the duration of a lease and a margin.
   */
  constructor(private readonly patienceMs: number) {}

  /**
   * Takes in what a read has shown. The sighting counts from after the answer,
   * the holder's lease from before its write was sent: the observer is always
   * later.
   *
   * @param versions - The version of each watched lease; undefined where the
   *     row is gone. A lease that is missing here is watched no more.
   * @param now - Milliseconds on the observer's clock.
   */
  observe(
    versions: ReadonlyMap<string, number | undefined>,
    now: number,
  ): void {
    const next = new Map<string, Sighting>();
    for (const [entryId, version] of versions) {
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
    return [...this.sightings]
      .filter(([, {since}]) => now - since > this.patienceMs)
      .map(([entryId, {version}]) => ({entryId, version}));
  }
}
