/** A node's view of the configuration, kept current. */
import {ConfigSnapshot, DisposableStore, sleep} from '@oathead/core';
import type {Clock, ConfigView, Counters, Outcome, Random} from '@oathead/core';
import type {Membership} from '@oathead/membership';
import type {StoreError, TableStore} from '@oathead/stores';
import type {Change, ConfigDelta} from '../version/change.js';
import {ConfigGossip} from './config_gossip.js';
import type {ConfigPeers} from './config_gossip.js';
import {ConfigPuller} from './config_puller.js';
import type {PullSink} from './config_puller.js';
import {ConfigReader} from './config_reader.js';
import type {LogGone} from './config_reader.js';
import type {HeadRow} from './config_rows.js';
import {RecentChanges} from './recent_changes.js';

/** The polled head, as membership reads it. */
export type HeadSource = Pick<Membership, 'head' | 'onHead'>;

/** What a cache is made of. */
export interface ConfigCacheOptions {
  readonly store: TableStore;
  readonly headRow: HeadRow;
  readonly head: HeadSource;
  readonly peers: ConfigPeers;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
}

/** How often a starting entry asks peers while the store is down. */
const START_ROUNDS = 4;
const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1_000;

/** Told of each adopted revision. */
export interface Adoption {
  readonly snapshot: ConfigSnapshot;
  /** What led to it; undefined when everything was read anew. */
  readonly changes?: readonly Change[];
}

/**
 * The configuration as this node knows it. It only moves forward: whatever
 * comes, from the store or from a peer, is adopted only if its revision is
 * higher.
 *
 * Guards against a store that goes down just after a change was accepted: the
 * entries that have not read the change yet could not, and would serve the old
 * configuration for as long as the outage lasts. So entries also ask each
 * other, at a constant rate, and the change reaches all from the one entry that
 * accepted it.
 */
export class ConfigCache implements ConfigView, Disposable {
  private readonly held = new DisposableStore();
  private readonly reader: ConfigReader;
  private readonly listeners = new Set<(adoption: Adoption) => void>();
  /** Changes that wait for the ones before them, by revision. */
  private readonly pending = new Map<number, Change>();
  private readonly recent = new RecentChanges();
  private readonly gossip: ConfigGossip;
  private readonly puller: ConfigPuller;
  private snapshot = new ConfigSnapshot(0, []);
  private loaded = false;
  private started = false;

  /** @param options - What it is made of. */
  constructor(private readonly options: ConfigCacheOptions) {
    this.reader = new ConfigReader(options.store, options.headRow);
    const {peers, clock, random, counters} = options;
    const sink: PullSink = {
      revision: () => this.snapshot.revision,
      offer: changes => this.offer(changes),
      adoptSnapshot: snapshot => this.adoptSnapshot(snapshot),
    };
    this.puller = this.held.add(
      new ConfigPuller(this.reader, sink, clock, counters),
    );
    this.gossip = new ConfigGossip({
      peers,
      clock,
      random,
      known: () => (this.loaded ? this.snapshot.revision : -1),
      onDelta: delta => this.take(delta),
    });
  }

  /** Whether the node knows a configuration that it may serve by. */
  get ready(): boolean {
    return this.started;
  }

  /**
   * Loads the configuration and keeps it current until disposed.
   *
   * @returns Resolves when the node is ready, with the configuration of the
   *     store or, while that is down, of peers.
   */
  async start(): Promise<void> {
    const {head, clock} = this.options;
    this.held.add(head.onHead(({cfg}) => this.hint(cfg)));
    let backoff = FIRST_BACKOFF_MS;
    while (!(await this.load()) && !this.held.disposed) {
      await sleep(clock, backoff);
      backoff = Math.min(2 * backoff, MAX_BACKOFF_MS);
    }
    if (this.held.disposed) return;
    this.started = true;
    this.hint(head.head().cfg);
    this.held.add(this.gossip.start());
  }

  current(): ConfigSnapshot {
    return this.snapshot;
  }

  onChange(callback: (snapshot: ConfigSnapshot) => void): Disposable {
    return this.onAdopt(({snapshot}) => callback(snapshot));
  }

