/**
 * Reports items that no target works on, with the reason of each, so that the
 * log says afterwards why one given item was not running. Writes few lines per
 * interval, whatever the number of items.
 */
import type {Counters, EventLog} from '@oathead/core';
import type {ExplainedWait} from './wait_explainer.js';
import type {WaitReason} from './wait_reason.js';

/** Dependencies of a {@link NeglectReport}. */
export interface NeglectReportContext {
  readonly log: EventLog;
  readonly counters: Counters;
}

/** How long each reason has kept an item waiting, in milliseconds. */
export type WaitTimes = ReadonlyMap<WaitReason, number>;

/**
 * An item that no target has worked on for so long is reported, in
 * milliseconds. Each further line about it comes after twice the time.
 */
const FIRST_LINE_MS = 5000;
const LINE_GROWTH = 2;
/** Maximum number of lines per interval. */
const MAX_LINES = 5;

/** Writes the lines and adds up the waits of each item by reason. */
export class NeglectReport {
  /** @param context - Log and counters. */
  constructor(private readonly context: NeglectReportContext) {}

  /**
   * @param waits - The items that wait now.
   * @param intervalMs - Time since the previous call, in milliseconds.
   */
  write(waits: readonly ExplainedWait[], intervalMs: number): void {
    for (const {candidate, reason} of waits) {
      const {waits: times} = candidate.work;
      times.set(reason, (times.get(reason) ?? 0) + intervalMs);
    }
    const due = waits.filter(isDue);
    due.sort((a, b) => b.neglectedMs - a.neglectedMs);
    for (const wait of due.slice(0, MAX_LINES)) this.writeLine(wait);
  }

  private writeLine(wait: ExplainedWait): void {
    const {candidate, neglectedMs, reason, service, view} = wait;
    const {job, work, estimate} = candidate;
    work.neglectLines++;
    this.context.counters.count('items_neglected', {reason});
    this.context.log.event('item-neglected', {
      job: job.head.id,
      item: work.item.id,
      neglectedMs: Math.round(neglectedMs),
      reason,
      waits: waitTimesText(work.waits),
      urgency: estimate.urgency,
      runs: work.runs,
      preemptions: work.preemptions,
      service,
      ...view,
    });
  }
}

/**
 * @param times - How long each reason has kept an item waiting.
 * @returns The reasons with their times in milliseconds, the longest first;
 *     undefined if there are none.
 */
export function waitTimesText(times: WaitTimes): string | undefined {
  const entries = [...times].sort(([, a], [, b]) => b - a);
  const texts = entries.map(([reason, ms]) => `${reason} ${ms}`);
  return texts.length > 0 ? texts.join(', ') : undefined;
}

function isDue({candidate, neglectedMs}: ExplainedWait): boolean {
  const {neglectLines} = candidate.work;
  return neglectedMs >= FIRST_LINE_MS * LINE_GROWTH ** neglectLines;
}
