/**
 * The tables that a serving process follows, and who learns of their changes.
 * While the store can't be asked at a start, peers are.
 */
import {DisposableStore, sleep, type FreshnessLease} from '@oathead/core';
import {
  MEMBER_TABLE,
  SUSPECT_TABLE,
  type CrashSuspects,
  type Membership,
  type RoutingState,
  type TargetDirectory,
} from '@oathead/gateway';
import {
  HEAD_TABLE,
  JOB_PARTITIONS,
  type JobJanitor,
  type JobKeeper,
} from '@oathead/jobs';
import {TableWatch, type RowStore, type TableUpdate} from '@oathead/stores';
import {LRUCache} from 'lru-cache';
import type {PeerLinks} from '../connection/peer_links.js';
import type {Snapshot} from '../connection/peer_router.js';
import type {ServingContext, ServingHost} from './serving_host.js';

/** Who learns of changes. */
export interface FeedReaders {
  /** Whether the configuration is the newest. */
  readonly freshness: FreshnessLease;
  readonly routing: RoutingState;
  readonly directory: TargetDirectory;
  readonly membership: Membership;
  readonly crashes: CrashSuspects;
  readonly keeper: JobKeeper;
  readonly janitor: JobJanitor;
}

/** How a table is followed. */
interface Pace {
  readonly waitMs: number;
  readonly pauseMs: number;
  readonly fullReadMs: number;
  readonly pageRows: number;
}

/**
 * A change of the configuration is to be known within two seconds, also when
 * the connection has gone silent: a wait of 600 ms and the store client's margin
 * end such a call well before. Lists that change with each heartbeat are asked
 * for a few times a second only, whatever their size.
 */
const PACES = {
  config: {waitMs: 600, pauseMs: 0, fullReadMs: 10_000, pageRows: 500},
  targets: {waitMs: 600, pauseMs: 250, fullReadMs: 10_000, pageRows: 500},
  members: {waitMs: 900, pauseMs: 500, fullReadMs: 30_000, pageRows: 500},
  suspects: {waitMs: 1500, pauseMs: 500, fullReadMs: 60_000, pageRows: 500},
  heads: {waitMs: 900, pauseMs: 300, fullReadMs: 60_000, pageRows: 500},
} as const satisfies Record<string, Pace>;

/** After an outage, targets' entries that have lapsed are waited for so long,
 * in milliseconds: live targets renew them within two seconds. */
const LAPSED_TARGET_GRACE_MS = 2200;
/** How long a starting process waits for the store before it asks its peers, and
 * between two such questions, in milliseconds. */
const ASK_PEERS_MS = 400;
/** Unreadable rows that are remembered, so that each is logged once. */
const MAX_UNREADABLE_ROWS = 1000;
/** Tables without subdivision have this one partition. */
const WHOLE = [''] as const;

/** Follows the tables until disposed. */
export class TableFeeds implements Disposable {
  private readonly held = new DisposableStore();
  private readonly watches = new Map<string, TableWatch>();
  /** Why a row could not be read when it was last logged. */
  private readonly unreadableRows = new LRUCache<string, string>({
    max: MAX_UNREADABLE_ROWS,
  });

  /**
   * @param host - Which tables are the platform's, and how to read their rows.
   * @param context - Clock, log and counters.
   * @param store - Where the tables lie.
   * @param readers - Who learns of changes.
   * @param onTargets - Called after each answer about targets.
   */
  constructor(
    private readonly host: ServingHost,
    private readonly context: ServingContext,
    private readonly store: RowStore,
    private readonly readers: FeedReaders,
    private readonly onTargets: () => void,
  ) {}

  /** Begins to follow all tables. */
  start(): void {
    const {config, targets} = this.host;
    const {membership, crashes, keeper, janitor} = this.readers;
    const {freshness} = this.readers;
    this.follow(
      config.table,
      WHOLE,
      PACES.config,
      update => this.updateConfig(update),
      freshness,
    );
    this.follow(targets.table, WHOLE, PACES.targets, update =>
      this.updateTargets(update),
    );
    this.follow(MEMBER_TABLE, WHOLE, PACES.members, update =>
      membership.update(update),
    );
    this.follow(SUSPECT_TABLE, WHOLE, PACES.suspects, update =>
      crashes.update(update),
    );
    this.follow(HEAD_TABLE, JOB_PARTITIONS, PACES.heads, update => {
      keeper.update(update);
      janitor.update(update);
    });
  }

  /** Ends all watches. */
  [Symbol.dispose](): void {
    this.held[Symbol.dispose]();
  }

  /** @returns What another process needs to start without the store. */
  snapshot(): Snapshot {
    return Object.fromEntries(
      this.sharedTables().map(table => [table, this.watches.get(table)!.all()]),
    );
  }

  /**
   * Learns from other hosts what the store can't tell.
   *
   * Guards against a start while the store is down for all: without this the
   * process would know no configuration and no targets until the store is back,
   * while the hosts beside it serve by what they have.
   *
   * @param peers - Who can be asked.
   * @param starting - Whether anything is still missing.
   */
  async askPeers(peers: PeerLinks, starting: () => boolean): Promise<void> {
    const {clock, log} = this.context;
    while (starting()) {
      await sleep(clock, ASK_PEERS_MS);
      const unread = this.sharedTables().filter(
        table => !this.watches.get(table)!.hasRead,
      );
      if (unread.length === 0) return;
      const answer = await peers.firstSnapshot();
      if (!answer) continue;
      const {address, snapshot} = answer;
      log.event('peer-snapshot-taken', {peer: address, tables: unread});
      for (const table of unread)
        this.watches.get(table)!.seed(snapshot[table] ?? []);
    }
  }

  private sharedTables(): readonly string[] {
    const {config, targets} = this.host;
    return [config.table, targets.table, MEMBER_TABLE];
  }

  private follow(
    table: string,
    partitions: readonly string[],
    pace: Pace,
    onUpdate: (update: TableUpdate) => void,
    freshness?: FreshnessLease,
  ): void {
    const options = {table, partitions, ...pace};
    const context = {...this.context, store: this.store, freshness};
    const watch = this.held.add(new TableWatch(options, context, onUpdate));
    this.watches.set(table, watch);
    watch.start();
  }

  private updateConfig({put}: TableUpdate): void {
    for (const row of put) {
      const table = this.host.config.decode(row);
      if (!table) continue;
      if (table.ok) this.readers.routing.adopt(table.value, 'store');
      else this.unreadable('config', row.key, table.err.message);
    }
  }

  private updateTargets({put, removed}: TableUpdate): void {
    const {directory} = this.readers;
    const graceMs = directory.listRead() ? LAPSED_TARGET_GRACE_MS : 0;
    for (const {key} of removed) directory.remove(key, graceMs);
    for (const row of put) {
      const target = this.host.targets.decode(row);
      if (!target) continue;
      if (target.ok) {
        directory.put(target.value);
        this.unreadableRows.delete(rowName('target', row.key));
        continue;
      }
      // What is not an entry of a server names none that could be used.
      directory.remove(row.key, 0);
      this.unreadable('target', row.key, target.err.message);
    }
    this.onTargets();
  }

  private unreadable(what: string, key: string, message: string): void {
    this.context.counters.count('rows_unreadable', {what});
    // The writer of a bad row may write it again with each of its heartbeats.
    const name = rowName(what, key);
    if (this.unreadableRows.get(name) === message) return;
    this.unreadableRows.set(name, message);
    this.context.log.event('row-unreadable', {what, key, message});
  }
}

function rowName(what: string, key: string): string {
  return `${what} ${key}`;
}
