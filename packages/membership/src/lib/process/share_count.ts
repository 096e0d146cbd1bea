/**
 * The number of shares, which is fixed when the fleet starts for the first
 * time.
 */
import type {Random} from '@oathead/core';
import type {TableStore} from '@oathead/stores';
import {z} from 'zod';

/** Key of the row that holds the number of shares. */
export const SHARE_COUNT_KEY = 'shares';

const countSchema = z.object({count: z.number().int().positive()});

/**
 * Reads the number of shares, or stores it if the fleet starts for the first
 * time. If entries used different numbers, they would map the same chunk to
 * different shares, and two owners would process it.
 *
 * @param deps - Table and randomness.
 * @param configured - The number to store if there is none.
 * @returns The stored number, which never changes; undefined if it could not be
 *     read or stored, in which case the caller retries.
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
