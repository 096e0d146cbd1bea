/**
 * Moves shares to their preferred owners: away from dead or draining entries,
 * and to new ones. Every decision is a function of the directory, so all
 * entries reach the same decision, and the entry that it concerns carries it
 * out.
 */
import type {Counters} from '@oathead/core';
import type {Row, TableStore} from '@oathead/stores';
import {
  orphanShares,
  preferredOwner,
  reassign,
  sharesOf,
  eligibleOwners,
  withEntry,
  withoutEntry,
} from './directory.js';
import type {Directory, DirectoryEntry} from './directory.js';
import type {ChangeResult, DirectoryView} from './directory_view.js';
import type {HandOver} from './hand_over.js';
import {leaseKey, shareKey, shareOwnerOf} from './lease_row.js';
import type {ExpiredLease} from './lease_watch.js';
import type {HeldShare} from './membership.js';
import type {OwnLease} from './own_lease.js';
import type {ShareHoldings} from './share_holdings.js';

/** Dependencies of {@link SharePlacement}. */
export interface PlacementDeps {
  readonly entryId: string;
  readonly table: TableStore;
  readonly counters: Counters;
  readonly view: DirectoryView;
  readonly lease: OwnLease;
  readonly holdings: ShareHoldings;
  readonly handOver: HandOver;
}

/** Maximum number of shares per transaction, to bound its size. */
const SHARES_PER_WRITE = 64;

/**
 * Pseudo share number. Its preferred owner is the entry that assigns the shares
 * without an owner.
 */
const ORPHAN_ASSIGNMENT = -1;

/** Moves shares between entries through changes of the directory. */
export class SharePlacement {
  /** @param deps - The components of this entry's membership. */
  constructor(private readonly deps: PlacementDeps) {}

  /**
   * Adds this entry to the fleet. If the directory still lists an earlier
   * incarnation with the same id, its lease has to expire first, as with any
   * other entry.
   *
   * @param entry - The record of this entry in the directory.
   * @returns Whether this incarnation is a member.
   */
  async join(entry: DirectoryEntry): Promise<boolean> {
    const {view, lease, entryId} = this.deps;
    await view.change(directory => {
      if (directory.entries[entryId] !== undefined) return undefined;
      const joins = directory.joins + 1;
      return {
        directory: {...withEntry(directory, entryId, entry), joins},
        checks: [{key: leaseKey(entryId), version: 0}],
        writes: [lease.create(joins)],
      };
    });
    return view.current.entries[entryId]?.boot === entry.boot;
  }

  /**
   * Ends the lease of a dead entry and reassigns its shares. The transaction is
   * conditional on the version of the lease row: if a renewal arrives first,
   * the transaction fails; if it arrives later, the renewal fails.
   *
   * @param lease - The expired lease, with the version that stayed unchanged.
   */
  async takeOver({entryId, version}: ExpiredLease): Promise<void> {
    const result = await this.deps.view.change(directory => {
      if (directory.entries[entryId] === undefined) return undefined;
      const shares = sharesOf(directory, entryId);
      const remaining = withoutEntry(directory, entryId);
      return {
        directory: reassign(remaining, shares.slice(0, SHARES_PER_WRITE)),
        checks: [{key: leaseKey(entryId), version}],
        writes: [{kind: 'delete', key: leaseKey(entryId)}],
      };
    });
    if (result === 'changed') this.deps.counters.count('membership_take_overs');
  }

  /**
   * Assigns the shares that have no owner: all shares of a new fleet, and those
   * shares of a dead entry that exceeded the limit of one transaction. Only one
   * entry does this, since concurrent attempts would conflict.
   */
  async assignOrphans(): Promise<void> {
    const {view, entryId} = this.deps;
    if (orphanShares(view.current).length === 0) return;
    const eligible = eligibleOwners(view.current);
    if (preferredOwner(ORPHAN_ASSIGNMENT, eligible) !== entryId) return;
    await view.change(directory => {
      const orphans = orphanShares(directory).slice(0, SHARES_PER_WRITE);
      if (orphans.length === 0) return undefined;
      return {directory: reassign(directory, orphans)};
    });
  }

  /**
   * Acquires the shares that the directory assigns to this entry. Reads their
   * rows for the versions that fence writes.
   */
  async adoptGranted(): Promise<void> {
    const {view, lease, holdings, table, entryId} = this.deps;
    if (!lease.valid()) return;
    const held = new Set(holdings.all().map(({share}) => share));
    const granted = sharesOf(view.current, entryId).filter(s => !held.has(s));
    if (granted.length === 0) return;
    const read = await table.read(granted.map(shareKey));
    if (!read.ok || !lease.valid()) return;
    for (const [i, share] of granted.entries()) {
      this.grant(share, read.value[i]);
    }
  }

  /**
   * Hands over the shares whose preferred owner is another entry, once the work
   * on them has finished.
   */
  async handOverMisplaced(): Promise<void> {
    const {view, holdings, handOver} = this.deps;
    const eligible = eligibleOwners(view.current);
    for (const held of holdings.held()) {
      if (!this.isMisplaced(held.share, eligible)) continue;
      if (handOver.has(held)) continue;
      holdings.apply({type: 'handOver'}, [held.share]);
      handOver.begin(held);
    }
    const ready = handOver.ready();
    if (ready.length === 0) return;
    await view.change(directory => this.planHandOver(directory, ready));
    for (const share of ready) {
      handOver.remove(share);
      holdings.apply({type: 'keep'}, [share.share]);
    }
  }

  /**
   * Marks this entry as draining in the directory, so that it gets no further
   * shares.
   *
   * @returns The result of the change of the directory.
   */
  async declareLeaving(): Promise<ChangeResult> {
    const {view, entryId} = this.deps;
    return view.change(directory => {
      const entry = directory.entries[entryId];
      if (entry === undefined || entry.leaving) return undefined;
      const leaving = {...entry, leaving: true};
      return {directory: withEntry(directory, entryId, leaving)};
    });
  }

  /**
   * Removes this entry from the fleet if it owns no shares.
   *
   * @returns Whether it is no longer a member.
   */
  async leave(): Promise<boolean> {
    const {view, lease, entryId} = this.deps;
    if (sharesOf(view.current, entryId).length > 0) return false;
    const result = await view.change(directory => {
      if (directory.entries[entryId]?.boot !== lease.boot) return undefined;
      return {
        directory: withoutEntry(directory, entryId),
        writes: [{kind: 'delete', key: leaseKey(entryId)}],
      };
    });
    return result !== 'not-changed';
  }

  private grant(share: number, row: Row | undefined): void {
    if (row === undefined) return;
    const {owner, epoch} = shareOwnerOf(row);
    const {view, holdings, entryId} = this.deps;
    const expected = view.current.shares[share]!.epoch;
    if (owner !== entryId || epoch !== expected) return;
    holdings.grant({share, epoch}, row.version);
  }

  private planHandOver(directory: Directory, ready: readonly HeldShare[]) {
    const {entryId} = this.deps;
    const eligible = eligibleOwners(directory);
    const misplaced = ready.filter(({share, epoch}) => {
      const now = directory.shares[share]!;
      const owned = now.owner === entryId && now.epoch === epoch;
      return owned && this.isMisplaced(share, eligible);
    });
    if (misplaced.length === 0) return undefined;
    const batch = misplaced.slice(0, SHARES_PER_WRITE).map(({share}) => share);
    return {directory: reassign(directory, batch)};
  }

  private isMisplaced(share: number, eligible: readonly string[]): boolean {
    return preferredOwner(share, eligible) !== this.deps.entryId;
  }
}
