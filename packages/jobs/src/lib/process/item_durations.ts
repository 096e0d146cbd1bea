/**
 * Estimates how long items take on targets, from items that have completed, and
 * derives the urgency of pending and running items.
 */
import type {JobHead} from '../request/job_rows.js';
import type {ItemWork} from './item_work.js';

/** Urgency of an item relative to its due time. */
export type Urgency =
  /** There is enough time to wait for a period of low load. */
  | 'relaxed'
  /** Urgent: the item has to start soon to be in time. */
  | 'pressed'
  /** The item can no longer be completed in time. */
  | 'late';

/** Estimate for a pending or running item, relative to its due time. */
export interface ItemEstimate {
  readonly urgency: Urgency;
  /** Remaining time on a target, in milliseconds. */
  readonly remainingMs: number;
  /** Number of texts received so far. */
  readonly texts: number;
  /** Time until the item is due, in milliseconds; negative if it is overdue. */
  readonly untilDueMs: number;
  /**
   * Whether at least half of the item is done and it can be completed in time.
   */
  readonly nearlyDone: boolean;
}

/** Fields of a job head that the estimates depend on. */
export type ItemKind = Pick<JobHead, 'hostName' | 'completionGoalMs'>;

/** Texts that a run has received, and the time from the first to its end. */
export interface RunSpeed {
  readonly texts: number;
  readonly streamedMs: number;
}

/** Moving averages over the items of a host name. */
interface ItemStats {
  /** Texts per item. */
  readonly texts: number;
  /** Time on a target per text, in milliseconds. */
  readonly msPerText: number;
}

/**
 * Weight of the newest item in the moving average: about the last ten items
 * count.
 */
const EWMA_WEIGHT = 0.1;
/**
 * Estimated duration of an item before any item has completed, as a fraction of
 * the completion goal of its job.
 */
const INITIAL_ESTIMATE_FRACTION = 0.25;
/** Number of texts from which a run tells how long one takes. */
const MIN_TEXTS_OF_RUN = 5;
/** Remaining fraction at or below which an item counts as nearly done. */
const NEARLY_DONE_FRACTION = 0.5;
/** Lower bound for the remaining fraction of an item that was interrupted. */
const MIN_REMAINING_FRACTION = 0.1;
/**
 * An item is urgent if the time until it is due is less than this multiple of
 * its remaining time. The margin covers two bursts of online requests in which
 * it is preempted.
 */
const URGENT_DURATION_FACTOR = 2;

/** Keeps the average size and speed of items by host name. */
export class ItemDurations {
  private readonly statsByHostName = new Map<string, ItemStats>();
  /** Time per text over all runs, in milliseconds, by host name. */
  private readonly msPerTextByHostName = new Map<string, number>();

  /**
   * Adds a completed item to the averages.
   *
   * @param kind - Head of its job.
   * @param work - The completed item.
   */
  add({hostName}: ItemKind, work: ItemWork): void {
    const texts = work.texts.length;
    const generated = texts - work.inheritedTexts;
    if (generated <= 0) return;
    const newest = {texts, msPerText: work.runTimeMs / generated};
    const stats = this.statsByHostName.get(hostName) ?? newest;
    this.statsByHostName.set(hostName, {
      texts: movingAverage(stats.texts, newest.texts),
      msPerText: movingAverage(stats.msPerText, newest.msPerText),
    });
  }

  /**
   * Adds a run, whether it completed its item or not, to the averages. A host
   * that has taken jobs over, or whose items all give way, has no completed
   * item for a long time.
   *
   * @param kind - Head of the item's job.
   * @param run - The run.
   */
  addRun({hostName}: ItemKind, {texts, streamedMs}: RunSpeed): void {
    if (texts < MIN_TEXTS_OF_RUN) return;
    const newest = streamedMs / texts;
    const mean = this.msPerTextByHostName.get(hostName) ?? newest;
    this.msPerTextByHostName.set(hostName, movingAverage(mean, newest));
  }

  /**
   * Estimates the remaining time and the urgency of an item.
   *
   * @param kind - Head of its job.
   * @param work - The pending or running item.
   * @param untilDueMs - Time until it is due, in milliseconds.
   * @returns The estimate.
   */
  estimate(kind: ItemKind, work: ItemWork, untilDueMs: number): ItemEstimate {
    const totalMs = this.totalMs(kind);
    const remainingFraction = Math.max(
      this.remainingFraction(kind, work),
      MIN_REMAINING_FRACTION,
    );
    const remainingMs = totalMs * remainingFraction;
    const urgency = urgencyOf(remainingMs, untilDueMs);
    const nearlyDone =
      urgency !== 'late' && remainingFraction <= NEARLY_DONE_FRACTION;
    const texts = work.texts.length;
    return {urgency, remainingMs, texts, untilDueMs, nearlyDone};
  }

  private totalMs({hostName, completionGoalMs}: ItemKind): number {
    const stats = this.statsByHostName.get(hostName);
    if (!stats) return completionGoalMs * INITIAL_ESTIMATE_FRACTION;
    return stats.texts * stats.msPerText;
  }

  private remainingFraction(kind: ItemKind, work: ItemWork): number {
    const stats = this.statsByHostName.get(kind.hostName);
    if (stats) return 1 - work.texts.length / stats.texts;
    const msPerText = this.msPerTextByHostName.get(kind.hostName);
    const doneMs =
      msPerText === undefined ? work.runTimeMs : work.texts.length * msPerText;
    return 1 - doneMs / this.totalMs(kind);
  }
}

function urgencyOf(remainingMs: number, untilDueMs: number): Urgency {
  if (untilDueMs < remainingMs) return 'late';
  return untilDueMs < remainingMs * URGENT_DURATION_FACTOR
    ? 'pressed'
    : 'relaxed';
}

function movingAverage(mean: number, newest: number): number {
  return mean + (newest - mean) * EWMA_WEIGHT;
}

/**
 * Orders items by priority. Items that can be completed in time go before late
 * ones: in overload, ordering by due time alone runs late items first and makes
 * all others late. Among them, the shortest remaining time goes first: ordered
 * by due time alone, a preempted item lost its slot to a new item of its own
 * job, and in overload 229 of 532 s of target time were spent on items that did
 * not finish. Of two items with the same estimate, as on a host that has run
 * none yet, the one with more text goes first.
 *
 * @param a - Estimate of an item.
 * @param b - Estimate of another item.
 * @returns Negative if `a` goes first.
 */
export function compareEstimates(a: ItemEstimate, b: ItemEstimate): number {
  return (
    Number(a.urgency === 'late') - Number(b.urgency === 'late') ||
    a.remainingMs - b.remainingMs ||
    b.texts - a.texts ||
    a.untilDueMs - b.untilDueMs
  );
}
