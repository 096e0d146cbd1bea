/**
 * The directory as this entry last saw it, and its changes: each in one
 * transaction with the leases and shares that it repeats.
 */
import {sleep} from '@oathead/core';
import type {CommitOutcome, Row, RowCheck, RowWrite} from '@oathead/stores';
import {DIRECTORY_KEY, directoryJson, directoryOf} from './directory.js';
import type {Directory} from './directory.js';
import {bumpHead, withMembers} from './head_row.js';
import type {BumpDeps} from './head_row.js';
import {rowJson, shareKey} from './lease_row.js';
import type {Peer} from './membership.js';

/** What a change of the directory comes to. */
export interface DirectoryChange {
  readonly directory: Directory;
  /** Conditions beyond the directory itself. */
  readonly checks?: readonly RowCheck[];
  /** Writes beyond the directory and the shares whose owner changes. */
  readonly writes?: readonly RowWrite[];
}

/**
 * Works out a change against the directory as it is now.
 *
 * @returns Undefined when nothing is left to do.
 */
export type DirectoryPlan = (
  directory: Directory,
) => DirectoryChange | undefined;

/** What came of a change: nothing is left to do, or it did not succeed. */
export type ChangeResult = 'changed' | 'nothing-to-do' | 'not-changed';

const MAX_ATTEMPTS = 20;
const FIRST_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 1_000;

/** The directory as this entry last saw it. */
export class DirectoryView {
  private directory: Directory;

  /**
   * @param deps - Store, clock and randomness.
   * @param shareCount - Number of shares, for a fleet without a directory yet.
   * @param onSeen - Called when the directory was seen anew.
   */
  constructor(
    private readonly deps: BumpDeps,
    private readonly shareCount: () => number,
    private readonly onSeen: () => void,
  ) {
    this.directory = directoryOf(undefined, shareCount());
  }

  /** The directory as last seen. */
  get current(): Directory {
    return this.directory;
  }

  /**
   * @param entryId - An entry.
   * @returns What is known of it, if it is a member.
   */
  peer(entryId: string): Peer | undefined {
    const entry = this.directory.entries[entryId];
    if (entry === undefined) return undefined;
    const {address, dataCentre, leaving} = entry;
    return {entryId, address, dataCentre, leaving};
  }

  /** @returns Whether the directory was read. */
  async refresh(): Promise<boolean> {
    const read = await this.deps.table.read([DIRECTORY_KEY]);
    if (read.ok) this.see(directoryOf(read.value[0], this.shareCount()));
    return read.ok;
  }

  /**
   * Changes the directory, the shares that get another owner, and the head in
   * one transaction. When another entry was quicker, or it is not known what
   * became of the transaction, the plan is made anew from what is stored then:
   * a plan whose change took effect finds nothing left to do.
   *
   * @param plan - The change.
   * @returns What came of it.
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
      this.see(before);
      return 'nothing-to-do';
    }
    const outcome = await this.commit(base, before, change);
    if (outcome.kind === 'committed') {
      this.see(change.directory);
      return 'changed';
    }
    const overtaken =
      outcome.kind === 'conflict' && outcome.key === DIRECTORY_KEY;
    return overtaken || outcome.kind === 'unknown' ? 'again' : 'not-changed';
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

  private see(directory: Directory): void {
    this.directory = directory;
    this.onSeen();
  }
}

/**
 * A share's row is written whenever its owner changes. That changes the row's
 * version, and with it fails every write that the owner before has on its way.
 */
function shareWrites(before: Directory, after: Directory): RowWrite[] {
  return after.shares.flatMap(({owner, epoch}, share) => {
    if (epoch === before.shares[share]?.epoch) return [];
    const value = rowJson({owner, epoch});
    return [{kind: 'put' as const, key: shareKey(share), value}];
  });
}
