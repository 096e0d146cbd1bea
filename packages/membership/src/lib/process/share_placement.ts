/**
 * Brings the shares to where they belong: from dead entries, to new ones, and
 * away from one that leaves. All of it is decided from the directory, so every
 * entry comes to the same conclusion, and done by whom it concerns.
 */
import type {Counters} from '@oathead/core';
import type {Row, TableStore} from '@oathead/stores';
import {
  orphanShares,
  preferredOwner,
  reassign,
  sharesOf,
  stayingEntries,
  withEntry,
  withoutEntry,
} from './directory.js';
import type {Directory, DirectoryEntry} from './directory.js';
import type {ChangeResult, DirectoryView} from './directory_view.js';
import type {HandOver} from './hand_over.js';
import {leaseKey, shareKey, shareOwnerOf} from './lease_row.js';
import type {LapsedLease} from './lease_watch.js';
import type {HeldShare} from './membership.js';
import type {OwnLease} from './own_lease.js';
import type {ShareHoldings} from './share_holdings.js';

/** What {@link SharePlacement} works with. */
export interface PlacementDeps {
  readonly entryId: string;
  readonly table: TableStore;
  readonly counters: Counters;
  readonly view: DirectoryView;
  readonly lease: OwnLease;
  readonly holdings: ShareHoldings;
  readonly handOver: HandOver;
}

/** Shares written in one transaction, so that it keeps a bounded size. */
const SHARES_PER_WRITE = 64;

/** Stands for all shares that nobody owns when one entry is to be chosen. */
const ORPHANS = -1;

/** Brings the shares to where they belong. */
export class SharePlacement {
  /** @param deps - The parts of this entry's membership. */
  constructor(private readonly deps: PlacementDeps) {}

  /**
   * Takes this entry into the fleet. Where an earlier process of the same id
   * still stands in the directory, its lease has to run out first, as for any
   * other.
   *
   * @param entry - What the others are told of it.
   * @returns Whether it is in.
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
   * Ends the lease of a dead entry, and gives its shares to others. The
   * transaction is conditional on the lease's row: a renewal that arrives first
   * fails it, one that arrives later fails itself.
   *
   * @param lapsed - The lease, and its version that has not changed.
   */
  async takeOver({entryId, version}: LapsedLease): Promise<void> {
    const result = await this.deps.view.change(directory => {
      if (directory.entries[entryId] === undefined) return undefined;
      const shares = sharesOf(directory, entryId);
      const rest = withoutEntry(directory, entryId);
      return {
        directory: reassign(rest, shares.slice(0, SHARES_PER_WRITE)),
        checks: [{key: leaseKey(entryId), version}],
        writes: [{kind: 'delete', key: leaseKey(entryId)}],
      };
    });
    if (result === 'changed') this.deps.counters.count('membership_take_overs');
  }

  /**
   * Gives away what nobody owns: all shares of a new fleet, and those of a dead
   * entry beyond what one transaction holds. One entry alone does so, since all
   * at once would only conflict.
   */
  async assignOrphans(): Promise<void> {
    const {view, entryId} = this.deps;
    if (orphanShares(view.current).length === 0) return;
    const staying = stayingEntries(view.current);
    if (preferredOwner(ORPHANS, staying) !== entryId) return;
    await view.change(directory => {
      const orphans = orphanShares(directory).slice(0, SHARES_PER_WRITE);
      if (orphans.length === 0) return undefined;
      return {directory: reassign(directory, orphans)};
    });
  }

  /** Begins to act on shares that the directory gives to this entry. */
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

  /** Hands over what other entries are to own, once its work is finished. */
  async handOverMisplaced(): Promise<void> {
    const {view, holdings, handOver} = this.deps;
    const staying = stayingEntries(view.current);
    for (const held of holdings.held()) {
      if (!this.isMisplaced(held.share, staying)) continue;
      if (handOver.has(held)) continue;
      holdings.tell({type: 'handOver'}, [held.share]);
      handOver.begin(held);
    }
    const ready = handOver.ready();
    if (ready.length === 0) return;
    await view.change(directory => this.givingAway(directory, ready));
    for (const share of ready) {
      handOver.end(share);
      holdings.tell({type: 'keep'}, [share.share]);
    }
  }

  /** Tells the others that this entry is on its way out. */
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
   * Takes this entry out of the fleet, once it owns nothing.
   *
   * @returns Whether it is out.
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

  private givingAway(directory: Directory, ready: readonly HeldShare[]) {
    const {entryId} = this.deps;
    const staying = stayingEntries(directory);
    const going = ready.filter(({share, epoch}) => {
      const now = directory.shares[share]!;
      const mine = now.owner === entryId && now.epoch === epoch;
      return mine && this.isMisplaced(share, staying);
    });
    if (going.length === 0) return undefined;
    const some = going.slice(0, SHARES_PER_WRITE).map(({share}) => share);
    return {directory: reassign(directory, some)};
  }

  private isMisplaced(share: number, staying: readonly string[]): boolean {
    return preferredOwner(share, staying) !== this.deps.entryId;
  }
}
