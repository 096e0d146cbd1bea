/**
 * Decides on the requests of one account, at its quota owner.
 *
 * Two limits hold. In any window no more than the quota of a window is granted.
 * In addition, grants follow an even pace with a burst, unless the owner may go
 * ahead of it. The even pace is what a new owner, which does not know what was
 * granted before, can continue: the previous owner has granted at most a burst
 * and the even pace. An owner may therefore go ahead only while a record that
 * survives all hosts says so; a new owner that finds the record assumes that
 * the window is used up.
 */
import {QuotaPromises} from './quota_promises.js';
import {
  GRANT_VALIDITY_MS,
  type QuotaDemand,
  type QuotaLimits,
  type QuotaReturn,
  type QuotaVerdict,
} from './quota_tolerance.js';
import {QuotaWindow} from './quota_window.js';

/**
 * Time after a change of owner during which the previous one may still grant
 * and its grants may still be sent, in milliseconds: the hosts learn of a
 * change at different times.
 */
export const OWNER_CHANGE_MARGIN_MS = 700 + GRANT_VALIDITY_MS;
/**
 * Grants that a new owner allows at once: several hosts that take themselves
 * for the owner must not add up to much.
 */
const INITIAL_LEVEL = 2;
/** Longest time that a caller is told, in milliseconds, also for a rate of 0. */
const MAX_WAIT_MS = 60_000;
/** An account with less than this share of its burst left may go ahead soon. */
const LOW_LEVEL_SHARE = 0.2;

const GRANTED: QuotaVerdict = {kind: 'granted'};

/** What is known about grants of earlier quota owners. */
export type EarlierGrants =
  /** They may have used up the quota of the window. */
  | {readonly kind: 'unknown'}
  /** They followed the even pace. */
  | {readonly kind: 'even'}
  /** They may have been ahead of the even pace until a time, even a past one. */
  | {readonly kind: 'ahead'; readonly until: number};

/** Grants and reservations of one account. */
export class QuotaLedger {
  private readonly window = new QuotaWindow();
  private readonly promises = new QuotaPromises();
  /**
   * Retries of callers who would not be recognized when they return; their
   * times are kept apart, but no room is held for them.
   */
  private readonly unheldRetries = new QuotaPromises();
  /** Number of grants that the even pace allows now. */
  private level: number;
  private levelAt: number;
  private earlier: EarlierGrants = {kind: 'unknown'};
  private aheadUntil = -Infinity;

  /**
   * @param since - Time on a monotonic clock since which this host has been the
   *     only quota owner, in milliseconds.
   * @param limits - Current limits of the account.
   * @param now - Current time on the same clock.
   */
  constructor(
    private since: number,
    limits: QuotaLimits,
    now: number,
  ) {
    this.levelAt = since;
    this.level = INITIAL_LEVEL;
    // All grants of earlier owners have left the window.
    if (now >= since + limits.windowMs + OWNER_CHANGE_MARGIN_MS) {
      this.level = limits.evenBurst;
      this.levelAt = now;
    }
  }

  /**
   * Decides on one more request.
   *
   * @param limits - Current limits of the account.
   * @param demand - The request.
   * @param now - Time on a monotonic clock, in milliseconds.
   * @returns The decision, with the time to wait before a retry if refused.
   */
  take(limits: QuotaLimits, demand: QuotaDemand, now: number): QuotaVerdict {
    this.refill(limits, now);
    const room = this.roomAt(limits, now, now);
    const isGranted = room >= 1 && this.mayUse(room, limits, demand, now);
    if (!isGranted) return this.scheduleReturn(limits, demand, now);
    this.window.add(limits.spanMs, now);
    this.level = Math.max(0, this.level - 1);
    return GRANTED;
  }

  /**
   * Refunds a request that did not run.
   *
   * @param grantedAt - Time of the grant, on a monotonic clock in milliseconds;
   *     undefined if unknown.
   * @param returning - When its caller returns; the room is reserved for it.
   *     Undefined if it does not return.
   */
  refund(grantedAt: number | undefined, returning?: QuotaReturn): void {
    if (!this.window.remove(grantedAt)) return;
    this.level++;
    if (returning) this.promises.add(returning.at, returning.key);
  }

  /**
   * Learns about the grants of earlier owners.
   *
   * @param earlier - What a record says that was read at least
   *     {@link OWNER_CHANGE_MARGIN_MS} after the change of owner.
   * @param limits - Current limits of the account.
   */
  learn(earlier: EarlierGrants, limits: QuotaLimits): void {
    if (this.earlier.kind !== 'unknown') return;
    this.earlier = earlier;
    // What the even pace has allowed since then was not added yet.
    const missedMs = Math.max(0, this.levelAt - this.evenFrom(limits));
    this.level += missedMs * limits.perMs;
  }

  /**
   * Allows grants ahead of the even pace.
   *
   * @param until - Time at which this ends, on a monotonic clock in
   *     milliseconds.
   */
  allowAhead(until: number): void {
    this.aheadUntil = until;
  }

  /**
   * Forgets what is known of other owners. Grants of this host still count.
   *
   * @param now - Time on a monotonic clock, in milliseconds.
   */
  distrust(now: number): void {
    this.since = now;
    this.levelAt = now;
    this.level = Math.min(INITIAL_LEVEL, this.level);
    this.earlier = {kind: 'unknown'};
    this.aheadUntil = -Infinity;
  }

