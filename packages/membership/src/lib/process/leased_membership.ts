/**
 * Membership by leases in the platform's table. The page of this package has
 * the protocol and its arithmetic.
 */
import {DisposableStore, hash32, repeat, sleep} from '@oathead/core';
import type {Clock, Counters, Random} from '@oathead/core';
import type {RowCheck, TableStore} from '@oathead/stores';
import {Callbacks} from './callbacks.js';
import {neighbours} from './directory.js';
import {DirectoryView} from './directory_view.js';
import {HandOver} from './hand_over.js';
import {EMPTY_HEAD, HEAD_KEY, headOf} from './head_row.js';
import {LeaseKeeper} from './lease_keeper.js';
import {leaseKey} from './lease_row.js';
import {LeaseWatch} from './lease_watch.js';
import type {Head, HeldShare, Membership, Peer} from './membership.js';
import type {MembershipSettings} from './membership_settings.js';
import {OwnLease} from './own_lease.js';
import {readShareCount} from './share_count.js';
import {ShareHoldings} from './share_holdings.js';
import {SharePlacement} from './share_placement.js';

/** What {@link LeasedMembership} works with. */
export interface MembershipDeps {
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly table: TableStore;
}

const LEAVE_STEP_MS = 100;

/** Membership by leases in the platform's table. */
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
  private readonly keeper: LeaseKeeper;
  private readonly holdings: ShareHoldings;
  private readonly watch: LeaseWatch;
  private readonly view: DirectoryView;
  private readonly placement: SharePlacement;

  private lastHead = EMPTY_HEAD;
  private knownMembers = -1;
  private storedShareCount: number | undefined;
  private leaving = false;
  private lastTask: Promise<void> = Promise.resolve();

  /**
   * @param deps - Clock, randomness, counters and store.
   * @param settings - Settings of this entry.
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
    this.keeper = this.store.add(
      new LeaseKeeper(deps, this.lease, renewMs, {
        renewed: () => this.holdings.tell({type: 'renew'}),
        lapsed: () => this.holdings.tell({type: 'lapse'}),
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

  /** As configured until the stored count was read; no share is held before. */
  get shareCount(): number {
    return this.storedShareCount ?? this.settings.shareCount;
  }

  /** Whether this entry is a member, and its lease valid. */
  get ready(): boolean {
    return this.keeper.keeping && this.lease.valid();
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

  /** Calls back after each read of the head, also when it has not changed. */
  onHead(callback: (head: Head) => void): Disposable {
    return this.headCallbacks.add(callback);
  }

  /** Calls back again for a share that was lost and has come back. */
  onTaken(callback: (share: HeldShare) => void): Disposable {
    return this.takenCallbacks.add(callback);
  }

  /**
   * Calls back when the lease runs out by this entry's clock, and again should
   * the share be found to be another's. A share that nobody took comes back by
   * {@link onTaken} with the same epoch.
   */
  onLost(callback: (share: HeldShare) => void): Disposable {
    return this.lostCallbacks.add(callback);
  }

  onHandOver(callback: (share: HeldShare) => Promise<void>): Disposable {
    return this.handOverCallbacks.add(callback);
  }

  /** Joins as soon as the store can be reached, and keeps the lease. */
  start(): void {
    const poll = () => this.inTurn(() => this.poll());
    void poll();
    this.store.add(repeat(this.deps.clock, this.settings.headPollMs, poll));
  }

  /**
   * Hands all shares over and leaves. Where that cannot be done in time, the
   * lease runs out by itself.
   *
   * @param timeoutMs - At most so long, in milliseconds.
   */
  async stop(timeoutMs: number): Promise<void> {
    const {clock} = this.deps;
    const deadline = clock.now() + timeoutMs;
    this.leaving = true;
    this.keeper.leave();
    let left = false;
    while (!left && clock.now() < deadline) {
      await Promise.race([
        this.inTurn(async () => {
          left = await this.leave();
        }),
        sleep(clock, deadline - clock.now()),
      ]);
      if (!left) await sleep(clock, LEAVE_STEP_MS);
    }
    this[Symbol.dispose]();
  }

  /** Stops at once, as a process that dies would; the lease runs out. */
  [Symbol.dispose](): void {
    this.store[Symbol.dispose]();
  }

  /** One at a time, so that no older read of rows overtakes a newer one. */
  private inTurn(task: () => Promise<void>): Promise<void> {
    this.lastTask = this.lastTask.then(async () => {
      if (!this.store.disposed) await task();
    });
    return this.lastTask;
  }

  private async poll(): Promise<void> {
    const {clock, table, counters} = this.deps;
    const watched = this.watch.due(clock.now()) ? this.watched() : [];
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
    if (await this.learnShareCount()) await this.settle();
  }

  private async settle(): Promise<void> {
    if (!this.keeper.keeping && !this.leaving) await this.join();
    await this.refresh();
    await this.takeOverLapsed();
    if (!this.keeper.keeping) return;
    await this.placement.assignOrphans();
    await this.placement.adoptGranted();
    await this.placement.handOverMisplaced();
  }

  private async learnShareCount(): Promise<boolean> {
    const {deps, settings} = this;
    this.storedShareCount ??= await readShareCount(deps, settings.shareCount);
    return this.storedShareCount !== undefined;
  }

  private async join(): Promise<void> {
    const {address, dataCentre} = this.settings;
    const {boot} = this.lease;
    const entry = {address, dataCentre, leaving: false, boot};
    if (await this.placement.join(entry)) await this.keeper.begin();
  }

  private async refresh(): Promise<void> {
    const {members} = this.lastHead;
    if (members === this.knownMembers) return;
    if (await this.view.refresh()) this.knownMembers = members;
  }

  /** Gives up what the directory says is not this entry's. */
  private checkHoldings(): void {
    const {entries, shares} = this.view.current;
    const mine = entries[this.entryId]?.boot === this.lease.boot;
    if (this.keeper.keeping && !mine) this.restart();
    for (const {share, epoch} of this.holdings.all()) {
      const now = shares[share];
      const kept = now?.owner === this.entryId && now.epoch === epoch;
      if (!kept) this.holdings.revoke(share);
    }
  }

  /** Another entry has ended this entry's lease: it begins anew. */
  private restart(): void {
    if (!this.leaving) this.deps.counters.count('membership_lease_lost');
    this.keeper.end();
    for (const {share} of this.holdings.all()) this.holdings.revoke(share);
  }

  private watched(): readonly string[] {
    const {current} = this.view;
    if (this.keeper.keeping) {
      return neighbours(current, this.entryId, this.settings.neighbours);
    }
    const earlier = current.entries[this.entryId];
    return earlier === undefined ? [] : [this.entryId];
  }

  /**
   * While reads go on and writes fail, nobody can renew: every lease looks
   * lapsed. An entry that cannot renew its own lease does not judge others.
   */
  private async takeOverLapsed(): Promise<void> {
    if (this.keeper.keeping && !this.lease.valid()) this.watch.reset();
    for (const lapsed of this.watch.lapsed(this.deps.clock.now())) {
      await this.placement.takeOver(lapsed);
    }
  }

  /** @returns Whether nothing of this entry is left. */
  private async leave(): Promise<boolean> {
    const {placement, keeper} = this;
    if (!keeper.keeping) return true;
    const entry = this.view.current.entries[this.entryId];
    if (!entry?.leaving) await placement.declareLeaving();
    await placement.adoptGranted();
    await placement.handOverMisplaced();
    return placement.leave();
  }
}
