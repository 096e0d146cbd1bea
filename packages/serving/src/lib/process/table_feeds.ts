/**
 * Watches the tables that a serving process uses and passes their changes to
 * its components. If the store is unavailable at startup, the tables are read
 * from peers.
 */
import {DisposableStore, sleep, type FreshnessLease} from '@oathead/core';
import {
  MEMBER_TABLE,
  SUSPECT_TABLE,
  type AnnouncedTargets,
  type CrashSuspects,
  type Membership,
  type PromptSuspects,
  type RoutingState,
  type TargetDirectory,
} from '@oathead/gateway';
import {
  HEAD_TABLE,
  JOB_PARTITIONS,
  type JobGarbageCollector,
  type JobOwnership,
} from '@oathead/jobs';
import {
  SEEDED_STORE_TIME_MS,
  TableWatch,
  type RowStore,
  type TableUpdate,
  type VersionedRow,
} from '@oathead/stores';
import {LRUCache} from 'lru-cache';
import type {PeerClients} from '../connection/peer_clients.js';
import type {Snapshot} from '../connection/peer_router.js';
import type {ServingContext, ServingPlatform} from './serving_platform.js';

/** Components that receive changes. */
export interface FeedConsumers {
  /** Tracks whether the configuration is the newest. */
  readonly freshness: FreshnessLease;
  readonly routing: RoutingState;
  readonly directory: TargetDirectory;
  readonly announcedTargets: AnnouncedTargets;
  readonly membership: Membership;
  readonly crashSuspects: CrashSuspects;
  readonly promptSuspects: PromptSuspects;
  readonly jobOwnership: JobOwnership;
  readonly garbageCollector: JobGarbageCollector;
}

/** How a table is watched; all times are in milliseconds. */
interface FeedSettings {
  /** How long the store may hold a call until there are changes. */
  readonly waitMs: number;
  /** Minimum interval between the starts of two calls. */
  readonly pauseMs: number;
  /** Interval at which the whole table is read. */
  readonly fullReadMs: number;
  /** Maximum number of rows per page of a full read. */
  readonly pageRows: number;
}

/**
 * Watch settings by table. A change of the configuration must be known within
 * two seconds, also if the connection no longer responds: a wait of 600 ms plus
 * the timeout margin of the store client ends such a call well before. Tables
 * that change with each heartbeat are polled only a few times a second,
 * whatever their size.
 */
const FEED_SETTINGS = {
  config: {waitMs: 600, pauseMs: 0, fullReadMs: 10_000, pageRows: 500},
  targets: {waitMs: 600, pauseMs: 250, fullReadMs: 10_000, pageRows: 500},
  members: {waitMs: 900, pauseMs: 500, fullReadMs: 30_000, pageRows: 500},
  suspects: {waitMs: 1500, pauseMs: 200, fullReadMs: 60_000, pageRows: 500},
  heads: {waitMs: 900, pauseMs: 300, fullReadMs: 60_000, pageRows: 500},
} as const satisfies Record<string, FeedSettings>;

/**
 * How long expired targets are kept after a store outage, in milliseconds. Live
 * targets renew their entries within two seconds.
 */
const EXPIRED_TARGET_GRACE_MS = 2200;
/**
 * How long a starting process waits for the store before it asks its peers for
 * a snapshot, and the interval between such requests, in milliseconds.
 */
const PEER_SNAPSHOT_INTERVAL_MS = 400;
/**
 * Maximum number of unreadable rows remembered, so that each is logged once.
 */
const MAX_UNREADABLE_ROWS = 1000;
/** The only partition of tables that are not partitioned. */
const SINGLE_PARTITION = [''] as const;

/** Watches the tables until it is disposed. */
export class TableFeeds implements Disposable {
  private readonly disposables = new DisposableStore();
  private readonly watches = new Map<string, TableWatch>();
  /** Last logged error by unreadable row. */
  private readonly unreadableRows = new LRUCache<string, string>({
    max: MAX_UNREADABLE_ROWS,
  });

  /**
   * @param platform - Tables of the platform and decoders for their rows.
   * @param context - Clock, log and counters.
   * @param store - Store that holds the tables.
   * @param consumers - Components that receive changes.
   * @param onTargets - Called after each update of the targets.
   */
  constructor(
    private readonly platform: ServingPlatform,
    private readonly context: ServingContext,
    private readonly store: RowStore,
    private readonly consumers: FeedConsumers,
    private readonly onTargets: () => void,
  ) {}

