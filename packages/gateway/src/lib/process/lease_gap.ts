/**
 * Decides how much of a long time without a response of the store counts
 * against the leases of other hosts.
 *
 * If the store was out for everybody, no host could renew its lease, and none of
 * the time counts. But this host may be the only one that was cut off, for
 * example because each of its calls is relayed after a timeout. A host that has
 * died meanwhile would then never lose its lease here: it would be awaited as the
 * one to take a job over, and its own jobs left to it. What tells the two apart
 * is how many others have renewed their leases in the same time.
 */

/** What the response after a long time without one shows. */
export interface LeaseGap {
  /** Time since the response before, in milliseconds. */
  readonly gapMs: number;
  /** Number of hosts that sent heartbeats until then, including this one. */
  readonly sending: number;
  /** Number of these whose heartbeats arrived with this response. */
  readonly renewed: number;
  /** Interval between two heartbeats of a host, in milliseconds. */
  readonly heartbeatIntervalMs: number;
}

/**
 * Exponent of the share of heartbeats that got through. If the store takes
 * heartbeats only for moments, live hosts that miss several of them in a row
 * must not lose their leases.
 */
const SHARE_EXPONENT = 4;

/**
 * @param gap - What the response shows.
 * @returns Part of the gap that counts against the lease of a host that has not
 *     renewed it, in milliseconds: an interval if the store has taken as many
 *     heartbeats as it would without an outage, much less if few, 0 if none.
 */
export function silentMsIn({
  gapMs,
  sending,
  renewed,
  heartbeatIntervalMs,
}: LeaseGap): number {
  if (sending === 0) return 0;
  const expected = sending * Math.min(1, gapMs / heartbeatIntervalMs);
  const share = Math.min(1, renewed / expected);
  return share ** SHARE_EXPONENT * Math.min(gapMs, heartbeatIntervalMs);
}
