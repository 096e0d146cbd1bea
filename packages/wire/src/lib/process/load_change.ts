/**
 * Load reports as differences. A report is some 400 bytes and most of it stays
 * the same from one to the next; control has 25 KB a second at each node.
 */
import type {LoadReport} from '@oathead/core';

/** Fields of a report that differ from the one before; all in the first. */
export type LoadChange = {readonly [K in keyof LoadReport]?: LoadReport[K]};

/**
 * @param before - The report that the other end has.
 * @param after - The report that it is to have.
 * @returns The fields to replace.
 */
export function changeOf(
  before: LoadReport | undefined,
  after: LoadReport,
): LoadChange {
  if (before === undefined) return after;
  const changed = Object.entries(after).filter(
    ([field, value]) => !isSame(before[field as keyof LoadReport], value),
  );
  return Object.fromEntries(changed);
}

/**
 * @param before - The last report, if there was one.
 * @param change - What differs.
 * @returns The new report.
 */
export function applyChange(
  before: LoadReport | undefined,
  change: LoadChange,
): LoadReport {
  return {...before, ...change} as LoadReport;
}

function isSame(a: unknown, b: unknown): boolean {
  if (a === b) return true;
  return typeof a === 'object' && JSON.stringify(a) === JSON.stringify(b);
}
