/**
 * Times of one item at its current owner. They show which stage takes the time
 * of an item that is late: waiting for a target, the queue of a target, runs
 * that are ended early, or the write of its result.
 */

/** How a run of an item ended, and its times on the host's monotonic clock. */
export interface RunTimes {
  readonly sentAtMs: number;
  /** Undefined if the run ended without an event. */
  readonly firstEventAtMs: number | undefined;
  readonly endedAtMs: number;
  /** Whether the run completed the text of the item. */
  readonly isComplete: boolean;
  /** Whether this host ended the run early. */
  readonly isAborted: boolean;
}

/**
 * A run that its host ends sooner is no work on its item, in milliseconds: it
 * has read the prompt for nothing.
 */
const MIN_WORK_MS = 1000;

/** Collects the times of the runs of one item. */
export class ItemTimeline {
  private firstSentAt: number | undefined;
  private progressAt: number | undefined;
  private workedAt: number | undefined;
  private untilFirstEvents = 0;
  private lost = 0;
  private total = 0;

  /** Time of the first send at this owner; undefined before it. */
  get firstSentAtMs(): number | undefined {
    return this.firstSentAt;
  }

  /** End of the last run that received an event; undefined before it. */
  get progressAtMs(): number | undefined {
    return this.progressAt;
  }

  /** End of the last run that was work on the item; undefined before it. */
  get workedAtMs(): number | undefined {
    return this.workedAt;
  }

  /**
   * Time from the send to the first event over all runs, in milliseconds: the
   * queue of the target and the reading of the prompt.
   */
  get queuedMs(): number {
    return this.untilFirstEvents;
  }

  /**
   * The part of `queuedMs` of runs that did not complete the text, in
   * milliseconds. The next run spends it again.
   */
  get lostMs(): number {
    return this.lost;
  }

  /** Time of all runs, in milliseconds. */
  get runMs(): number {
    return this.total;
  }

  /**
   * Adds a run that has ended.
   *
   * @param run - Times and outcome of the run.
   */
  add(run: RunTimes): void {
    const {sentAtMs, firstEventAtMs, endedAtMs, isComplete} = run;
    const untilFirstEvent = (firstEventAtMs ?? endedAtMs) - sentAtMs;
    this.firstSentAt ??= sentAtMs;
    if (firstEventAtMs !== undefined) this.progressAt = endedAtMs;
    if (isWork(run)) this.workedAt = endedAtMs;
    this.total += endedAtMs - sentAtMs;
    this.untilFirstEvents += untilFirstEvent;
    if (!isComplete) this.lost += untilFirstEvent;
  }
}

function isWork(run: RunTimes): boolean {
  const {sentAtMs, firstEventAtMs, endedAtMs, isAborted} = run;
  if (endedAtMs - sentAtMs >= MIN_WORK_MS) return true;
  return firstEventAtMs !== undefined && !isAborted;
}
