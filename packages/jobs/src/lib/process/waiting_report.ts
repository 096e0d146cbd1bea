/**
 * Reports the items that wait on this host: how urgent they are and whether
 * they find targets with free slots, and why the one that has waited longest is
 * not running. One log line per interval, and none while no item waits, so that
 * the volume does not grow with the items.
 */
import type {Counters, EventLog} from '@oathead/core';
import type {ItemEstimate, Urgency} from './item_durations.js';
import type {ItemStage} from './item_work.js';
import type {LongestWait} from './wait_explainer.js';

/** An item and its estimate. */
export interface ReportedItem {
  readonly work: {readonly stage: ItemStage};
  readonly estimate: Pick<ItemEstimate, 'urgency' | 'remainingMs'>;
}

/** Dependencies of a {@link WaitingReport}. */
export interface WaitingReportContext {
  readonly log: EventLog;
  readonly counters: Counters;
}

type PlacementOutcome = 'placed' | 'full';

/** Counts placements of items and writes the lines. */
export class WaitingReport {
  private placements: Record<PlacementOutcome, number> = {placed: 0, full: 0};

  /** @param context - Log and counters. */
  constructor(private readonly context: WaitingReportContext) {}

  /**
   * Counts an attempt to place an item.
   *
   * @param urgency - Urgency of the item.
   * @param outcome - `full` if no target has a free slot for this urgency.
   */
  countPlacement(urgency: Urgency, outcome: PlacementOutcome): void {
    this.placements[outcome]++;
    this.context.counters.count('item_placements', {urgency, outcome});
  }

  /**
   * Writes one line about the time since the previous call.
   *
   * @param items - The items that wait or run now.
   * @param longest - The longest wait, if it is long.
   */
  write(items: readonly ReportedItem[], longest?: LongestWait): void {
    const {placed, full} = this.placements;
    this.placements = {placed: 0, full: 0};
    const waiting = items.filter(({work}) => work.stage.kind === 'waiting');
    if (longest)
      this.context.counters.count('items_waiting_long', {
        reason: longest.reason,
      });
    if (waiting.length === 0 && !longest) return;
    const count = (urgency: Urgency) =>
      waiting.filter(({estimate}) => estimate.urgency === urgency).length;
    const remaining = waiting.map(({estimate}) => estimate.remainingMs);
    this.context.log.event('items-waiting', {
      relaxed: count('relaxed'),
      pressed: count('pressed'),
      late: count('late'),
      running: items.length - waiting.length,
      placed,
      full,
      longestRemainingMs: Math.round(Math.max(0, ...remaining)),
      ...longest,
    });
  }
}
