/**
 * A local copy of the directory, and transactions that change the directory
 * together with the lease and share rows that it duplicates.
 */
import {sleep} from '@oathead/core';
import type {CommitOutcome, Row, RowCheck, RowWrite} from '@oathead/stores';
import {DIRECTORY_KEY, directoryJson, directoryOf} from './directory.js';
import type {Directory} from './directory.js';
import {bumpHead, withMembers} from './head_row.js';
import type {BumpHeadDeps} from './head_row.js';
import {rowJson, shareKey} from './lease_row.js';
import type {Peer} from './membership.js';

/** A change of the directory, with the rows that change with it. */
export interface DirectoryChange {
  readonly directory: Directory;
  /** Conditions in addition to the version of the directory. */
  readonly checks?: readonly RowCheck[];
  /** Writes in addition to the directory and to shares that change owner. */
  readonly writes?: readonly RowWrite[];
}

/**
 * Computes a change from the directory as currently stored. It is called again
 * for each attempt, so it must not have side effects.
 *
 * @returns The change; undefined when there is nothing left to do.
 */
export type DirectoryPlan = (
  directory: Directory,
) => DirectoryChange | undefined;

/**
 * Result of a change: committed, unnecessary, or failed. After `not-changed`
 * the change may still have taken effect.
 */
export type ChangeResult = 'changed' | 'nothing-to-do' | 'not-changed';

const MAX_ATTEMPTS = 20;
const FIRST_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 1_000;

/** The directory as this entry last read or wrote it. */
export class DirectoryView {
  private directory: Directory;

  /**
   * @param deps - Store, clock and randomness.
   * @param shareCount - Returns the number of shares, used while no directory
   *     is stored.
   * @param onUpdate - Called each time the local copy was replaced.
   */
  constructor(
    private readonly deps: BumpHeadDeps,
    private readonly shareCount: () => number,
    private readonly onUpdate: () => void,
  ) {
    this.directory = directoryOf(undefined, shareCount());
  }

  /** The directory as last read or written. */
  get current(): Directory {
    return this.directory;
  }

  /**
   * @param entryId - Id of an entry.
   * @returns The entry; undefined if it is not a member.
   */
  peer(entryId: string): Peer | undefined {
    const entry = this.directory.entries[entryId];
    if (entry === undefined) return undefined;
    const {address, dataCentre, leaving} = entry;
    return {entryId, address, dataCentre, leaving};
  }

  /**
   * Reads the directory from the store.
   *
   * @returns Whether the read succeeded.
   */
  async refresh(): Promise<boolean> {
    const read = await this.deps.table.read([DIRECTORY_KEY]);
    if (read.ok) this.update(directoryOf(read.value[0], this.shareCount()));
    return read.ok;
  }

  /**
   * Changes the directory, the rows of the shares that change owner, and the
   * head in one transaction. If another entry changed the directory first, or
   * the outcome of the transaction is unknown, the plan is computed again from
   * the stored directory, after a backoff with jitter. This is idempotent: a
   * plan whose change did take effect then has nothing left to do.
   *
   * @param plan - Computes the change.
   * @returns Whether the change was committed, unnecessary or failed.
   */
  async change(plan: DirectoryPlan): Promise<ChangeResult> {
    const {clock, random} = this.deps;
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const result = await this.tryChange(plan);
      if (result !== 'again') return result;
      const cap = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** attempt);
      await sleep(clock, cap * random.float());
    }
    return 'not-changed';
  }

  private async tryChange(
    plan: DirectoryPlan,
  ): Promise<ChangeResult | 'again'> {
    const read = await this.deps.table.read([DIRECTORY_KEY]);
    if (!read.ok) return 'not-changed';
    const base = read.value[0];
    const before = directoryOf(base, this.shareCount());
    const change = plan(before);
    if (change === undefined) {
      this.update(before);
      return 'nothing-to-do';
    }
    const outcome = await this.commit(base, before, change);
    if (outcome.kind === 'committed') {
      this.update(change.directory);
      return 'changed';
    }
    const directoryConflict =
      outcome.kind === 'conflict' && outcome.key === DIRECTORY_KEY;
    return directoryConflict || outcome.kind === 'unknown'
      ? 'again'
      : 'not-changed';
  }

  private commit(
    base: Row | undefined,
    before: Directory,
    {directory, checks = [], writes = []}: DirectoryChange,
  ): Promise<CommitOutcome> {
    const value = directoryJson(directory);
    const commit = {
      marker: {key: DIRECTORY_KEY, base, value},
      checks,
      writes: [...shareWrites(before, directory), ...writes],
    };
    return bumpHead(this.deps, commit, withMembers);
  }

  private update(directory: Directory): void {
    this.directory = directory;
    this.onUpdate();
  }
}

/**
 * Writes the row of each share whose owner changes. This increments the version
 * of the row, so that all writes of the previous owner that are still in flight
 * fail on their version check.
 */
function shareWrites(before: Directory, after: Directory): RowWrite[] {
  return after.shares.flatMap(({owner, epoch}, share) => {
    if (epoch === before.shares[share]?.epoch) return [];
    const value = rowJson({owner, epoch});
    return [{kind: 'put' as const, key: shareKey(share), value}];
  });
}