  /**
   * @param callback - Called after each adoption, with what led to it.
   * @returns A disposable that ends the calls.
   */
  onAdopt(callback: (adoption: Adoption) => void): Disposable {
    this.listeners.add(callback);
    return {[Symbol.dispose]: () => this.listeners.delete(callback)};
  }

  /**
   * Tells that a revision exists, by whatever way it was heard of. It is pulled
   * if it is new.
   *
   * @param revision - The revision.
   */
  hint(revision: number): void {
    if (this.loaded) this.puller.hint(revision);
  }

  /**
   * Catches up with the store as it is now, once: unlike what goes on in the
   * background it does not wait for an outage to end.
   *
   * @returns Whether the view is as new as the store was at the call.
   */
  refresh(): Promise<boolean> {
    return this.puller.refresh();
  }

  /**
   * Reads changes that are no longer in memory.
   *
   * @param since - The last revision that is known already.
   * @returns All changes after it up to the current revision.
   */
  logSince(
    since: number,
  ): Promise<Outcome<readonly Change[], StoreError | LogGone>> {
    return this.reader.changes(since, this.snapshot.revision);
  }

  /**
   * Takes changes in, in any order; those that come before their predecessors
   * wait for them.
   *
   * @param changes - Changes that were committed.
   */
  offer(changes: readonly Change[]): void {
    for (const change of changes) {
      if (change.revision <= this.snapshot.revision) continue;
      this.pending.set(change.revision, change);
    }
    if (!this.loaded) return;
    const next: Change[] = [];
    let revision = this.snapshot.revision;
    for (;;) {
      const change = this.pending.get(++revision);
      if (!change) break;
      next.push(change);
    }
    if (next.length > 0) this.adopt(this.snapshot.advance(next), next);
    this.hint(Math.max(0, ...this.pending.keys()));
  }

  /**
   * What a peer asks for.
   *
   * @param since - The revision that the peer knows.
   * @returns What this node knows beyond it, if anything.
   */
  delta(since: number): ConfigDelta | undefined {
    const {revision, resources} = this.snapshot;
    if (!this.loaded || revision <= since) return undefined;
    const changes = this.recentSince(since);
    if (changes) return {kind: 'changes', changes};
    return {kind: 'snapshot', revision, resources};
  }

  /**
   * @param since - A revision that is known already.
   * @returns All changes after it up to the current revision, or undefined when
   *     they are not all in memory.
   */
  recentSince(since: number): readonly Change[] | undefined {
    if (since >= this.snapshot.revision) return [];
    return this.recent.since(since);
  }

  [Symbol.dispose](): void {
    this.held[Symbol.dispose]();
  }

  /**
   * Guards against a peer that is itself behind: a starting entry that served
   * by what it says would revert for the callers it takes over. So several
   * peers are asked, one after another, before the entry is ready.
   */
  private async load(): Promise<boolean> {
    const read = await this.reader.snapshot();
    if (read.ok) {
      this.adoptSnapshot(read.value);
      return true;
    }
    this.options.counters.count('config_load_failed', {cause: read.err.kind});
    for (let round = 0; round < START_ROUNDS; round++) {
      await this.gossip.askSome();
    }
    return this.loaded;
  }

  private take(delta: ConfigDelta): void {
    if (this.held.disposed) return;
    if (delta.kind === 'snapshot') {
      this.adoptSnapshot(new ConfigSnapshot(delta.revision, delta.resources));
    } else if (this.loaded) this.offer(delta.changes);
  }

  private adoptSnapshot(snapshot: ConfigSnapshot): void {
    if (this.loaded && snapshot.revision <= this.snapshot.revision) return;
    this.recent.clear();
    this.adopt(snapshot, undefined);
    this.offer([]);
  }

  private adopt(
    snapshot: ConfigSnapshot,
    changes: readonly Change[] | undefined,
  ): void {
    this.loaded = true;
    this.snapshot = snapshot;
    for (const revision of [...this.pending.keys()]) {
      if (revision <= snapshot.revision) this.pending.delete(revision);
    }
    if (changes) this.recent.push(changes);
    this.options.counters.count('config_adoptions');
    for (const listener of [...this.listeners]) listener({snapshot, changes});
  }
}
