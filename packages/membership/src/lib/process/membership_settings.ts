/** Settings of an entry's membership. */

/** Settings of an entry's membership; times in milliseconds. */
export interface MembershipSettings {
  readonly entryId: string;
  /** Host and port for the system's own connections. */
  readonly address: string;
  readonly dataCentre: string;
  /** Taken when the fleet first starts; a stored count goes before it. */
  readonly shareCount: number;
  readonly headPollMs: number;
  readonly watchMs: number;
  readonly renewMs: number;
  readonly leaseMs: number;
  /** By how much observers wait longer than a holder acts. */
  readonly marginMs: number;
  /** How many entries of the ring an entry watches. */
  readonly neighbours: number;
  /** How long work may take to finish before a share goes to another entry. */
  readonly handOverMs: number;
}

/**
 * Defaults. At 340 entries: 340 head reads, 340 × 2 / 3 = 227 lease reads and
 * 340 / 5 = 68 renewals a second; a dead entry is noticed within 15 + 2 + 3 s.
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
