/**
 * Delta encoding of load reports. A report takes about 400 bytes, most of which
 * do not change between reports, and control traffic is limited to 25 KB/s per
 * node.
 */
import type {LoadReport} from '@oathead/core';

/**
 * Fields of a load report that differ from the previous report. The first
 * change in a stream has all fields.
 */
export type LoadChange = {readonly [K in keyof LoadReport]?: LoadReport[K]};

/**
 * Computes the change between two load reports.
 *
 * @param before - The previous report, or undefined for the first one.
 * @param after - The new report.
 * @returns The fields that differ; all fields if there is no previous report.
 */
export function diffLoadReports(
  before: LoadReport | undefined,
  after: LoadReport,
): LoadChange {
  if (before === undefined) return after;
  const changed = Object.entries(after).filter(
    ([field, value]) => !isEqual(before[field as keyof LoadReport], value),
  );
  return Object.fromEntries(changed);
}

/**
 * Applies a change to a load report.
 *
 * @param before - The previous report, or undefined for the first one.
 * @param change - The fields that differ from it.
 * @returns The new report.
 */
export function applyLoadChange(
  before: LoadReport | undefined,
  change: LoadChange,
): LoadReport {
  return {...before, ...change} as LoadReport;
}

function isEqual(a: unknown, b: unknown): boolean {
  if (a === b) return true;
  return typeof a === 'object' && JSON.stringify(a) === JSON.stringify(b);
}