  /**
   * @param limits - Current limits of the account.
   * @param now - Time on a monotonic clock, in milliseconds.
   * @returns Whether requests are refused soon unless this host learns about
   *     earlier owners.
   */
  needsKnowledge(limits: QuotaLimits, now: number): boolean {
    const {since, earlier, level} = this;
    return (
      earlier.kind === 'unknown' &&
      now >= since + OWNER_CHANGE_MARGIN_MS &&
      now < this.evenFrom(limits) &&
      level < INITIAL_LEVEL
    );
  }

  /**
   * @param limits - Current limits of the account.
   * @param renewMs - How long before its end a permission is to be renewed, in
   *     milliseconds.
   * @param now - Time on a monotonic clock, in milliseconds.
   * @returns Whether the account uses up its burst, so that it should be
   *     allowed to go ahead of the even pace.
   */
  needsAhead(limits: QuotaLimits, renewMs: number, now: number): boolean {
    // Before, requests of an earlier owner may be in the window.
    const countsWindow = this.since + limits.windowMs + OWNER_CHANGE_MARGIN_MS;
    return (
      now >= countsWindow &&
      this.level < limits.evenBurst * LOW_LEVEL_SHARE &&
      this.aheadUntil - now < renewMs
    );
  }

  /** @returns The number of lapsed reservations since the last call. */
  takeLapsed(): number {
    return this.promises.takeLapsed();
  }

  /** Time from which the even pace is granted. */
  private evenFrom({windowMs}: QuotaLimits): number {
    const {earlier, since} = this;
    switch (earlier.kind) {
      case 'unknown':
        return since + windowMs + OWNER_CHANGE_MARGIN_MS;
      case 'even':
        return since + OWNER_CHANGE_MARGIN_MS;
      case 'ahead':
        return (
          Math.max(since, Math.min(since, earlier.until) + windowMs) +
          OWNER_CHANGE_MARGIN_MS
        );
    }
  }

  private refill(limits: QuotaLimits, now: number): void {
    const gained = this.gain(limits, this.levelAt, now);
    this.levelAt = Math.max(this.levelAt, now);
    this.level = Math.min(limits.evenBurst, this.level + gained);
  }

  private gain(limits: QuotaLimits, from: number, to: number): number {
    const {windowMs, start, perMs} = limits;
    const startEnd = this.since + windowMs;
    const startMs = overlapMs(from, to, this.since, startEnd);
    const evenMs = overlapMs(from, to, this.evenFrom(limits), Infinity);
    return (startMs / windowMs) * start + evenMs * perMs;
  }

  /** Number of grants possible at a time if there are none before it. */
  private roomAt(limits: QuotaLimits, at: number, now: number): number {
    const {spanMs, perSpan} = limits;
    const used =
      at > now
        ? this.window.countAt(spanMs, at)
        : this.window.count(spanMs, now);
    const even = this.isAhead(now)
      ? Infinity
      : this.level + this.gain(limits, this.levelAt, at);
    return Math.min(perSpan - used, even);
  }

  private isAhead(now: number): boolean {
    return now < this.aheadUntil;
  }

  /** Whether a request may use room that there is, or it is reserved. */
  private mayUse(
    room: number,
    limits: QuotaLimits,
    {returning, key}: QuotaDemand,
    now: number,
  ): boolean {
    const {promises} = this;
    const reserved = promises.count(now);
    if (reserved === 0) return true;
    if (returning && promises.take(now, key)) return true;
    if (room >= reserved + 1) return true;
    // Later reservations may wait for room that is still to come.
    const lastAt = Math.max(now, promises.lastAt ?? now);
    return (
      room >= promises.due(now) + 1 &&
      this.roomAt(limits, lastAt, now) >= reserved + 1
    );
  }

  private scheduleReturn(
    limits: QuotaLimits,
    {maxWaitMs, key}: QuotaDemand,
    now: number,
  ): QuotaVerdict {
    const {promises, unheldRetries} = this;
    const earlier = promises.count(now) + unheldRetries.count(now);
    const at = this.timeOfRoom(limits, earlier + 1, now);
    const waitMs = Math.ceil(Math.max(1, Math.min(at - now, MAX_WAIT_MS)));
    if (maxWaitMs === undefined) unheldRetries.add(now + waitMs);
    const isReserved = maxWaitMs !== undefined && waitMs <= maxWaitMs;
    if (isReserved) promises.add(now + waitMs, key);
    return {kind: 'over', waitMs, isReserved};
  }

  /** Earliest time at which there is room for a number of requests. */
  private timeOfRoom(limits: QuotaLimits, count: number, now: number): number {
    const {spanMs, perSpan, windowMs, perMs} = limits;
    const inWindow = this.window.timeOfFallTo(perSpan - count, spanMs);
    // A window does not have that much room.
    if (inWindow === Infinity) return now + windowMs;
    if (this.isAhead(now)) return inWindow;
    const missing = Math.max(0, count - this.level);
    const evenFrom = Math.max(now, this.expectedEvenFrom(limits, now));
    const even = missing === 0 ? now : evenFrom + missing / perMs;
    return Math.max(inWindow, even);
  }

  /** What is unknown just after a change of owner will be known soon. */
  private expectedEvenFrom(limits: QuotaLimits, now: number): number {
    const evenFrom = this.evenFrom(limits);
    if (this.earlier.kind !== 'unknown') return evenFrom;
    const knownAt = this.since + OWNER_CHANGE_MARGIN_MS;
    return now < knownAt ? Math.min(knownAt, evenFrom) : evenFrom;
  }
}

function overlapMs(
  from: number,
  to: number,
  start: number,
  end: number,
): number {
  return Math.max(0, Math.min(to, end) - Math.max(from, start));
}