  /** Starts watching all tables. */
  start(): void {
    const {config, targets} = this.platform;
    const {membership, crashSuspects, promptSuspects} = this.consumers;
    const {jobOwnership, garbageCollector, freshness} = this.consumers;
    this.watchTable(
      config.table,
      SINGLE_PARTITION,
      FEED_SETTINGS.config,
      update => this.updateConfig(update),
      freshness,
    );
    this.watchTable(
      targets.table,
      SINGLE_PARTITION,
      FEED_SETTINGS.targets,
      update => this.updateTargets(update),
    );
    this.watchTable(
      MEMBER_TABLE,
      SINGLE_PARTITION,
      FEED_SETTINGS.members,
      update => membership.update(update),
    );
    this.watchTable(
      SUSPECT_TABLE,
      SINGLE_PARTITION,
      FEED_SETTINGS.suspects,
      update => {
        crashSuspects.update(update);
        promptSuspects.update(update);
      },
    );
    this.watchTable(HEAD_TABLE, JOB_PARTITIONS, FEED_SETTINGS.heads, update => {
      jobOwnership.update(update);
      garbageCollector.update(update);
    });
  }

  /**
   * Reads the list of targets.
   *
   * @returns Whether it was read. Never rejects.
   */
  async readTargets(): Promise<boolean> {
    const watch = this.watches.get(this.platform.targets.table);
    return watch !== undefined && watch.refresh();
  }

  /** Stops all watches. */
  [Symbol.dispose](): void {
    this.disposables[Symbol.dispose]();
  }

  /**
   * @returns The tables that another process needs to start without the store.
   */
  snapshot(): Snapshot {
    return Object.fromEntries(
      this.sharedTables().map(table => [table, this.watches.get(table)!.all()]),
    );
  }

  /**
   * Seeds tables that could not be read from the store with a peer's snapshot.
   *
   * Guards against a start while the store is down for all hosts: otherwise the
   * process would have no configuration and no targets until the store is back,
   * while other hosts keep serving from what they have in memory.
   *
   * @param peers - Clients of the peers.
   * @param starting - Whether the process is still starting.
   */
  async seedFromPeers(
    peers: PeerClients,
    starting: () => boolean,
  ): Promise<void> {
    const {clock, log} = this.context;
    while (starting()) {
      await sleep(clock, PEER_SNAPSHOT_INTERVAL_MS);
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
    const {config, targets} = this.platform;
    return [config.table, targets.table, MEMBER_TABLE];
  }

  private watchTable(
    table: string,
    partitions: readonly string[],
    settings: FeedSettings,
    onUpdate: (update: TableUpdate) => void,
    freshness?: FreshnessLease,
  ): void {
    const options = {table, partitions, ...settings};
    const context = {...this.context, store: this.store, freshness};
    const watch = this.disposables.add(
      new TableWatch(options, context, onUpdate),
    );
    this.watches.set(table, watch);
    watch.start();
  }

  private updateConfig({put}: TableUpdate): void {
    for (const row of put) {
      const table = this.platform.config.decode(row);
      if (!table) continue;
      const {routing} = this.consumers;
      if (table.ok)
        this.apply('config', row, () =>
          routing.adopt(table.value, row, 'store'),
        );
      else this.reportUnreadableRow('config', row.key, table.err.message);
    }
  }

  private updateTargets({put, removed, storeTimeMs}: TableUpdate): void {
    const {directory, announcedTargets} = this.consumers;
    // Entries that a peer has handed over may be as old as its copy.
    const isSeeded = storeTimeMs === SEEDED_STORE_TIME_MS;
    const isAfterOutage = !isSeeded && directory.recordListRead();
    const graceMs = isAfterOutage ? EXPIRED_TARGET_GRACE_MS : 0;
    for (const {key} of removed) announcedTargets.remove(key, graceMs);
    for (const row of put) {
      const target = this.platform.targets.decode(row);
      if (!target) continue;
      if (target.ok) {
        this.apply('target', row, () => announcedTargets.put(target.value));
        this.unreadableRows.delete(unreadableRowKey('target', row.key));
        continue;
      }
      // An entry that cannot be decoded does not describe a usable target.
      announcedTargets.remove(row.key, 0);
      this.reportUnreadableRow('target', row.key, target.err.message);
    }
    this.onTargets();
  }

  /**
   * Guards against one row of another writer that ends this process, again and
   * again: whatever fails for it, the table is followed on.
   */
  private apply(what: string, {key}: VersionedRow, apply: () => void): void {
    try {
      apply();
    } catch (err) {
      const error = err instanceof Error ? err.stack : String(err);
      this.context.counters.count('rows_unreadable', {what});
      this.context.log.event('row-not-applied', {what, key, error});
    }
  }

  private reportUnreadableRow(
    what: string,
    key: string,
    message: string,
  ): void {
    this.context.counters.count('rows_unreadable', {what});
    // The writer of an invalid row may write it again with each heartbeat.
    const name = unreadableRowKey(what, key);
    if (this.unreadableRows.get(name) === message) return;
    this.unreadableRows.set(name, message);
    this.context.log.event('row-unreadable', {what, key, message});
  }
}

function unreadableRowKey(what: string, key: string): string {
  return `${what} ${key}`;
}
