/**
 * Membership by leases in the platform's table. The package's page has the
 * protocol and its arithmetic.
 */
import {DisposableStore, hash32, repeat, sleep} from '@oathead/core';
import type {Clock, Counters, Random} from '@oathead/core';
import type {Row, RowCheck, TableStore} from '@oathead/platform';
import {Callbacks} from './callbacks.js';
import {
  DIRECTORY_KEY,
  directoryOf,
  neighbours,
  orphanShares,
  preferredOwner,
  reassign,
  sharesOf,
  stayingEntries,
  withEntry,
  withoutEntry,
} from './directory.js';
import type {Directory} from './directory.js';
import {changeDirectory} from './directory_writer.js';
import type {DirectoryPlan} from './directory_writer.js';
import {HandOver} from './hand_over.js';
import {EMPTY_HEAD, HEAD_KEY, headOf} from './head_row.js';
import {LeaseWatch} from './lease_watch.js';
import type {LapsedLease} from './lease_watch.js';
import {leaseKey, shareKey, shareOwnerOf} from './lease_row.js';
import type {Head, HeldShare, Membership, Peer} from './membership.js';
import type {MembershipSettings} from './membership_settings.js';
import {OwnLease} from './own_lease.js';
import type {Renewal} from './own_lease.js';
import {readShareCount} from './share_count.js';
import {ShareHoldings} from './share_holdings.js';

/** What {@link LeasedMembership} works with. */
export interface MembershipDeps {
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly table: TableStore;
}

const MAX_SHARES_PER_WRITE = 64;
const RENEW_JITTER = 0.2;
const RETRY_MS = 1_000;
const SETTLE_MS = 100;

/** Membership by leases in the platform's table. */
export class LeasedMembership implements Membership {
  private readonly store = new DisposableStore();
  private readonly lease: OwnLease;
  private readonly holdings: ShareHoldings;
  private readonly handOver: HandOver;
  private readonly watch: LeaseWatch;
  private readonly headCallbacks = new Callbacks<Head>();
  private readonly takenCallbacks = new Callbacks<HeldShare>();
  private readonly lostCallbacks = new Callbacks<HeldShare>();
  private readonly handOverCallbacks = new Callbacks<
    HeldShare,
    Promise<void>
  >();
  private readonly stopped = new AbortController();

  private lastHead = EMPTY_HEAD;
  private directory: Directory;
  private knownMembers = -1;
  private joined = false;
  private leaving = false;
  private countKnown = false;
  private lastWatch = -Infinity;
  private running: Promise<void> = Promise.resolve();

  /**
   * @param deps - Clock, randomness, counters and store.
   * @param settings - Settings of this entry.
   */
  constructor(
    private readonly deps: MembershipDeps,
    private settings: MembershipSettings,
  ) {
    this.lease = new OwnLease(deps, settings);
    this.directory = directoryOf(undefined, settings.shareCount);
    this.watch = new LeaseWatch(settings.leaseMs + settings.marginMs);
    this.holdings = new ShareHoldings({
      taken: share => this.takenCallbacks.call(share),
      lost: share => this.lostCallbacks.call(share),
    });
    this.handOver = new HandOver(deps.clock, settings.handOverMs, share =>
      Promise.allSettled(this.handOverCallbacks.call(share)),
    );
  }

  get entryId(): string {
    return this.settings.entryId;
  }

  /** As configured until the stored count was read; no share is held before. */
  get shareCount(): number {
    return this.settings.shareCount;
  }

  /** Whether this entry has a lease that is valid now. */
  get ready(): boolean {
    return this.joined && this.lease.valid();
  }

  shareOf(key: string): number {
    return hash32(key) % this.shareCount;
  }

  ownerOf(share: number): Peer | undefined {
    const owner = this.directory.shares[share]?.owner;
    return owner === undefined ? undefined : this.peer(owner);
  }

  peers(): readonly Peer[] {
    return Object.keys(this.directory.entries).map(id => this.peer(id)!);
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
    const {clock} = this.deps;
    void this.serial(() => this.poll());
    this.store.add(
      repeat(clock, this.settings.headPollMs, () =>
        this.serial(() => this.poll()),
      ),
    );
    void this.keepRenewing();
  }

  /**
   * Hands all shares over and leaves. Where the store cannot be reached in
   * time, the lease runs out by itself.
   *
   * @param timeoutMs - At most so long, in milliseconds.
   */
  async stop(timeoutMs: number): Promise<void> {
    const {clock} = this.deps;
    const deadline = clock.now() + timeoutMs;
    this.leaving = true;
    let left = !this.joined;
    while (!left && clock.now() < deadline) {
      await this.serial(async () => {
        left = await this.leave();
      });
      if (!left) await sleep(clock, SETTLE_MS);
    }
    this[Symbol.dispose]();
  }

