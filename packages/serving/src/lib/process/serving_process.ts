/**
 * A serving process: serves online requests and processes its share of the
 * batch jobs. It keeps no state that another process could not recover.
 */
import {DisposableStore, hashesReady, type PlannedStop} from '@oathead/core';
import {
  FrontServer,
  Lifecycle,
  ReadinessServer,
  type LifecycleState,
} from '@oathead/gateway';
import type {VersionedRow} from '@oathead/stores';
import {servePeers} from '../connection/peer_router.js';
import {drain} from './drain.js';
import type {ServingContext, ServingPlatform} from './serving_platform.js';
import {
  createServingComponents,
  type ServingComponents,
} from './serving_components.js';
import {TableFeeds} from './table_feeds.js';

/**
 * Part of the shutdown time that is reserved for the exit itself, in
 * milliseconds, with what is sent last.
 */
const EXIT_MARGIN_MS = 400;

/** Serves requests and jobs until it is stopped. */
export class ServingProcess {
  private readonly disposables = new DisposableStore();
  private readonly components: ServingComponents;
  private readonly feeds: TableFeeds;
  private readonly front: FrontServer;
  private readonly readiness: ReadinessServer;
  private readonly lifecycle: Lifecycle;
  private stopping: Promise<void> | undefined;
  private plannedStop: PlannedStop | undefined;

  /**
   * @param platform - What the platform provides.
   * @param context - Clock, randomness, log, counters and tracer.
   */
  constructor(
    private readonly platform: ServingPlatform,
    private readonly context: ServingContext,
  ) {
    this.components = createServingComponents(
      platform,
      context,
      this.disposables,
      {
        readTargets: () => this.feeds.readTargets(),
        onTargetsReleased: () => this.becomeReadyIfPrepared(),
        plannedStop: () => this.plannedStop,
      },
    );
    const {store, routing, online, jobOperations} = this.components;
    this.feeds = this.disposables.add(
      new TableFeeds(platform, context, store, this.components, () =>
        this.becomeReadyIfPrepared(),
      ),
    );
    this.lifecycle = this.disposables.add(
      new Lifecycle(state => this.onStateEntered(state)),
    );
    this.front = new FrontServer({
      online,
      routing,
      batch: platform.createBatchApi(jobOperations),
      log: context.log,
      plannedStop: () => this.plannedStop,
    });
    this.readiness = new ReadinessServer(
      platform.readyPath,
      () => this.lifecycle.state === 'ready' && online.admission.canAdmitByKey,
    );
  }

  /**
   * Starts all components.
   *
   * @returns Resolves when callers can connect.
   */
  async start(): Promise<void> {
    await hashesReady;
    const {identity} = this.platform;
    const {
      routing,
      membership,
      jobOwnership,
      garbageCollector,
      scheduler,
      peers,
    } = this.components;
    const {socket, exchange, speedExchange, quotas} = this.components;
    const {streamRecord, streamVersions} = this.components;
    this.context.log.event('process-started', {
      member: membership.self.id,
      dataCentre: identity.dataCentre,
    });
    routing.onAdopted(() => this.becomeReadyIfPrepared());
    this.feeds.start();
    this.disposables.add(this.startPeerServer());
    void this.feeds.seedFromPeers(
      peers,
      () => this.lifecycle.state === 'starting',
    );
    for (const component of [
      membership,
      socket,
      exchange,
      speedExchange,
      quotas,
      streamRecord,
      streamVersions,
      jobOwnership,
      garbageCollector,
      scheduler,
    ])
      component.start();
    await this.readiness.listen(identity.ready.ip, identity.ready.port);
    await this.front.listen(identity.front.ip, identity.front.port);
  }

  /**
   * Shuts down gracefully: accepts no new connections, hands jobs over to other
   * hosts and lets open requests end.
   *
   * Guards against a second call that cuts off requests which the first one
   * lets end: further calls wait for the shutdown in progress.
   *
   * @returns Resolves when the process may exit.
   */
  stop(): Promise<void> {
    this.stopping ??= this.stopOnce();
    return this.stopping;
  }

  /** Number of hosts that this one takes for live, with itself. */
  get liveHosts(): number {
    return this.components.membership.live().length;
  }

  private async stopOnce(): Promise<void> {
    const startedAt = this.context.clock.now();
    const {shutdownTimeoutMs} = this.platform.tunables();
    const endsAt = startedAt + shutdownTimeoutMs - EXIT_MARGIN_MS;
    const stop = {startedAt, endsAt};
    this.plannedStop = stop;
    this.lifecycle.send({type: 'STOP'});
    const {scheduler, jobOwnership, membership, online} = this.components;
    scheduler.pause();
    online.lateQueue.close(endsAt);
    void membership.leave();
    await drain(stop, {
      ...this.context,
      front: this.front,
      handOver: () => jobOwnership.handOverAll(),
    });
    this.lifecycle.send({type: 'IDLE'});
  }

  private startPeerServer(): Disposable {
    const {identity} = this.platform;
    const {jobOwnership} = this.components;
    const store = this.components.store.relayForPeers;
    const snapshot = () => this.feeds.snapshot();
    const {ip, port} = identity.control;
    const learnJobHead = (row: VersionedRow) => jobOwnership.learnTold(row);
    return servePeers({store, snapshot, learnJobHead}, ip, port);
  }

  /**
   * Becomes ready once the configuration and at least one target are known, and
   * no service waits for its first one.
   */
  private becomeReadyIfPrepared(): void {
    const {routing, directory, announcedTargets} = this.components;
    if (this.lifecycle.state !== 'starting') return;
    if (!routing.current || directory.size === 0) return;
    if (announcedTargets.hasIdleService) return;
    this.lifecycle.send({type: 'PREPARED'});
  }

  private onStateEntered(state: LifecycleState): void {
    const {routing, directory} = this.components;
    this.context.log.event('process-state', {
      state,
      configVersion: routing.current?.table.version,
      targets: directory.size,
    });
    if (state !== 'stopped') return;
    this.front.close();
    this.readiness.close();
    this.disposables[Symbol.dispose]();
  }
}
