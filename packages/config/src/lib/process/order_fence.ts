/** The counter that tells orders of one holder from those of an earlier one. */
import {failure, success} from '@oathead/core';
import type {Clock, Fence, Outcome, Random} from '@oathead/core';
import {commitWithNonce} from '@oathead/stores';
import type {Row, RowCheck, StoreError, TableStore} from '@oathead/stores';
import {z} from 'zod';

/**
 * One counter for the orders of all models: an engine that holds several of
 * them compares tokens, and tokens of two counters cannot be compared.
 */
export const ORDER_FENCE_KEY = 'order-fence';

const rowSchema = z.object({token: z.number().int(), holder: z.string()});

/** The token was not raised. */
export interface NotRaised {
  readonly kind: 'lost-lease' | 'store-unavailable';
}

/** What raising a token needs. */
export interface RaiseOptions {
  readonly table: TableStore;
  readonly clock: Clock;
  readonly random: Random;
  /** Names the holder. */
  readonly holder: string;
  /** Holds only while the holder is one: a paused one raises nothing. */
  readonly check: RowCheck;
}

/**
 * Begins to order, in a way that all orders before can be told from.
 *
 * @param options - Who, and under which lease.
 * @returns A fence that is higher than all before.
 */
export async function raiseOrderFence(
  options: RaiseOptions,
): Promise<Outcome<Fence, NotRaised>> {
  const {table, clock, random, holder, check} = options;
  const read = await table.read([ORDER_FENCE_KEY]);
  if (!read.ok) return failure({kind: 'store-unavailable'});
  const base = read.value[0];
  const fence = {token: tokenOf(base) + 1, holder};
  const marker = {key: ORDER_FENCE_KEY, base, value: fence};
  const outcome = await commitWithNonce(
    table,
    {marker, checks: [check]},
    {clock, random},
  );
  if (outcome.kind === 'committed') return success(fence);
  const kind = outcome.kind === 'conflict' ? 'lost-lease' : 'store-unavailable';
  return failure({kind});
}

/**
 * Reads the current token, which every heartbeat tells a target process that
 * has just started.
 *
 * @param table - The table.
 * @returns The token; 0 before the first holder.
 */
export async function readOrderFence(
  table: TableStore,
): Promise<Outcome<number, StoreError>> {
  const read = await table.read([ORDER_FENCE_KEY]);
  return read.ok ? success(tokenOf(read.value[0])) : read;
}

function tokenOf(row: Row | undefined): number {
  return row === undefined ? 0 : rowSchema.parse(row.value).token;
}
