/**
 * Whether what this host knows is recent enough to act by.
 *
 * Answers a withdrawn key that goes on being served at a host which does not hear of
 * it: cut off, turned away by the store, or frozen and woken again. The right to act
 * is a lease: it is renewed only by an answer of the store that shows the newest
 * version, and counted from before the question, since a change may have been made
 * while the answer was on its way.
 *
 * A clock may stand still while the host does, and the time of day may jump: the time
 * that has passed is the longest that any of several clocks shows.
 */
import type {Clock} from './clock.js';

/** Readings of several clocks, in milliseconds, always in the same order. */
export type ClockReadings = readonly number[];

/**
 * @param clock - Of this host.
 * @returns Its steady clock, which may not count a suspension, and the time of day.
 */
export function readClocks(clock: Clock): ClockReadings {
  return [clock.now(), clock.wallTime()];
}

/** A question to the store that is under way. */
export interface FreshnessQuestion {
  readonly askedAt: ClockReadings;
  /** The newest version that the store had shown until then. */
  readonly leastVersion: number;
}

/** What a {@link FreshnessLease} needs. */
export interface FreshnessContext {
  /** @returns The clocks now. */
  readonly readClocks: () => ClockReadings;
  /** @returns The newest version that any answer of the store has shown. */
  readonly newestVersion: () => number;
  /** @returns How long an answer counts, in milliseconds; undefined: for ever. */
  readonly leaseMs: () => number | undefined;
}

/** The lease of one host. */
export class FreshnessLease {
  private provenAt: ClockReadings | undefined;

  /** @param context - Clocks, and how long the lease is. */
  constructor(private readonly context: FreshnessContext) {}

  /** @returns What {@link prove} has to be called with; taken before asking. */
  ask(): FreshnessQuestion {
    const {readClocks, newestVersion} = this.context;
    return {askedAt: readClocks(), leastVersion: newestVersion()};
  }

  /**
   * Guards against an answer out of a store's past: it shows a version below one that
   * was seen before the question, and proves nothing.
   *
   * @param question - What was asked.
   * @param version - The store's newest version, as the answer has it.
   * @returns Whether the answer renewed the lease.
   */
  prove({askedAt, leastVersion}: FreshnessQuestion, version: number): boolean {
    if (version < leastVersion) return false;
    // Answers may overtake each other: what was asked later counts.
    const isLater = !this.provenAt || askedAt[0]! >= this.provenAt[0]!;
    if (isLater) this.provenAt = askedAt;
    return isLater;
  }

  /** For how long nothing is known, in milliseconds. */
  get ageMs(): number {
    const {provenAt} = this;
    if (!provenAt) return Infinity;
    const passed = this.context
      .readClocks()
      .map((now, i) => now - provenAt[i]!);
    return Math.max(...passed);
  }

  /** Whether this host may act by what it knows. */
  get isValid(): boolean {
    const leaseMs = this.context.leaseMs();
    return leaseMs === undefined || this.ageMs <= leaseMs;
  }
}