  /** Stops at once, as a process that dies would; the lease runs out. */
  [Symbol.dispose](): void {
    this.stopped.abort();
    this.store[Symbol.dispose]();
  }

  /** Rows are read and changed by one task at a time, so that no older read
   * overtakes a newer one. */
  private serial(task: () => Promise<void>): Promise<void> {
    this.running = this.running.then(async () => {
      if (!this.stopped.signal.aborted) await task();
    });
    return this.running;
  }

  private async poll(): Promise<void> {
    const {clock, table, counters} = this.deps;
    const watched = this.watchedNow();
    const keys = [HEAD_KEY, ...watched.map(leaseKey)];
    const read = await table.read(keys);
    if (!read.ok) {
      counters.count('membership_poll_failed');
      this.watch.reset();
      return;
    }
    const [head, ...leases] = read.value;
    if (watched.length > 0) this.observe(watched, leases, clock.now());
    this.lastHead = headOf(head);
    this.headCallbacks.call(this.lastHead);
    await this.settle();
  }

  private async settle(): Promise<void> {
    if (!(await this.learnShareCount())) return;
    if (!this.joined) await this.join();
    if (this.lastHead.members !== this.knownMembers) await this.refresh();
    await this.takeOverLapsed();
    await this.assignOrphans();
    await this.adoptGranted();
    await this.handOverMisplaced();
  }

  private async learnShareCount(): Promise<boolean> {
    if (this.countKnown) return true;
    const count = await readShareCount(this.deps, this.settings.shareCount);
    if (count === undefined) return false;
    this.settings = {...this.settings, shareCount: count};
    this.directory = directoryOf(undefined, count);
    this.countKnown = true;
    return true;
  }

  private async join(): Promise<void> {
    if (this.leaving) return;
    const outcome = await this.lease.join(this.shareCount);
    if (!outcome.ok) return;
    const entry = outcome.value.entries[this.entryId];
    this.joined = entry?.boot === this.lease.boot;
    if (this.joined) this.noteRenewal(await this.lease.renew(false));
    this.adopt(outcome.value);
  }

  private async refresh(): Promise<void> {
    const {members} = this.lastHead;
    const read = await this.deps.table.read([DIRECTORY_KEY]);
    if (!read.ok) return;
    this.knownMembers = members;
    this.adopt(directoryOf(read.value[0], this.shareCount));
  }

  private adopt(directory: Directory): void {
    this.directory = directory;
    const entry = directory.entries[this.entryId];
    const mine = this.joined && entry?.boot === this.lease.boot;
    if (this.joined && !mine) this.restart();
    for (const {share, epoch} of this.holdings.all()) {
      const now = directory.shares[share];
      const kept = now?.owner === this.entryId && now.epoch === epoch;
      if (!kept) this.holdings.revoke(share);
    }
  }

  private restart(): void {
    this.deps.counters.count('membership_lease_lost');
    this.joined = false;
    this.lease.restart();
    for (const {share} of this.holdings.all()) this.holdings.revoke(share);
  }

  private watchedNow(): readonly string[] {
    const now = this.deps.clock.now();
    if (now - this.lastWatch < this.settings.watchMs) return [];
    this.lastWatch = now;
    if (!this.joined) {
      const old = this.directory.entries[this.entryId];
      return old === undefined ? [] : [this.entryId];
    }
    return neighbours(this.directory, this.entryId, this.settings.neighbours);
  }

  private observe(
    watched: readonly string[],
    rows: readonly (Row | undefined)[],
    now: number,
  ): void {
    const versions = watched.map((id, i) => [id, rows[i]?.version] as const);
    this.watch.observe(new Map(versions), now);
  }

  /**
   * While reads go on and writes fail, nobody can renew: every lease looks
   * lapsed. An entry that cannot renew its own lease does not judge others.
   */
  private async takeOverLapsed(): Promise<void> {
    if (this.joined && !this.lease.valid()) this.watch.reset();
    for (const lapsed of this.watch.lapsed(this.deps.clock.now())) {
      await this.takeOver(lapsed);
    }
  }

  private async takeOver({entryId, version}: LapsedLease): Promise<void> {
    const done = await this.change(directory => {
      if (directory.entries[entryId] === undefined) return undefined;
      const shares = sharesOf(directory, entryId);
      const rest = withoutEntry(directory, entryId);
      return {
        directory: reassign(rest, shares.slice(0, MAX_SHARES_PER_WRITE)),
        checks: [{key: leaseKey(entryId), version}],
        writes: [{kind: 'delete', key: leaseKey(entryId)}],
      };
    });
    if (done) this.deps.counters.count('membership_take_overs');
  }

