/** Reports an item whose result is in the store: one log line and metrics. */
import type {Counters, EventLog, Latencies} from '@oathead/core';
import type {ItemResult} from '../request/job.js';
import type {JobHead} from '../request/job_rows.js';
import type {ItemWork} from './item_work.js';
import {waitTimesText} from './neglect_report.js';

/** Dependencies of {@link reportListedItem}. */
export interface ItemReportContext {
  readonly log: EventLog;
  readonly counters: Counters;
  readonly latencies: Latencies;
}

/** Times of a listed item; those of the host are on its monotonic clock. */
export interface ListingTimes {
  /** When this host became the owner of the item's job. */
  readonly adoptedAtMs: number;
  /** When the result was determined. */
  readonly finishedAtMs: number;
  /** When the store confirmed the write of the result. */
  readonly listedAtMs: number;
  /** The store's clock at the confirmation; undefined if it is not known. */
  readonly storeTimeMs: number | undefined;
}

/**
 * Reports where the time of an item went. All times are in milliseconds.
 *
 * @param context - Log and metrics.
 * @param head - Head of the item's job.
 * @param work - The item.
 * @param state - Outcome of the item.
 * @param times - When it was adopted, finished and listed.
 */
export function reportListedItem(
  context: ItemReportContext,
  head: JobHead,
  work: ItemWork,
  state: ItemResult['state'],
  times: ListingTimes,
): void {
  const {log, counters, latencies} = context;
  const {timeline} = work;
  const {adoptedAtMs, finishedAtMs, listedAtMs, storeTimeMs} = times;
  const sinceAcceptedMs =
    storeTimeMs === undefined ? undefined : storeTimeMs - head.acceptedAtMs;
  const firstWaitMs = (timeline.firstSentAtMs ?? finishedAtMs) - adoptedAtMs;
  const listMs = listedAtMs - finishedAtMs;
  log.event('item-listed', {
    job: head.id,
    item: work.item.id,
    state,
    sinceAcceptedMs: rounded(sinceAcceptedMs),
    heldMs: rounded(listedAtMs - adoptedAtMs),
    firstWaitMs: rounded(firstWaitMs),
    runMs: rounded(timeline.runMs),
    queuedMs: rounded(timeline.queuedMs),
    lostMs: rounded(timeline.lostMs),
    listMs: rounded(listMs),
    runs: work.runs,
    preemptions: work.preemptions,
    waits: waitTimesText(work.waits),
    inheritedTexts: work.inheritedTexts,
  });
  latencies.record('item_first_wait', firstWaitMs);
  latencies.record('item_run', timeline.runMs);
  latencies.record('item_queued', timeline.queuedMs);
  latencies.record('item_listing', listMs);
  counters.count('item_lost_ms', {}, timeline.lostMs);
  if (sinceAcceptedMs === undefined) return;
  const untilDueMs = head.completionGoalMs - sinceAcceptedMs;
  const due = untilDueMs >= 0 ? 'in-time' : 'late';
  counters.count('items_listed', {state, due});
  latencies.record('item_due_margin', Math.abs(untilDueMs), {due});
}

function rounded(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}
