/**
 * Targets that have just failed get nothing for a while, longer with each
 * failure in a row; one success clears them.
 *
 * Guards against sending request after request to a target that crashed or
 * went dark before the list of targets says so: it has the least load of all.
 */
import type {Clock, EventLog} from '@oathead/core';

/** The first pause, in milliseconds: a few times a retry's round trip. */
const FIRST_PAUSE_MS = 100;
/** The longest pause, in milliseconds: within it the list has dropped a dead
 * target, or a restarted one has a new id. */
const LONGEST_PAUSE_MS = 3000;
/** A full target has room again after a few stream events, in milliseconds. */
const FULL_PAUSE_MS = 40;
/** The longest pause of a target that keeps saying that it is full, in ms. It is
 * full of what the loads of hosts do not tell, such as requests of callers that
 * have left: two such targets were sent 400 items a second by eight hosts, and
 * declined 1,044 of them within 2.6 s, while each pause was 40 ms. */
const LONGEST_FULL_PAUSE_MS = 640;

interface Suspension {
  readonly failures: number;
  /** How often it said that it was full, in a row. */
  readonly declines: number;
  readonly until: number;
}

/** Who is suspended, and until when. */
export class TargetSuspensions {
  private readonly suspended = new Map<string, Suspension>();
  private readonly heardAt = new Map<string, number>();

  /**
   * @param clock - Time for the pauses.
   * @param log - Where suspensions are written.
   */
  constructor(
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /** @param id - A target from which something came. */
  heard(id: string): void {
    this.heardAt.set(id, this.clock.now());
  }

  /**
   * @param id - A target.
   * @param since - A time of the clock.
   * @returns Whether anything came from it since then.
   */
  heardSince(id: string, since: number): boolean {
    return (this.heardAt.get(id) ?? -Infinity) > since;
  }

  /** @returns Whether the target should get nothing now. */
  has(id: string): boolean {
    const until = this.suspended.get(id)?.until;
    return until !== undefined && until > this.clock.now();
  }

  /** @param id - A target that gave a whole answer. */
  succeeded(id: string): void {
    this.suspended.delete(id);
  }

  /** @param id - A target that said it was full. */
  declined(id: string): void {
    // Requests that were on their way together tell the same once.
    if (this.has(id)) return;
    const {failures = 0, declines = 0} = this.suspended.get(id) ?? {};
    const pauseMs = Math.min(
      FULL_PAUSE_MS * 2 ** declines,
      LONGEST_FULL_PAUSE_MS,
    );
    const until = this.clock.now() + pauseMs;
    this.suspended.set(id, {failures, declines: declines + 1, until});
  }

  /**
   * @param id - A target that broke off, or could not be reached.
   * @param reason - How, for the log.
   */
  failed(id: string, reason: string): void {
    const failures = (this.suspended.get(id)?.failures ?? 0) + 1;
    const pauseMs = Math.min(
      FIRST_PAUSE_MS * 2 ** (failures - 1),
      LONGEST_PAUSE_MS,
    );
    const until = this.clock.now() + pauseMs;
    this.suspended.set(id, {failures, declines: 0, until});
    this.log.event('target-suspended', {target: id, reason, failures, pauseMs});
  }

  /** @param id - A target that is gone. */
  forget(id: string): void {
    this.heardAt.delete(id);
    this.suspended.delete(id);
  }
}
