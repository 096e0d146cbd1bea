/**
 * Membership based on leases in the platform's table. The README of this
 * package describes the protocol and its timing.
 */
import {DisposableStore, hash32, repeat, sleep} from '@oathead/core';
import type {Clock, Counters, Random} from '@oathead/core';
import type {RowCheck, TableStore} from '@oathead/stores';
import {Callbacks} from './callbacks.js';
import {neighbours} from './directory.js';
import {DirectoryView} from './directory_view.js';
import {HandOver} from './hand_over.js';
import {EMPTY_HEAD, HEAD_KEY, headOf} from './head_row.js';
import {LeaseRenewer} from './lease_renewer.js';
import {leaseKey} from './lease_row.js';
import {LeaseWatch} from './lease_watch.js';
import type {Head, HeldShare, Membership, Peer} from './membership.js';
import type {MembershipSettings} from './membership_settings.js';
import {OwnLease} from './own_lease.js';
import {readShareCount} from './share_count.js';
import {ShareHoldings} from './share_holdings.js';
import {SharePlacement} from './share_placement.js';

/** Dependencies of {@link LeasedMembership}. */
export interface MembershipDeps {
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly table: TableStore;
}

/** Interval between attempts to leave the fleet, in milliseconds. */
const LEAVE_RETRY_MS = 100;

/** Membership based on leases in the platform's table. */
export class LeasedMembership implements Membership {
  private readonly store = new DisposableStore();
  private readonly headCallbacks = new Callbacks<Head>();
  private readonly takenCallbacks = new Callbacks<HeldShare>();
  private readonly lostCallbacks = new Callbacks<HeldShare>();
  private readonly handOverCallbacks = new Callbacks<
    HeldShare,
    Promise<void>
  >();
  private readonly lease: OwnLease;
  private readonly renewer: LeaseRenewer;
  private readonly holdings: ShareHoldings;
  private readonly watch: LeaseWatch;
  private readonly view: DirectoryView;
  private readonly placement: SharePlacement;

  private lastHead = EMPTY_HEAD;
  private membersRevision = -1;
  private storedShareCount: number | undefined;
  private leaving = false;
  private lastTask: Promise<void> = Promise.resolve();

  /**
   * @param deps - Clock, randomness, counters and table.
   * @param settings - Settings of this entry's membership.
   */
  constructor(
    private readonly deps: MembershipDeps,
    private readonly settings: MembershipSettings,
  ) {
    const {clock} = deps;
    const {entryId, handOverMs, renewMs} = settings;
    this.watch = new LeaseWatch(settings);
    this.lease = new OwnLease(deps, settings);
    this.holdings = new ShareHoldings({
      taken: share => this.takenCallbacks.call(share),
      lost: share => this.lostCallbacks.call(share),
    });
    this.renewer = this.store.add(
      new LeaseRenewer(deps, this.lease, renewMs, {
        renewed: () => this.holdings.apply({type: 'renew'}),
        expired: () => this.holdings.apply({type: 'lapse'}),
        gone: () => this.restart(),
      }),
    );
    this.view = new DirectoryView(
      deps,
      () => this.shareCount,
      () => this.checkHoldings(),
    );
    const handOver = new HandOver(clock, handOverMs, share =>
      Promise.allSettled(this.handOverCallbacks.call(share)),
    );
    const {view, lease, holdings} = this;
    this.placement = new SharePlacement({
      ...deps,
      entryId,
      view,
      lease,
      holdings,
      handOver,
    });
  }

  get entryId(): string {
    return this.settings.entryId;
  }

  /**
   * The configured number until the stored one has been read. No share is held
   * before that.
   */
  get shareCount(): number {
    return this.storedShareCount ?? this.settings.shareCount;
  }

  /** Whether this entry is a member and its lease is valid. */
  get ready(): boolean {
    return this.renewer.active && this.lease.valid();
  }

  shareOf(key: string): number {
    return hash32(key) % this.shareCount;
  }

  ownerOf(share: number): Peer | undefined {
    const owner = this.view.current.shares[share]?.owner;
    return owner === undefined ? undefined : this.view.peer(owner);
  }

  peers(): readonly Peer[] {
    const ids = Object.keys(this.view.current.entries);
    return ids.map(id => this.view.peer(id)!);
  }

  held(): readonly HeldShare[] {
    return this.lease.valid() ? this.holdings.held() : [];
  }

  fence(share: number): RowCheck | undefined {
    return this.lease.valid() ? this.holdings.fence(share) : undefined;
  }

  head(): Head {
    return this.lastHead;
  }

  /** Called after each read of the head, even if the head is unchanged. */
  onHead(callback: (head: Head) => void): Disposable {
    return this.headCallbacks.add(callback);
  }

  /** Called again for a share that was lost and regained. */
  onAcquired(callback: (share: HeldShare) => void): Disposable {
    return this.takenCallbacks.add(callback);
  }

  /**
   * Called when the lease expires by this entry's clock, and again if another
   * entry turns out to own the share. A share that no other entry took over is
   * reported through {@link onAcquired} again, with the same epoch.
   */
  onLost(callback: (share: HeldShare) => void): Disposable {
    return this.lostCallbacks.add(callback);
  }

  onHandOver(callback: (share: HeldShare) => Promise<void>): Disposable {
    return this.handOverCallbacks.add(callback);
  }

