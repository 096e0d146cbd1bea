/**
 * Lease that determines whether the configuration of this host is recent enough
 * to act on.
 *
 * Guards against a revoked key that is still accepted by a host which has not
 * received the revocation because it is partitioned, refused by the store, or
 * was suspended and resumed. The lease is renewed only by a store response that
 * shows the latest version. It is counted from before the request, since a
 * change may be committed while the response is in transit.
 *
 * A clock may stop while the host is suspended, and the time of day may jump.
 * The elapsed time is therefore the maximum over several clocks.
 */
import type {Clock} from './clock.js';

/** Readings of several clocks in milliseconds, always in the same order. */
export type ClockReadings = readonly number[];

/**
 * @param clock - Clock of this host.
 * @returns The monotonic clock, which may not count a suspension, and the time
 *     of day.
 */
export function readClocks(clock: Clock): ClockReadings {
  return [clock.now(), clock.wallTime()];
}

/** A store request in flight that can renew the lease. */
export interface LeaseRenewal {
  readonly startedAt: ClockReadings;
  /** Latest version that the store had shown before the request. */
  readonly minVersion: number;
}

/** Dependencies of a {@link FreshnessLease}. */
export interface FreshnessContext {
  /** @returns The current clock readings. */
  readonly readClocks: () => ClockReadings;
  /** @returns The latest version that any store response has shown. */
  readonly newestVersion: () => number;
  /**
   * @returns The length of the lease in milliseconds; undefined if it never
   *     expires.
   */
  readonly leaseMs: () => number | undefined;
}

/** The lease of one host. */
export class FreshnessLease {
  private renewedAt: ClockReadings | undefined;

  /** @param context - Clocks, store version and length of the lease. */
  constructor(private readonly context: FreshnessContext) {}

  /**
   * @returns The argument for {@link renew}; to be taken before the store
   *     request is sent.
   */
  startRenewal(): LeaseRenewal {
    const {readClocks, newestVersion} = this.context;
    return {startedAt: readClocks(), minVersion: newestVersion()};
  }

  /**
   * Renews the lease with a store response. A response with a version below the
   * one that was seen before the request is stale and does not renew the lease.
   *
   * @param renewal - The request, as returned by {@link startRenewal}.
   * @param version - Latest version of the store according to the response.
   * @returns Whether the lease was renewed.
   */
  renew({startedAt, minVersion}: LeaseRenewal, version: number): boolean {
    if (version < minVersion) return false;
    // Responses may arrive out of order: the latest request counts.
    const isNewer = !this.renewedAt || startedAt[0]! >= this.renewedAt[0]!;
    if (isNewer) this.renewedAt = startedAt;
    return isNewer;
  }

  /**
   * Time since the start of the last renewal in milliseconds; infinite before
   * the first one.
   */
  get ageMs(): number {
    const {renewedAt} = this;
    if (!renewedAt) return Infinity;
    const elapsed = this.context
      .readClocks()
      .map((now, i) => now - renewedAt[i]!);
    return Math.max(...elapsed);
  }

  /**
   * Whether the lease is valid, so that this host may act on its configuration.
   */
  get isValid(): boolean {
    const leaseMs = this.context.leaseMs();
    return leaseMs === undefined || this.ageMs <= leaseMs;
  }
}
