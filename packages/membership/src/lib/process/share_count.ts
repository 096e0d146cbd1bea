/** The number of shares: fixed when the fleet first starts. */
import type {Random} from '@oathead/core';
import type {TableStore} from '@oathead/stores';
import {z} from 'zod';

/** Key of the row that holds the number of shares. */
export const SHARE_COUNT_KEY = 'shares';

const countSchema = z.object({count: z.number().int().positive()});

/**
 * Reads the number of shares, and fixes it where the fleet starts for the first
 * time. A fleet that disagreed on it would place one chunk in two shares.
 *
 * @param deps - Store and randomness.
 * @param configured - The count to fix.
 * @returns The count for good; undefined while the store gives no answer.
 */
export async function readShareCount(
  {table, random}: {readonly table: TableStore; readonly random: Random},
  configured: number,
): Promise<number | undefined> {
  const read = await table.read([SHARE_COUNT_KEY]);
  if (!read.ok) return undefined;
  const row = read.value[0];
  if (row !== undefined) return countSchema.parse(row.value).count;
  const value = {count: configured, nonce: random.id()};
  const outcome = await table.write({
    checks: [{key: SHARE_COUNT_KEY, version: 0}],
    writes: [{kind: 'put', key: SHARE_COUNT_KEY, value}],
  });
  return outcome.ok ? configured : undefined;
}
