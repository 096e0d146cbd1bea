/**
 * Suspends targets that have failed, for a time that grows exponentially with
 * consecutive failures. One success ends the suspension.
 *
 * A target that crashed or became unreachable has the lowest load of all, and
 * would get request after request until it is removed from the target list.
 */
import type {Clock, EventLog} from '@oathead/core';

/** First suspension, in milliseconds: a few round trips of a retry. */
const BASE_SUSPENSION_MS = 100;
/**
 * Maximum suspension, in milliseconds. Within this time a dead target is
 * removed from the list, or the restarted server is listed under a new ID.
 */
const MAX_SUSPENSION_MS = 3000;
/**
 * First suspension of a full target, in milliseconds. It has free slots again
 * after a few stream events.
 */
const BASE_FULL_SUSPENSION_MS = 40;
/**
 * Maximum suspension of a target that keeps declining requests because it is
 * full, in milliseconds. Such a target is occupied by requests that are missing
 * in the load reports, such as those of callers that have disconnected. With a
 * constant suspension of 40 ms, eight hosts sent 400 items per second to two
 * such targets, which declined 1,044 of them within 2.6 s.
 */
const MAX_FULL_SUSPENSION_MS = 640;

interface Suspension {
  readonly failures: number;
  /** Number of consecutive responses that the target is full. */
  readonly declines: number;
  readonly until: number;
}

/** Suspended targets with the end of their suspension. */
export class TargetSuspensions {
  private readonly suspended = new Map<string, Suspension>();
  private readonly lastActivityAt = new Map<string, number>();

  /**
   * @param clock - Time for the suspensions.
   * @param log - Log for the suspensions.
   */
  constructor(
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /** @param id - ID of a target from which any data was received. */
  recordActivity(id: string): void {
    this.lastActivityAt.set(id, this.clock.now());
  }

  /**
   * @param id - ID of a target.
   * @param since - A time of the clock, in milliseconds.
   * @returns Whether any data was received from it since then.
   */
  hasActivitySince(id: string, since: number): boolean {
    return (this.lastActivityAt.get(id) ?? -Infinity) > since;
  }

  /** @returns Whether the target is suspended. */
  isSuspended(id: string): boolean {
    const until = this.suspended.get(id)?.until;
    return until !== undefined && until > this.clock.now();
  }

  /**
   * @returns Whether the target is suspended because it failed this host, and
   *     not only because it is full.
   */
  isFailing(id: string): boolean {
    return this.isSuspended(id) && this.suspended.get(id)!.declines === 0;
  }

  /** @param id - ID of a target that completed a response. */
  recordSuccess(id: string): void {
    this.suspended.delete(id);
  }

  /** @param id - ID of a target that declined a request because it is full. */
  recordDecline(id: string): void {
    // Requests that were in flight at the same time count as one.
    if (this.isSuspended(id)) return;
    const {failures = 0, declines = 0} = this.suspended.get(id) ?? {};
    const pauseMs = Math.min(
      BASE_FULL_SUSPENSION_MS * 2 ** declines,
      MAX_FULL_SUSPENSION_MS,
    );
    const until = this.clock.now() + pauseMs;
    this.suspended.set(id, {failures, declines: declines + 1, until});
  }

  /**
   * @param id - ID of a target that broke off a connection or was unreachable.
   * @param reason - The error, for the log.
   */
  recordFailure(id: string, reason: string): void {
    const failures = (this.suspended.get(id)?.failures ?? 0) + 1;
    const pauseMs = Math.min(
      BASE_SUSPENSION_MS * 2 ** (failures - 1),
      MAX_SUSPENSION_MS,
    );
    const until = this.clock.now() + pauseMs;
    this.suspended.set(id, {failures, declines: 0, until});
    this.log.event('target-suspended', {target: id, reason, failures, pauseMs});
  }

  /** @param id - ID of a target that was removed. */
  remove(id: string): void {
    this.lastActivityAt.delete(id);
    this.suspended.delete(id);
  }
}
