/**
 * The row `head`: constant in size, read by every entry once a second whatever
 * happens, and bumped in the same transaction as each change it tells of.
 */
import {sleep} from '@oathead/core';
import type {Clock, Outcome, Random} from '@oathead/core';
import type {
  Committed,
  Json,
  Row,
  StoreError,
  TableStore,
  Transaction,
} from '@oathead/platform';
import {z} from 'zod';
import type {Head} from './membership.js';

/** Key of the head. */
export const HEAD_KEY = 'head';

/** How many jobs the head remembers; who missed more lists the open jobs. */
export const RECENT_JOBS = 64;

/** The head before anything happened. */
export const EMPTY_HEAD: Head = {cfg: 0, jobs: 0, recentJobs: [], members: 0};

const MAX_ATTEMPTS = 12;
const FIRST_BACKOFF_MS = 10;
const MAX_BACKOFF_MS = 500;

const headSchema = z.object({
  cfg: z.number(),
  jobs: z.number(),
  recentJobs: z.array(z.string()),
  members: z.number(),
});

/**
 * @param row - The row as read.
 * @returns The head in it; the empty head where there is no row yet.
 */
export function headOf(row: Row | undefined): Head {
  return row === undefined ? EMPTY_HEAD : headSchema.parse(row.value);
}

/** How the head is kept in its row, for those who write it themselves. */
export const HEAD_ROW = {
  key: HEAD_KEY,
  decode: headOf,
  encode: (head: Head): Json => ({...head}),
} as const;

/**
 * @param head - The head so far.
 * @param job - The job that was accepted, cancelled or closed, `caller/job`.
 * @returns The head that tells of it.
 */
export function withJob(head: Head, job: string): Head {
  const recentJobs = [job, ...head.recentJobs].slice(0, RECENT_JOBS);
  return {...head, jobs: head.jobs + 1, recentJobs};
}

/**
 * @param head - The head so far.
 * @returns The head that tells of a change of members.
 */
export function withMembers(head: Head): Head {
  return {...head, members: head.members + 1};
}

/** What {@link bumpHead} works with. */
export interface BumpDeps {
  readonly table: TableStore;
  readonly clock: Clock;
  readonly random: Random;
}

/**
 * Writes a transaction together with a change of the head. The head is the one
 * row that all writers share, so a conflict on it alone is retried here, with
 * backoff and jitter; nothing was written then. Any other error goes back to
 * the writer, which alone can tell by the nonces of its own rows whether an
 * `unknown` write took effect.
 *
 * @param deps - Store, clock and randomness.
 * @param transaction - The change itself.
 * @param change - What the head is to tell after it.
 * @returns The versions written, or the error.
 */
export async function bumpHead(
  deps: BumpDeps,
  transaction: Transaction,
  change: (head: Head) => Head,
): Promise<Outcome<Committed, StoreError>> {
  for (let attempt = 1; ; attempt++) {
    const outcome = await tryBump(deps, transaction, change);
    if (outcome.ok || attempt === MAX_ATTEMPTS) return outcome;
    const delayMs = retryDelay(outcome.err, attempt, deps.random);
    if (delayMs === undefined) return outcome;
    await sleep(deps.clock, delayMs);
  }
}

async function tryBump(
  {table}: BumpDeps,
  transaction: Transaction,
  change: (head: Head) => Head,
): Promise<Outcome<Committed, StoreError>> {
  const read = await table.read([HEAD_KEY]);
  if (!read.ok) return read.err.kind === 'unavailable' ? unsent(read) : read;
  const row = read.value[0];
  const value = HEAD_ROW.encode(change(headOf(row)));
  return table.write({
    checks: [
      ...transaction.checks,
      {key: HEAD_KEY, version: row?.version ?? 0},
    ],
    writes: [...transaction.writes, {kind: 'put', key: HEAD_KEY, value}],
  });
}

/** A failed read means that nothing of the transaction was sent. */
function unsent(read: {readonly ok: false; readonly err: StoreError}): {
  readonly ok: false;
  readonly err: StoreError;
} {
  const message =
    read.err.kind === 'unavailable' ? read.err.message : read.err.kind;
  return {ok: false, err: {kind: 'unavailable', applied: 'no', message}};
}

function retryDelay(
  err: StoreError,
  attempt: number,
  random: Random,
): number | undefined {
  if (err.kind === 'throttled') return err.retryAfterMs;
  if (err.kind !== 'conflict' || err.key !== HEAD_KEY) return undefined;
  const cap = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** attempt);
  return cap * random.float();
}
