/**
 * How long items take at targets, learnt from those that were done, and what
 * that means for those that wait.
 */
import type {ItemWork} from './item_work.js';
import type {OwnedJob} from './owned_job.js';

/** How an item stands to the time at which it is due. */
export type Urgency =
  /** There is time to wait for a quiet moment. */
  | 'relaxed'
  /** It has to start soon. */
  | 'pressed'
  /** It can't be done in time any more. */
  | 'late';

/** Weight of the newest item in the mean: some ten items count. */
const NEWEST_WEIGHT = 0.1;
/** Before any item was done, it is taken to need this share of its job's time. */
const FIRST_GUESS_SHARE = 0.25;
/** What is left of an item that was cut is at least this share of the mean. */
const LEAST_LEFT_SHARE = 0.1;
/** An item is pressed when less than so many times its duration is left: room
 * for two bursts in which it gives way. */
const PRESSED_DURATIONS = 2;

/** Keeps the mean duration of items by host name. */
export class ItemDurations {
  private readonly means = new Map<string, number>();

  /**
   * @param job - The job of an item that was done.
   * @param ranMs - How long it was at targets, in milliseconds.
   */
  add(job: OwnedJob, ranMs: number): void {
    const {hostName} = job.head;
    const known = this.means.get(hostName) ?? ranMs;
    const mean = known + (ranMs - known) * NEWEST_WEIGHT;
    this.means.set(hostName, mean);
  }

  /**
   * @param job - The item's job.
   * @param work - The item.
   * @param leftMs - Until it is due, in milliseconds.
   * @returns How it stands.
   */
  urgencyOf(job: OwnedJob, work: ItemWork, leftMs: number): Urgency {
    const {hostName, completionGoalMs} = job.head;
    const mean =
      this.means.get(hostName) ?? completionGoalMs * FIRST_GUESS_SHARE;
    const needsMs = Math.max(mean - work.ranMs, mean * LEAST_LEFT_SHARE);
    if (leftMs < needsMs) return 'late';
    return leftMs < needsMs * PRESSED_DURATIONS ? 'pressed' : 'relaxed';
  }
}
