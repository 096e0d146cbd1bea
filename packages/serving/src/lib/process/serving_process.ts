/**
 * A serving process: takes callers' requests, works on its share of the batch
 * jobs, and keeps nothing that another process could not go on from.
 */
import {
  DisposableStore,
  repeat,
  sleep,
  type Clock,
  type Counters,
  type EventLog,
  type Random,
} from '@oathead/core';
import {
  ConnectionPool,
  CrashSuspects,
  FrontServer,
  Lifecycle,
  LoadExchange,
  LoadTable,
  MEMBER_TABLE,
  memberId,
  Membership,
  ReadyServer,
  RoutingState,
  ServiceHealth,
  SUSPECT_TABLE,
  TargetChooser,
  TargetDirectory,
  TargetSuspensions,
  type LifecycleState,
  type OnlineContext,
} from '@oathead/gateway';
import {
  BatchScheduler,
  endJob,
  HEAD_TABLE,
  JOB_PARTITIONS,
  JobIntake,
  JobJanitor,
  JobKeeper,
  JobReader,
} from '@oathead/jobs';
import {
  RelayedRowStore,
  TableWatch,
  type RowStore,
  type TableUpdate,
} from '@oathead/stores';
import {PeerLinks} from '../connection/peer_links.js';
import {servePeers} from '../connection/peer_router.js';
import type {JobCalls, ListenAddress, ServingHost} from './serving_host.js';

/** What every part of the process uses. */
export interface ServingContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly counters: Counters;
}

/**
 * How tables are followed. A change is to be known within two seconds, also
 * when the connection has gone silent: a wait of 600 ms and the store client's
 * margin end such a call well before. Lists that change with each heartbeat are
 * asked for a few times a second only, whatever their size.
 */
const WATCHES = {
  config: {waitMs: 600, pauseMs: 0, fullReadMs: 10_000, pageRows: 500},
  targets: {waitMs: 600, pauseMs: 250, fullReadMs: 10_000, pageRows: 500},
  members: {waitMs: 900, pauseMs: 500, fullReadMs: 30_000, pageRows: 500},
  suspects: {waitMs: 1500, pauseMs: 500, fullReadMs: 60_000, pageRows: 500},
  heads: {waitMs: 900, pauseMs: 300, fullReadMs: 60_000, pageRows: 500},
} as const;

/** After an outage, targets' entries that have lapsed are waited for so long,
 * in milliseconds: live targets renew them within two seconds. */
const LAPSED_TARGET_GRACE_MS = 2200;
/** A longer time between two answers of the store is an outage, in ms. */
const OUTAGE_MS = 1500;
/** How long a starting process waits for the store before it asks its peers, and
 * between two such questions, in milliseconds. */
const ASK_PEERS_MS = 400;
/** How often the marks of targets fade a little, in milliseconds. */
const HEALTH_TICK_MS = 1000;
/** For how long callers may still come by a readiness seen before, in ms:
 * the balancer asks once a second and needs two misses. */
const LINGER_MS = 3000;
/** How often a stop looks whether everything has ended, in milliseconds. */
const IDLE_CHECK_MS = 50;
/** Kept back from the time of a stop for the exit itself, in milliseconds. */
const EXIT_MARGIN_MS = 400;

/** Runs until it is stopped. */
export class ServingProcess {
  private readonly held = new DisposableStore();
  private readonly routing: RoutingState;
  private readonly crashes: CrashSuspects;
  private readonly directory: TargetDirectory;
  private readonly loads: LoadTable;
  private readonly membership: Membership;
  private readonly keeper: JobKeeper;
  private readonly janitor: JobJanitor;
  private readonly scheduler: BatchScheduler;
  private readonly front: FrontServer;
  private readonly readiness: ReadyServer;
  private readonly exchange: LoadExchange;
  private readonly lifecycle: Lifecycle;
  private readonly watches = new Map<string, TableWatch>();
  private readonly peers: PeerLinks;
  private readonly store: RowStore;
  private targetsReadAt = -Infinity;
  private stopped: (() => void) | undefined;

