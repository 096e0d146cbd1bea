/** Settings of an entry's membership, and their defaults. */

/** Settings of an entry's membership; times in milliseconds. */
export interface MembershipSettings {
  readonly entryId: string;
  /** Host and port for connections between the system's own processes. */
  readonly address: string;
  readonly dataCentre: string;
  /**
   * Number of shares. Used only when the fleet starts for the first time; after
   * that the stored number takes precedence.
   */
  readonly shareCount: number;
  /** Interval between reads of the head. */
  readonly headPollMs: number;
  /** Interval between reads of the watched leases. */
  readonly watchMs: number;
  /** Interval between renewals of the lease. */
  readonly renewMs: number;
  /** How long an entry may act on its lease without renewal. */
  readonly leaseMs: number;
  /** How much longer than `leaseMs` an observer waits before a take-over. */
  readonly marginMs: number;
  /** Number of successors on the ring whose leases an entry watches. */
  readonly neighbours: number;
  /** Timeout for finishing the work on a share before its hand-over. */
  readonly handOverMs: number;
}

/**
 * Default settings. With 340 entries they cause 340 head reads, 340 × 2 / 3 =
 * 227 lease reads and 340 / 5 = 68 renewals per second. A dead entry is
 * detected within 15 + 2 + 3 s: lease, margin and watch interval.
 */
export const MEMBERSHIP_DEFAULTS = {
  shareCount: 64,
  headPollMs: 1_000,
  watchMs: 3_000,
  renewMs: 5_000,
  leaseMs: 15_000,
  marginMs: 2_000,
  neighbours: 2,
  handOverMs: 120_000,
} as const satisfies Omit<
  MembershipSettings,
  'entryId' | 'address' | 'dataCentre'
>;
