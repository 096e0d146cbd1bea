/** Changes of the directory, each with the leases and shares that it repeats. */
import {failure, sleep, success} from '@oathead/core';
import type {Outcome} from '@oathead/core';
import type {RowCheck, RowWrite, StoreError} from '@oathead/platform';
import {DIRECTORY_KEY, directoryJson, directoryOf} from './directory.js';
import type {Directory} from './directory.js';
import {bumpHead, withMembers} from './head_row.js';
import type {BumpDeps} from './head_row.js';
import {shareKey} from './lease_row.js';

/** What a change of the directory comes to. */
export interface DirectoryChange {
  readonly directory: Directory;
  /** Conditions beyond the directory itself. */
  readonly checks: readonly RowCheck[];
  /** Writes beyond the directory and the shares whose owner changes. */
  readonly writes: readonly RowWrite[];
}

/**
 * Works out a change against the directory as it is now.
 *
 * @returns Undefined when nothing is left to do.
 */
export type DirectoryPlan = (
  directory: Directory,
) => DirectoryChange | undefined;

const MAX_ATTEMPTS = 20;
const FIRST_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 1_000;

/**
 * Changes the directory, the shares that get another owner, and the head in one
 * transaction. When another entry was quicker, or the answer was lost, the plan
 * is made anew from what is stored then: a plan whose write had taken effect
 * finds nothing left to do, so no change is made twice.
 *
 * @param deps - Store, clock and randomness.
 * @param shareCount - Number of shares, for a fleet that has no directory yet.
 * @param plan - The change.
 * @returns The directory after it, or why it did not take place.
 */
export async function changeDirectory(
  deps: BumpDeps,
  shareCount: number,
  plan: DirectoryPlan,
): Promise<Outcome<Directory, StoreError>> {
  for (let attempt = 1; ; attempt++) {
    const outcome = await tryChange(deps, shareCount, plan);
    if (outcome.ok || attempt === MAX_ATTEMPTS) return outcome;
    if (!worthRetrying(outcome.err)) return outcome;
    const cap = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** attempt);
    await sleep(deps.clock, cap * deps.random.float());
  }
}

async function tryChange(
  deps: BumpDeps,
  shareCount: number,
  plan: DirectoryPlan,
): Promise<Outcome<Directory, StoreError>> {
  const read = await deps.table.read([DIRECTORY_KEY]);
  if (!read.ok) return read;
  const row = read.value[0];
  const before = directoryOf(row, shareCount);
  const change = plan(before);
  if (change === undefined) return success(before);
  const after = {...change.directory, nonce: deps.random.id()};
  const outcome = await bumpHead(
    deps,
    {
      checks: [
        {key: DIRECTORY_KEY, version: row?.version ?? 0},
        ...change.checks,
      ],
      writes: [
        {kind: 'put', key: DIRECTORY_KEY, value: directoryJson(after)},
        ...shareWrites(before, after),
        ...change.writes,
      ],
    },
    withMembers,
  );
  return outcome.ok ? success(after) : failure(outcome.err);
}

/**
 * A share's row is written whenever its owner changes. That changes the row's
 * version, and with it fails every write that the owner before has on its way.
 */
function shareWrites(before: Directory, after: Directory): RowWrite[] {
  return after.shares.flatMap(({owner, epoch}, share) =>
    epoch === before.shares[share]?.epoch
      ? []
      : [
          {
            kind: 'put' as const,
            key: shareKey(share),
            value: {owner, epoch, nonce: after.nonce},
          },
        ],
  );
}

function worthRetrying(err: StoreError): boolean {
  if (err.kind === 'conflict') return err.key === DIRECTORY_KEY;
  return err.kind === 'unavailable' && err.applied === 'unknown';
}