  /**
   * @param host - The adapter's side.
   * @param context - Clock, randomness, log and counters.
   */
  constructor(
    private readonly host: ServingHost,
    private readonly context: ServingContext,
  ) {
    const {clock, log, random, counters} = context;
    const {identity, protocol} = host;
    this.peers = new PeerLinks(identity.seeds, () => this.membership.peers());
    this.store = new RelayedRowStore(host.store, {
      ...context,
      relays: () => this.peers.links(),
      probe: {table: MEMBER_TABLE, partition: ''},
    });
    this.routing = new RoutingState(log);
    this.directory = new TargetDirectory({clock, log});
    this.loads = new LoadTable(() => clock.now());
    const suspensions = new TargetSuspensions(clock, log);
    const pool = this.held.add(new ConnectionPool(counters));
    this.directory.onGone(id => {
      suspensions.forget(id);
      pool.forget(id);
    });
    const health = new ServiceHealth(clock);
    this.held.add(repeat(clock, HEALTH_TICK_MS, () => health.tick()));
    this.directory.onGone(id => health.forget(id));
    const chooser = new TargetChooser({
      dataCentre: identity.dataCentre,
      directory: this.directory,
      suspensions,
      health,
      loads: this.loads,
      random,
    });
    this.crashes = new CrashSuspects({store: this.store, clock, log});
    this.membership = this.held.add(this.newMembership());
    const online: OnlineContext = {
      ...context,
      protocol,
      pool,
      loads: this.loads,
      suspensions,
      health,
      chooser,
      crashes: this.crashes,
    };
    const reader = new JobReader(this.store);
    this.keeper = this.held.add(
      new JobKeeper({
        ...context,
        store: this.store,
        limits: host.storeLimits,
        reader,
        membership: this.membership,
      }),
    );
    this.janitor = this.held.add(
      new JobJanitor({
        ...context,
        store: this.store,
        membership: this.membership,
        keepMs: identity.keepJobsMs,
      }),
    );
    this.scheduler = this.held.add(
      new BatchScheduler(
        {
          ...online,
          directory: this.directory,
          routing: this.routing,
          self: this.membership.self.id,
          storeTimeMs: () => this.store.storeTimeMs(),
        },
        () => this.keeper.jobs(),
      ),
    );
    this.exchange = this.held.add(this.newExchange());
    this.lifecycle = this.held.add(new Lifecycle(state => this.entered(state)));
    this.front = new FrontServer({
      online,
      routing: this.routing,
      batch: host.batchFront(this.jobCalls(reader)),
      log,
      draining: () => this.lifecycle.state === 'draining',
    });
    this.readiness = new ReadyServer(
      host.readyPath,
      () => this.lifecycle.state === 'ready',
    );
  }

  /** Starts all parts; resolves when callers can connect. */
  async start(): Promise<void> {
    const {identity} = this.host;
    this.context.log.event('process-started', {
      member: this.membership.self.id,
      dataCentre: identity.dataCentre,
    });
    this.routing.onAdopted(() => this.prepare());
    this.watchTables();
    this.held.add(this.answerPeers());
    void this.askPeers();
    this.membership.start();
    this.exchange.start();
    this.keeper.start();
    this.janitor.start();
    this.scheduler.start();
    await this.readiness.listen(identity.ready.ip, identity.ready.port);
    await this.front.listen(identity.front.ip, identity.front.port);
  }

  /**
   * A planned stop: no new connections, jobs to other hosts, and what is under
   * way to its end.
   *
   * @returns Resolves when the process may exit.
   */
  async stop(): Promise<void> {
    if (this.stopped) return;
    const done = new Promise<void>(resolve => {
      this.stopped = resolve;
    });
    this.lifecycle.send({type: 'STOP'});
    await this.drain();
    this.lifecycle.send({type: 'IDLE'});
    await done;
  }

  private newMembership(): Membership {
    const {store} = this;
    const {identity} = this.host;
    const {clock, log, random} = this.context;
    const {ip, port} = identity.loads;
    const self = {
      id: memberId(identity.host, random.id()),
      host: identity.host,
      ip,
      loadPort: port,
      controlAddress: addressOf(identity.control),
    };
    return new Membership(self, {store, clock, log});
  }

  private newExchange(): LoadExchange {
    const {identity} = this.host;
    return new LoadExchange({
      ...this.context,
      self: {id: this.membership.self.id, ...identity.loads},
      table: this.loads,
      peers: () =>
        this.membership
          .peers()
          .map(({id, ip, loadPort}) => ({id, ip, port: loadPort})),
      configVersion: () => this.routing.current?.table.version ?? 0,
      onConfigVersion: () => {},
    });
  }

  private jobCalls(reader: JobReader): JobCalls {
    const {store} = this;
    const {storeLimits: limits} = this.host;
    const intake = new JobIntake({
      ...this.context,
      store,
      limits,
      owner: () => this.keeper.ownerOfNew(),
    });
    return {
      reader,
      end: jobId => endJob({...this.context, store, reader}, jobId),
      handIn: async submission => {
        const result = await intake.accept(submission);
        if (result.kind === 'accepted' && result.written) {
          reader.remember(submission.id, submission.items);
          this.keeper.accepted(result.written);
        }
        return result;
      },
    };
  }

