/**
 * How long items take at targets, learnt from those that were done, and what
 * that means for those that wait.
 */
import type {JobHead} from '../request/job_rows.js';
import type {ItemWork} from './item_work.js';

/** How an item stands to the time at which it is due. */
export type Urgency =
  /** There is time to wait for a quiet moment. */
  | 'relaxed'
  /** It has to start soon. */
  | 'pressed'
  /** It can't be done in time any more. */
  | 'late';

/** An item that waits or runs, as it stands to the time at which it is due. */
export interface ItemOutlook {
  readonly urgency: Urgency;
  /** How long it still needs at a target, in milliseconds. */
  readonly needsMs: number;
  /** Until it is due, in milliseconds; negative: it is overdue. */
  readonly leftMs: number;
  /** Half of it or more is done, and it can be in time. */
  readonly nearlyDone: boolean;
}

/** What an item's duration goes by. */
export type ItemKind = Pick<JobHead, 'hostName' | 'completionGoalMs'>;

/** What the items of a host name have taken. */
interface KnownItems {
  readonly texts: number;
  readonly msPerText: number;
}

/** Weight of the newest item in the mean: some ten items count. */
const NEWEST_WEIGHT = 0.1;
/** Before any item was done, it is taken to need this share of its job's time. */
const FIRST_GUESS_SHARE = 0.25;
/** With so much of it left or less, an item counts as nearly done. */
const NEARLY_DONE_SHARE = 0.5;
/** What is left of an item that was cut is at least this share of the mean. */
const LEAST_LEFT_SHARE = 0.1;
/** An item is pressed when less than so many times its duration is left: room
 * for two bursts in which it gives way. */
const PRESSED_DURATIONS = 2;

/** Keeps the mean size and pace of items by host name. */
export class ItemDurations {
  private readonly known = new Map<string, KnownItems>();

  /**
   * @param kind - What its job says of an item that was done.
   * @param work - The item.
   */
  add({hostName}: ItemKind, work: ItemWork): void {
    const texts = work.texts.length;
    const made = texts - work.inheritedTexts;
    if (made <= 0) return;
    const newest = {texts, msPerText: work.ranMs / made};
    const known = this.known.get(hostName) ?? newest;
    this.known.set(hostName, {
      texts: mix(known.texts, newest.texts),
      msPerText: mix(known.msPerText, newest.msPerText),
    });
  }

  /**
   * @param kind - What its job says of an item.
   * @param work - The item.
   * @param leftMs - Until it is due, in milliseconds.
   * @returns How it stands.
   */
  outlookOf(kind: ItemKind, work: ItemWork, leftMs: number): ItemOutlook {
    const wholeMs = this.wholeMs(kind);
    const leftShare = Math.max(this.leftShare(kind, work), LEAST_LEFT_SHARE);
    const needsMs = wholeMs * leftShare;
    const urgency = urgencyOf(needsMs, leftMs);
    const nearlyDone = urgency !== 'late' && leftShare <= NEARLY_DONE_SHARE;
    return {urgency, needsMs, leftMs, nearlyDone};
  }

  private wholeMs({hostName, completionGoalMs}: ItemKind): number {
    const known = this.known.get(hostName);
    if (!known) return completionGoalMs * FIRST_GUESS_SHARE;
    return known.texts * known.msPerText;
  }

  private leftShare(kind: ItemKind, work: ItemWork): number {
    const known = this.known.get(kind.hostName);
    if (!known) return 1 - work.ranMs / this.wholeMs(kind);
    return 1 - work.texts.length / known.texts;
  }
}

function urgencyOf(needsMs: number, leftMs: number): Urgency {
  if (leftMs < needsMs) return 'late';
  return leftMs < needsMs * PRESSED_DURATIONS ? 'pressed' : 'relaxed';
}

function mix(mean: number, newest: number): number {
  return mean + (newest - mean) * NEWEST_WEIGHT;
}

/**
 * Items that can be done in time go before those that are late: in overload an
 * order by due time alone runs late items first and makes all others late.
 * Among them those go first that are done soonest: by due time alone an item that
 * gave way lost its place to a fresh one of its own job, and on a day of overload
 * 229 of 532 s of target time went into items that were not finished.
 *
 * @param a - An item.
 * @param b - Another.
 * @returns Negative: `a` goes first.
 */
export function compareOutlooks(a: ItemOutlook, b: ItemOutlook): number {
  return (
    Number(a.urgency === 'late') - Number(b.urgency === 'late') ||
    a.needsMs - b.needsMs ||
    a.leftMs - b.leftMs
  );
}
