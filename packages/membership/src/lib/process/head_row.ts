/**
 * The row `head`: constant in size, read by every entry once a second whatever
 * happens, and bumped in the same transaction as each change it tells of.
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

/** Key of the head. */
export const HEAD_KEY = 'head';

/** How many jobs the head remembers; who missed more lists the open jobs. */
export const RECENT_JOBS = 64;

/** The head before anything happened. */
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

/**
 * @param head - The head so far.
 * @returns The head that tells of a change of what kills targets.
 */
export function withSuspects(head: Head): Head {
  return {...head, suspects: head.suspects + 1};
}

/** What {@link bumpHead} works with. */
export interface BumpDeps {
  readonly table: TableStore;
  readonly clock: Clock;
  readonly random: Random;
}

/**
 * Commits a change together with a change of the head. The head is the one row
 * that all writers share, so a conflict on it alone is retried here, with
 * backoff and jitter: the commit before it did not take effect and never will.
 *
 * @param deps - Store, clock and randomness.
 * @param commit - The change itself.
 * @param change - What the head is to tell after it.
 * @returns What became of it.
 */
export async function bumpHead(
  deps: BumpDeps,
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
  deps: BumpDeps,
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