  private answerPeers(): Disposable {
    const {ip, port} = this.host.identity.control;
    const snapshot = () => {
      const tables = this.sharedTables();
      return Object.fromEntries(
        tables.map(table => [table, this.watches.get(table)!.all()]),
      );
    };
    return servePeers({store: this.host.store, snapshot}, ip, port);
  }

  /**
   * Learns from other hosts what the store can't tell.
   *
   * Guards against a start while the store is down for all: without this the
   * process would know no configuration and no targets until the store is back,
   * while the hosts beside it serve by what they have.
   */
  private async askPeers(): Promise<void> {
    const {clock, log} = this.context;
    while (this.lifecycle.state === 'starting') {
      await sleep(clock, ASK_PEERS_MS);
      const unread = this.sharedTables().filter(
        table => !this.watches.get(table)!.hasRead,
      );
      if (unread.length === 0) return;
      const answer = await this.peers.firstSnapshot();
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

  private watchTables(): void {
    const {config, targets} = this.host;
    this.watch(config.table, [''], WATCHES.config, update =>
      this.updateConfig(update),
    );
    this.watch(targets.table, [''], WATCHES.targets, update =>
      this.updateTargets(update),
    );
    this.watch(MEMBER_TABLE, [''], WATCHES.members, update =>
      this.membership.update(update),
    );
    this.watch(SUSPECT_TABLE, [''], WATCHES.suspects, update =>
      this.crashes.update(update),
    );
    this.watch(HEAD_TABLE, JOB_PARTITIONS, WATCHES.heads, update => {
      this.keeper.update(update);
      this.janitor.update(update);
    });
  }

  private watch(
    table: string,
    partitions: readonly string[],
    pace: (typeof WATCHES)[keyof typeof WATCHES],
    onUpdate: (update: TableUpdate) => void,
  ): void {
    const options = {table, partitions, ...pace};
    const context = {...this.context, store: this.store};
    const watch = this.held.add(new TableWatch(options, context, onUpdate));
    this.watches.set(table, watch);
    watch.start();
  }

  private updateConfig({put}: TableUpdate): void {
    for (const row of put) {
      const table = this.host.config.decode(row);
      if (!table) continue;
      if (table.ok) this.routing.adopt(table.value, 'store');
      else this.unreadable('config', row.key, table.err.message);
    }
  }

  private updateTargets({put, removed}: TableUpdate): void {
    const now = this.context.clock.now();
    const outage = now - this.targetsReadAt > OUTAGE_MS;
    const graceMs = outage ? LAPSED_TARGET_GRACE_MS : 0;
    this.targetsReadAt = now;
    for (const {key} of removed) this.directory.remove(key, graceMs);
    for (const row of put) {
      const target = this.host.targets.decode(row);
      if (!target) continue;
      if (target.ok) this.directory.put(target.value);
      else this.unreadable('target', row.key, target.err.message);
    }
    this.prepare();
  }

  private unreadable(what: string, key: string, message: string): void {
    this.context.counters.count('rows_unreadable', {what});
    this.context.log.event('row-unreadable', {what, key, message});
  }

  private prepare(): void {
    if (this.lifecycle.state !== 'starting') return;
    if (!this.routing.current || this.directory.size === 0) return;
    this.lifecycle.send({type: 'PREPARED'});
  }

  private entered(state: LifecycleState): void {
    this.context.log.event('process-state', {
      state,
      configVersion: this.routing.current?.table.version,
      targets: this.directory.size,
    });
    if (state !== 'stopped') return;
    this.front.close();
    this.readiness.close();
    this.held[Symbol.dispose]();
    this.stopped?.();
  }

  private async drain(): Promise<void> {
    const {clock, log} = this.context;
    const startedAt = clock.now();
    const endsAt = startedAt + this.host.identity.stopMs - EXIT_MARGIN_MS;
    this.scheduler.pause();
    await this.keeper.handOverAll();
    for (;;) {
      const now = clock.now();
      const lingers = now < startedAt + LINGER_MS;
      if (now >= endsAt) break;
      if (!lingers) this.front.closeIdle();
      if (!lingers && this.front.openRequests === 0) break;
      await sleep(clock, IDLE_CHECK_MS);
    }
    log.event('process-drained', {
      ms: Math.round(clock.now() - startedAt),
      open: this.front.openRequests,
    });
  }
}

function addressOf({ip, port}: ListenAddress): string {
  return `${ip}:${port}`;
}