  /** One entry alone assigns what nobody owns: all at once would conflict. */
  private async assignOrphans(): Promise<void> {
    if (orphanShares(this.directory).length === 0) return;
    const staying = stayingEntries(this.directory);
    if (preferredOwner(-1, staying) !== this.entryId) return;
    await this.change(directory => {
      const orphans = orphanShares(directory);
      if (orphans.length === 0) return undefined;
      const some = orphans.slice(0, MAX_SHARES_PER_WRITE);
      return {directory: reassign(directory, some), checks: [], writes: []};
    });
  }

  /** Begins to act on shares that the directory gives to this entry. */
  private async adoptGranted(): Promise<void> {
    if (!this.ready) return;
    const held = new Set(this.holdings.all().map(({share}) => share));
    const granted = sharesOf(this.directory, this.entryId).filter(
      share => !held.has(share),
    );
    if (granted.length === 0) return;
    const read = await this.deps.table.read(granted.map(shareKey));
    if (!read.ok) return;
    for (const [i, share] of granted.entries())
      this.grant(share, read.value[i]);
  }

  private grant(share: number, row: Row | undefined): void {
    if (row === undefined || !this.ready) return;
    const {owner, epoch} = shareOwnerOf(row);
    const expected = this.directory.shares[share]!.epoch;
    if (owner !== this.entryId || epoch !== expected) return;
    this.holdings.grant({share, epoch}, row.version);
  }

  private async handOverMisplaced(): Promise<void> {
    const staying = stayingEntries(this.directory);
    for (const share of this.holdings.held()) {
      if (preferredOwner(share.share, staying) === this.entryId) continue;
      this.holdings.tell({type: 'handOver'}, [share.share]);
      this.handOver.begin(share);
    }
    const ready = this.handOver.ready();
    if (ready.length === 0) return;
    const {entryId} = this;
    await this.change(directory => {
      const mine = ready.filter(s => directory.shares[s]?.owner === entryId);
      if (mine.length === 0) return undefined;
      const some = mine.slice(0, MAX_SHARES_PER_WRITE);
      return {directory: reassign(directory, some), checks: [], writes: []};
    });
    this.handOver.end(ready);
    this.holdings.tell({type: 'keep'}, ready);
  }

  /** @returns Whether nothing of this entry is left. */
  private async leave(): Promise<boolean> {
    const {entryId} = this;
    const entry = this.directory.entries[entryId];
    if (!this.joined || entry === undefined) return true;
    if (!entry.leaving) await this.declareLeaving();
    await this.handOverMisplaced();
    if (sharesOf(this.directory, entryId).length > 0) return false;
    return this.change(directory => {
      const mine = directory.entries[entryId]?.boot === this.lease.boot;
      if (!mine) return undefined;
      return {
        directory: withoutEntry(directory, entryId),
        checks: [],
        writes: [{kind: 'delete', key: leaseKey(entryId)}],
      };
    });
  }

  private async declareLeaving(): Promise<void> {
    const {entryId} = this;
    await this.change(directory => {
      const entry = directory.entries[entryId];
      if (entry === undefined || entry.leaving) return undefined;
      return {
        directory: withEntry(directory, entryId, {...entry, leaving: true}),
        checks: [],
        writes: [],
      };
    });
  }

  private async change(plan: DirectoryPlan): Promise<boolean> {
    const outcome = await changeDirectory(this.deps, this.shareCount, plan);
    if (outcome.ok) this.adopt(outcome.value);
    return outcome.ok;
  }

  private async keepRenewing(): Promise<void> {
    const {clock, random} = this.deps;
    const {signal} = this.stopped;
    while (!signal.aborted) {
      const renewal = this.joined
        ? await this.lease.renew(this.leaving)
        : 'unsure';
      if (this.joined) this.noteRenewal(renewal);
      const pauseMs = renewal === 'kept' ? this.settings.renewMs : RETRY_MS;
      const jitter = 1 + RENEW_JITTER * (random.float() - 0.5);
      await sleep(clock, pauseMs * jitter, signal);
    }
  }

  private noteRenewal(renewal: Renewal): void {
    if (this.stopped.signal.aborted) return;
    if (renewal === 'gone') this.restart();
    else if (this.lease.valid()) this.holdings.tell({type: 'renew'});
    this.armLapse();
  }

  private armLapse(): void {
    const {clock} = this.deps;
    if (!this.lease.valid()) {
      this.holdings.tell({type: 'lapse'});
      return;
    }
    const timer = clock.after(this.lease.until - clock.now(), () => {
      if (!this.lease.valid()) this.holdings.tell({type: 'lapse'});
    });
    this.store.add(timer);
  }

  private peer(entryId: string): Peer | undefined {
    const entry = this.directory.entries[entryId];
    if (entry === undefined) return undefined;
    const {address, dataCentre, leaving} = entry;
    return {entryId, address, dataCentre, leaving};
  }
}
