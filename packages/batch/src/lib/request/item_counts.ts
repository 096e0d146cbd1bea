/** How many items are in each state. */
import type {ItemCounts, ResultState} from './job.js';
import {unpackStates} from './job_rows.js';
import type {RecordedState} from './job_rows.js';

/** No items at all. */
export const NO_ITEMS: ItemCounts = {
  waiting: 0,
  done: 0,
  failed: 0,
  cancelled: 0,
  unknown: 0,
};

const SEEN_AS: Readonly<Record<RecordedState, ResultState>> = {
  waiting: 'waiting',
  started: 'waiting',
  suspect: 'waiting',
  done: 'done',
  failed: 'failed',
  cancelled: 'cancelled',
  unknown: 'unknown',
};

/**
 * @param state - A state as a chunk's row keeps it.
 * @returns The state as the caller sees it.
 */
export function resultState(state: RecordedState): ResultState {
  return SEEN_AS[state];
}

/**
 * @param letters - States of the items of a chunk, as its row keeps them.
 * @returns How many are in each.
 */
export function countStates(letters: string): ItemCounts {
  const counts: Record<ResultState, number> = {...NO_ITEMS};
  for (const state of unpackStates(letters)) counts[resultState(state)]++;
  return counts;
}

/**
 * @param a - Counts.
 * @param b - Counts.
 * @returns Their sum.
 */
export function addCounts(a: ItemCounts, b: ItemCounts): ItemCounts {
  return {
    waiting: a.waiting + b.waiting,
    done: a.done + b.done,
    failed: a.failed + b.failed,
    cancelled: a.cancelled + b.cancelled,
    unknown: a.unknown + b.unknown,
  };
}