  /**
   * Starts to poll the head. Joins the fleet once the store is reachable, and
   * renews the lease from then on.
   */
  start(): void {
    const poll = () => this.runSerially(() => this.poll());
    void poll();
    this.store.add(repeat(this.deps.clock, this.settings.headPollMs, poll));
  }

  /**
   * Hands over all shares and leaves the fleet. If the timeout passes first,
   * the remaining shares are taken over after the lease has expired.
   *
   * @param timeoutMs - Maximum duration, in milliseconds.
   */
  async stop(timeoutMs: number): Promise<void> {
    const {clock} = this.deps;
    const deadline = clock.now() + timeoutMs;
    this.leaving = true;
    this.renewer.announceLeaving();
    let left = false;
    while (!left && clock.now() < deadline) {
      await Promise.race([
        this.runSerially(async () => {
          left = await this.leave();
        }),
        sleep(clock, deadline - clock.now()),
      ]);
      if (!left) await sleep(clock, LEAVE_RETRY_MS);
    }
    this[Symbol.dispose]();
  }

  /**
   * Stops immediately without leaving the fleet, like a crash. The lease then
   * expires.
   */
  [Symbol.dispose](): void {
    this.store[Symbol.dispose]();
  }

  /**
   * Runs tasks one at a time, in order, so that the result of an older read
   * cannot replace the result of a newer one.
   */
  private runSerially(task: () => Promise<void>): Promise<void> {
    this.lastTask = this.lastTask.then(async () => {
      if (!this.store.disposed) await task();
    });
    return this.lastTask;
  }

  private async poll(): Promise<void> {
    const {clock, table, counters} = this.deps;
    const watched = this.watch.due(clock.now()) ? this.watchedEntries() : [];
    const read = await table.read([HEAD_KEY, ...watched.map(leaseKey)]);
    if (!read.ok) {
      counters.count('membership_polls_failed');
      this.watch.reset();
      return;
    }
    const [head, ...leases] = read.value;
    if (watched.length > 0) this.watch.observe(watched, leases, clock.now());
    this.lastHead = headOf(head);
    this.headCallbacks.call(this.lastHead);
    if (await this.loadShareCount()) await this.reconcile();
  }

  private async reconcile(): Promise<void> {
    if (!this.renewer.active && !this.leaving) await this.join();
    await this.refresh();
    await this.takeOverExpired();
    if (!this.renewer.active) return;
    await this.placement.assignOrphans();
    await this.placement.adoptGranted();
    await this.placement.handOverMisplaced();
  }

  private async loadShareCount(): Promise<boolean> {
    const {deps, settings} = this;
    this.storedShareCount ??= await readShareCount(deps, settings.shareCount);
    return this.storedShareCount !== undefined;
  }

  private async join(): Promise<void> {
    const {address, dataCentre} = this.settings;
    const {boot} = this.lease;
    const entry = {address, dataCentre, leaving: false, boot};
    if (await this.placement.join(entry)) await this.renewer.begin();
  }

  private async refresh(): Promise<void> {
    const {members} = this.lastHead;
    if (members === this.membersRevision) return;
    if (await this.view.refresh()) this.membersRevision = members;
  }

  /**
   * Revokes the shares that this entry does not own according to the directory.
   * Restarts if the directory no longer lists this incarnation.
   */
  private checkHoldings(): void {
    const {entries, shares} = this.view.current;
    const listed = entries[this.entryId]?.boot === this.lease.boot;
    if (this.renewer.active && !listed) this.restart();
    for (const {share, epoch} of this.holdings.all()) {
      const now = shares[share];
      const kept = now?.owner === this.entryId && now.epoch === epoch;
      if (!kept) this.holdings.revoke(share);
    }
  }

  /**
   * Drops the lease and all shares after another entry ended the lease. The
   * next poll joins the fleet again, unless this entry is stopping.
   */
  private restart(): void {
    if (!this.leaving) this.deps.counters.count('membership_lease_lost');
    this.renewer.end();
    for (const {share} of this.holdings.all()) this.holdings.revoke(share);
  }

  private watchedEntries(): readonly string[] {
    const {current} = this.view;
    if (this.renewer.active) {
      return neighbours(current, this.entryId, this.settings.neighbours);
    }
    const previous = current.entries[this.entryId];
    return previous === undefined ? [] : [this.entryId];
  }

  /**
   * Takes over from entries whose leases have expired. While reads succeed and
   * writes fail, no entry can renew and every lease appears to be expired. So
   * an entry whose own lease has expired discards its observations of others.
   */
  private async takeOverExpired(): Promise<void> {
    if (this.renewer.active && !this.lease.valid()) this.watch.reset();
    for (const expired of this.watch.expired(this.deps.clock.now())) {
      await this.placement.takeOver(expired);
    }
  }

  /**
   * Makes one attempt to hand over all shares and to leave the fleet.
   *
   * @returns Whether this entry has left the fleet.
   */
  private async leave(): Promise<boolean> {
    const {placement, renewer: keeper} = this;
    if (!keeper.active) return true;
    const entry = this.view.current.entries[this.entryId];
    if (!entry?.leaving) await placement.declareLeaving();
    await placement.adoptGranted();
    await placement.handOverMisplaced();
    return placement.leave();
  }
}
