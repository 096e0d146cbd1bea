/**
 * Which job goes first: the one due earliest, and among those due about the
 * same time the one whose caller has the least running.
 */
import type {JobRow} from '../request/job_rows.js';

/**
 * Jobs due within the same span are due together. Without it, a caller could
 * keep all others out by a due time a millisecond earlier.
 */
const DUE_SPAN_MS = 900_000;

/** What the order of a job depends on. */
export type Ranked = Pick<JobRow, 'caller' | 'job' | 'dueAt' | 'acceptedAt'>;

/** A comparison of jobs: what goes first comes first. */
export type JobOrder = (a: Ranked, b: Ranked) => number;

/**
 * @param running - How many items of a caller run at this entry now, divided by
 *     the caller's weight.
 * @returns The order in which jobs go.
 */
export function jobOrder(running: (caller: string) => number): JobOrder {
  return (a, b) =>
    compare(dueSpan(a), dueSpan(b)) ||
    running(a.caller) - running(b.caller) ||
    compare(due(a), due(b)) ||
    a.acceptedAt - b.acceptedAt ||
    compare(`${a.caller}/${a.job}`, `${b.caller}/${b.job}`);
}

/** A job cannot be due before it was sent: no place is won by an old date. */
function due({dueAt, acceptedAt}: Ranked): number {
  return dueAt === undefined ? Infinity : Math.max(dueAt, acceptedAt);
}

function dueSpan(job: Ranked): number {
  return Math.floor(due(job) / DUE_SPAN_MS);
}

function compare<T extends number | string>(a: T, b: T): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
