/**
 * When a caller that is turned away should come back.
 *
 * Answers bursts that last longer than a short wait: a caller told to come back
 * in a moment comes back into the same burst and is turned away for good, as it
 * tries again once. A place is expected when the overload is over. Overloads are
 * taken to last as long as the last few did; one that lasts longer, or is the
 * first, as long again as it has lasted. Returns that were promised already
 * are spread behind each other at the rate at which places get free, so that they
 * do not make the next burst.
 */
import type {Random} from './random.js';

/** What the time of a return goes by. */
export interface ReturnView {
  /** How long a run takes, in milliseconds; undefined: not known. */
  readonly runMs: number | undefined;
  /** Slots of all targets of the service. */
  readonly slots: number;
  /** Hosts that promise places there, this one included. */
  readonly hosts: number;
  /** The latest return that the caller agrees to, in milliseconds from now. */
  readonly latestMs: number;
}

/** An overload is over when nobody was refused for so long, in milliseconds. With
 * many hosts each refuses few, and a shorter pause would be a matter of chance. */
const CALM_MS = 1000;
/** Overloads whose length counts; the longest of them does. */
const REMEMBERED_OVERLOADS = 3;
/** How much longer an overload is expected to last, as a share of how long it has
 * lasted, when it is longer than those before it. */
const LONGER_SHARE = 1;
/** Share of the places that get free which are promised: callers that come for
 * the first time need the others. */
const PROMISED_SHARE = 0.5;
/** Until a run's length is known, in milliseconds: a place gets free with the end
 * of a run, and a shorter pause gains nothing for a request of a second. */
const FIRST_RUN_MS = 500;

interface Overload {
  readonly startedAt: number;
  lastRefusalAt: number;
}

/** Keeps what one host has promised for one service. */
export class ReturnTimes {
  private readonly lengths: number[] = [];
  private overload: Overload | undefined;
  private promised: number[] = [];

  /** @param random - Keeps hosts from promising the same moments. */
  constructor(private readonly random: Random) {}

  /**
   * @param now - A steady clock, in milliseconds.
   * @param view - The service, and how long the caller waits.
   * @returns In how many milliseconds the caller should come back.
   */
  refuse(now: number, view: ReturnView): number {
    const overload = this.overloadAt(now);
    const runMs = view.runMs ?? FIRST_RUN_MS;
    const lastedMs = now - overload.startedAt;
    const restMs = Math.max(this.restMs(lastedMs), runMs);
    this.promised = this.promised.filter(at => at > now);
    const spacingMs =
      (runMs * Math.max(1, view.hosts)) /
      (Math.max(1, view.slots) * PROMISED_SHARE);
    const place = this.promised.length + this.random.float();
    const inMs = Math.min(restMs + place * spacingMs, view.latestMs);
    this.promised.push(now + inMs);
    return Math.round(inMs);
  }

  private overloadAt(now: number): Overload {
    const known = this.overload;
    if (known && now - known.lastRefusalAt <= CALM_MS) {
      known.lastRefusalAt = now;
      return known;
    }
    if (known) this.remember(known.lastRefusalAt - known.startedAt);
    this.overload = {startedAt: now, lastRefusalAt: now};
    return this.overload;
  }

  private remember(lengthMs: number): void {
    this.lengths.push(lengthMs);
    if (this.lengths.length > REMEMBERED_OVERLOADS) this.lengths.shift();
  }

  private restMs(lastedMs: number): number {
    const expectedMs = Math.max(0, ...this.lengths) - lastedMs;
    return Math.max(expectedMs, lastedMs * LONGER_SHARE);
  }
}
