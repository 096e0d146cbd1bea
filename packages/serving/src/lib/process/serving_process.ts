/**
 * A serving process: takes callers' requests, works on its share of the batch
 * jobs, and keeps nothing that another process could not go on from.
 */
import {DisposableStore, hashesReady, sleep} from '@oathead/core';
import {
  FrontServer,
  Lifecycle,
  ReadyServer,
  type LifecycleState,
} from '@oathead/gateway';
import {servePeers} from '../connection/peer_router.js';
import type {ServingContext, ServingHost} from './serving_host.js';
import {servingParts, type ServingParts} from './serving_parts.js';
import {TableFeeds} from './table_feeds.js';

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
  private readonly parts: ServingParts;
  private readonly feeds: TableFeeds;
  private readonly front: FrontServer;
  private readonly readiness: ReadyServer;
  private readonly lifecycle: Lifecycle;
  private stopping: Promise<void> | undefined;

  /**
   * @param host - The adapter's side.
   * @param context - Clock, randomness, log and counters.
   */
  constructor(
    private readonly host: ServingHost,
    private readonly context: ServingContext,
  ) {
    this.parts = servingParts(host, context, this.held);
    const {store, routing, online, jobCalls} = this.parts;
    this.feeds = this.held.add(
      new TableFeeds(host, context, store, this.parts, () => this.prepare()),
    );
    this.lifecycle = this.held.add(new Lifecycle(state => this.entered(state)));
    this.front = new FrontServer({
      online,
      routing,
      batch: host.batchFront(jobCalls),
      log: context.log,
      draining: () => this.lifecycle.state === 'draining',
    });
    this.readiness = new ReadyServer(
      host.readyPath,
      () => this.lifecycle.state === 'ready' && online.admission.isOpen,
    );
  }

  /** Starts all parts; resolves when callers can connect. */
  async start(): Promise<void> {
    await hashesReady;
    const {identity} = this.host;
    const {routing, membership, keeper, janitor, scheduler, peers} = this.parts;
    const {socket, exchange, quotas} = this.parts;
    this.context.log.event('process-started', {
      member: membership.self.id,
      dataCentre: identity.dataCentre,
    });
    routing.onAdopted(() => this.prepare());
    this.feeds.start();
    this.held.add(this.answerPeers());
    void this.feeds.askPeers(peers, () => this.lifecycle.state === 'starting');
    for (const part of [
      membership,
      socket,
      exchange,
      quotas,
      keeper,
      janitor,
      scheduler,
    ])
      part.start();
    await this.readiness.listen(identity.ready.ip, identity.ready.port);
    await this.front.listen(identity.front.ip, identity.front.port);
  }

  /**
   * A planned stop: no new connections, jobs to other hosts, and what is under
   * way to its end.
   *
   * Guards against a stop that is asked for twice and cuts off what the first one
   * lets end: who asks again waits for the stop that is under way.
   *
   * @returns Resolves when the process may exit.
   */
  stop(): Promise<void> {
    this.stopping ??= this.stopOnce();
    return this.stopping;
  }

  private async stopOnce(): Promise<void> {
    this.lifecycle.send({type: 'STOP'});
    await this.drain();
    this.lifecycle.send({type: 'IDLE'});
  }

  private answerPeers(): Disposable {
    const {identity} = this.host;
    const store = this.parts.store.forPeers;
    const snapshot = () => this.feeds.snapshot();
    const {ip, port} = identity.control;
    return servePeers({store, snapshot}, ip, port);
  }

  /** Takes callers as soon as configuration and targets are known. */
  private prepare(): void {
    const {routing, directory} = this.parts;
    if (this.lifecycle.state !== 'starting') return;
    if (!routing.current || directory.size === 0) return;
    this.lifecycle.send({type: 'PREPARED'});
  }

  private entered(state: LifecycleState): void {
    const {routing, directory} = this.parts;
    this.context.log.event('process-state', {
      state,
      configVersion: routing.current?.table.version,
      targets: directory.size,
    });
    if (state !== 'stopped') return;
    this.front.close();
    this.readiness.close();
    this.held[Symbol.dispose]();
  }

  private async drain(): Promise<void> {
    const {clock, log} = this.context;
    const {scheduler, keeper} = this.parts;
    const startedAt = clock.now();
    const endsAt = startedAt + this.host.tunables().stopMs - EXIT_MARGIN_MS;
    scheduler.pause();
    await keeper.handOverAll();
    for (;;) {
      const now = clock.now();
      const lingers = now < startedAt + LINGER_MS;
      if (now >= endsAt) break;
      if (!lingers) {
        this.front.stopListening();
        this.front.closeIdle();
      }
      if (!lingers && this.front.openRequests === 0) break;
      await sleep(clock, IDLE_CHECK_MS);
    }
    log.event('process-drained', {
      ms: Math.round(clock.now() - startedAt),
      open: this.front.openRequests,
    });
  }
}
