/**
 * The head: the row `head`, which carries the revisions of everything that
 * entries need to follow. Every entry reads it once a second, regardless of
 * load, and its size is bounded. It is updated in the same transaction as each
 * change that it announces.
 */
import {sleep} from '@oathead/core';
import type {Clock, Random} from '@oathead/core';
import {commitWithNonce} from '@oathead/stores';
import type {
  Commit,
  CommitOutcome,
  Json,
  Row,
  TableStore,
} from '@oathead/stores';
import {z} from 'zod';
import type {Head} from './membership.js';

/** Key of the head row. */
export const HEAD_KEY = 'head';

/**
 * Number of recently changed jobs that the head lists. An entry that missed
 * more changes than that lists all open jobs instead.
 */
export const MAX_RECENT_JOBS = 64;

/** The head of a fleet in which nothing has been stored yet. */
export const EMPTY_HEAD: Head = {
  cfg: 0,
  jobs: 0,
  recentJobs: [],
  members: 0,
  suspects: 0,
};

const MAX_ATTEMPTS = 12;
const FIRST_BACKOFF_MS = 10;
const MAX_BACKOFF_MS = 500;

const headSchema = z.object({
  cfg: z.number(),
  jobs: z.number(),
  recentJobs: z.array(z.string()),
  members: z.number(),
  suspects: z.number().default(0),
});

/**
 * @param row - The row as read.
 * @returns The head in it; {@link EMPTY_HEAD} if the row does not exist.
 * @throws If the row does not match the schema.
 */
export function headOf(row: Row | undefined): Head {
  return row === undefined ? EMPTY_HEAD : headSchema.parse(row.value);
}

/** Key and codec of the head row, for modules that write it themselves. */
export const HEAD_ROW = {
  key: HEAD_KEY,
  decode: headOf,
  encode: (head: Head): Json => ({...head}),
} as const;

/**
 * @param head - The current head.
 * @param job - The job that was accepted, cancelled or closed, as `caller/job`.
 * @returns The head that announces the change of this job.
 */
export function withJob(head: Head, job: string): Head {
  const recentJobs = [job, ...head.recentJobs].slice(0, MAX_RECENT_JOBS);
  return {...head, jobs: head.jobs + 1, recentJobs};
}

/**
 * @param head - The current head.
 * @returns The head that announces a change of the directory.
 */
export function withMembers(head: Head): Head {
  return {...head, members: head.members + 1};
}

/**
 * @param head - The current head.
 * @returns The head that announces a change of the suspects, the records of
 *     requests that may have crashed targets.
 */
export function withSuspects(head: Head): Head {
  return {...head, suspects: head.suspects + 1};
}

/** Dependencies of {@link bumpHead}. */
export interface BumpHeadDeps {
  readonly table: TableStore;
  readonly clock: Clock;
  readonly random: Random;
}

/**
 * Commits a change together with a change of the head in one transaction. All
 * writers share the head row, so conflicts on it are expected and are retried
 * here, with backoff and jitter. The retry is safe: a transaction that failed
 * on a conflict did not take effect and cannot do so later.
 *
 * @param deps - Store, clock and randomness.
 * @param commit - The change without the head.
 * @param change - Computes the new head from the current one. It is called for
 *     each attempt.
 * @returns The outcome of the last attempt. It is a conflict on the head only
 *     after all attempts failed on it.
 */
export async function bumpHead(
  deps: BumpHeadDeps,
  commit: Commit,
  change: (head: Head) => Head,
): Promise<CommitOutcome> {
  const {clock, random} = deps;
  for (let attempt = 1; ; attempt++) {
    const outcome = await tryBump(deps, commit, change);
    const again = outcome.kind === 'conflict' && outcome.key === HEAD_KEY;
    if (!again || attempt === MAX_ATTEMPTS) return outcome;
    const cap = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** attempt);
    await sleep(clock, cap * random.float());
  }
}

async function tryBump(
  deps: BumpHeadDeps,
  commit: Commit,
  change: (head: Head) => Head,
): Promise<CommitOutcome> {
  const read = await deps.table.read([HEAD_KEY]);
  if (!read.ok) return {kind: 'unavailable', err: read.err};
  const row = read.value[0];
  const value = HEAD_ROW.encode(change(headOf(row)));
  const version = row?.version ?? 0;
  const {checks = [], writes = []} = commit;
  return commitWithNonce(
    deps.table,
    {
      marker: commit.marker,
      checks: [...checks, {key: HEAD_KEY, version}],
      writes: [...writes, {kind: 'put', key: HEAD_KEY, value}],
    },
    deps,
  );
}
