/** A node's view of the configuration, kept current. */
import {ConfigSnapshot, DisposableStore, repeat, sleep} from '@oathead/core';
import type {ConfigView, Clock, Counters, Random} from '@oathead/core';
import type {Membership} from '@oathead/membership';
import type {TableStore} from '@oathead/platform';
import {advance} from '../version/change.js';
import type {Change, ConfigDelta} from '../version/change.js';
import {ConfigReader} from './config_reader.js';
import type {HeadRow} from './config_rows.js';

/** The polled head, as membership reads it. */
export type HeadSource = Pick<Membership, 'head' | 'onHead'>;

/** Ways to ask other entries what they know of the configuration. */
export interface ConfigPeers {
  /** @returns Names of the peers that can be asked now. */
  ids(): readonly string[];
  /**
   * @param id - A peer.
   * @param since - The revision that is known already.
   * @returns What the peer knows beyond it; undefined when it knows no more or
   *     does not answer.
   */
  ask(id: string, since: number): Promise<ConfigDelta | undefined>;
}

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

/** How often peers are asked, in milliseconds, whatever happens. */
const GOSSIP_MS = 500;
/** How many peers are asked each time. */
const GOSSIP_FANOUT = 2;
/** A larger gap is closed by reading everything. */
const MAX_PULL = 1_000;
/** Changes kept for watches and peers. */
const RECENT_CHANGES = 1_024;
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
  private recent: readonly Change[] = [];
  private snapshot = new ConfigSnapshot(0, []);
  private loaded = false;
  /** The highest revision heard of. */
  private wanted = 0;
  private pull: Promise<void> | undefined;

  /** @param options - What it is made of. */
  constructor(private readonly options: ConfigCacheOptions) {
    this.reader = new ConfigReader(options.store, options.headRow);
  }

  /** Whether the node knows a configuration at all. */
  get ready(): boolean {
    return this.loaded;
  }

  /**
   * Loads the configuration and keeps it current until disposed.
   *
   * @returns Resolves when it is loaded, from the store or from a peer; until
   *     then the node is not ready.
   */
  async start(): Promise<void> {
    const {head, clock} = this.options;
    this.held.add(head.onHead(({cfg}) => this.hint(cfg)));
    let backoff = FIRST_BACKOFF_MS;
    while (!this.loaded && !this.held.disposed) {
      await this.load();
      if (this.loaded) break;
      await sleep(clock, backoff);
      backoff = Math.min(2 * backoff, MAX_BACKOFF_MS);
    }
    this.hint(head.head().cfg);
    this.held.add(repeat(clock, GOSSIP_MS, () => this.gossip()));
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
    this.wanted = Math.max(this.wanted, revision);
    if (this.wanted > this.snapshot.revision && this.loaded)
      void this.catchUp();
  }

  /**
   * Catches up with the store as it is now.
   *
   * @returns Whether the store could be read.
   */
  async refresh(): Promise<boolean> {
    const read = await this.reader.head();
    if (!read.ok) return false;
    this.wanted = Math.max(this.wanted, read.value.head.cfg);
    if (this.wanted > this.snapshot.revision) await this.catchUp();
    return this.snapshot.revision >= read.value.head.cfg;
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
      this.wanted = Math.max(this.wanted, change.revision);
    }
    const next: Change[] = [];
    let revision = this.snapshot.revision;
    for (;;) {
      const change = this.pending.get(++revision);
      if (!change) break;
      next.push(change);
    }
    if (next.length > 0) this.adopt(advance(this.snapshot, next), next);
    if (this.wanted > this.snapshot.revision) this.hint(this.wanted);
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
    const first = this.recent[0];
    if (!first || first.revision > since + 1) return undefined;
    return this.recent.slice(since + 1 - first.revision);
  }

  [Symbol.dispose](): void {
    this.held[Symbol.dispose]();
  }

  private async load(): Promise<void> {
    const read = await this.reader.snapshot();
    if (read.ok) {
      this.adoptSnapshot(read.value);
      return;
    }
    this.options.counters.count('config_load_failed', {cause: read.err.kind});
    const {peers} = this.options;
    await Promise.all(peers.ids().map(id => this.askPeer(id)));
  }

  private catchUp(): Promise<void> {
    this.pull ??= this.pullUntilCurrent().finally(() => {
      this.pull = undefined;
    });
    return this.pull;
  }

  private async pullUntilCurrent(): Promise<void> {
    let backoff = FIRST_BACKOFF_MS;
    while (this.wanted > this.snapshot.revision && !this.held.disposed) {
      if (await this.pullOnce()) continue;
      await sleep(this.options.clock, backoff);
      backoff = Math.min(2 * backoff, MAX_BACKOFF_MS);
    }
  }

  private async pullOnce(): Promise<boolean> {
    const since = this.snapshot.revision;
    if (this.wanted - since <= MAX_PULL) {
      const pulled = await this.reader.changes(since, this.wanted);
      if (pulled.ok) {
        this.offer(pulled.value);
        return true;
      }
      if (pulled.err.kind !== 'gone') return this.countFailure(pulled.err.kind);
    }
    const read = await this.reader.snapshot();
    if (!read.ok) return this.countFailure(read.err.kind);
    this.adoptSnapshot(read.value);
    return read.value.revision > since;
  }

  private countFailure(cause: string): false {
    this.options.counters.count('config_pull_failed', {cause});
    return false;
  }

  private async gossip(): Promise<void> {
    const {peers, random} = this.options;
    const ids = [...peers.ids()];
    const chosen: string[] = [];
    while (chosen.length < GOSSIP_FANOUT && ids.length > 0) {
      chosen.push(...ids.splice(random.int(ids.length), 1));
    }
    await Promise.all(chosen.map(id => this.askPeer(id)));
  }

  private async askPeer(id: string): Promise<void> {
    const since = this.loaded ? this.snapshot.revision : -1;
    const delta = await this.options.peers.ask(id, since);
    if (!delta || this.held.disposed) return;
    if (delta.kind === 'changes' && this.loaded) this.offer(delta.changes);
    if (delta.kind === 'snapshot') {
      this.adoptSnapshot(new ConfigSnapshot(delta.revision, delta.resources));
    }
  }

  private adoptSnapshot(snapshot: ConfigSnapshot): void {
    if (this.loaded && snapshot.revision <= this.snapshot.revision) return;
    this.recent = [];
    this.adopt(snapshot, undefined);
    this.offer([]);
  }

  private adopt(
    snapshot: ConfigSnapshot,
    changes: readonly Change[] | undefined,
  ): void {
    this.loaded = true;
    this.snapshot = snapshot;
    this.wanted = Math.max(this.wanted, snapshot.revision);
    for (const revision of [...this.pending.keys()]) {
      if (revision <= snapshot.revision) this.pending.delete(revision);
    }
    if (changes)
      this.recent = [...this.recent, ...changes].slice(-RECENT_CHANGES);
    this.options.counters.count('config_adoptions');
    for (const listener of [...this.listeners]) listener({snapshot, changes});
  }
}
