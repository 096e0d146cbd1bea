/** One entry: everything between callers and target processes, composed. */
import {BatchJobs} from '@oathead/batch';
import type {BatchSettings} from '@oathead/batch';
import type {ConfigDelta, StatusReport} from '@oathead/config';
import {
  DisposableStore,
  LinkLostError,
  RetryPolicy,
  repeat,
  sleep,
} from '@oathead/core';
import type {
  Clock,
  Counters,
  Random,
  ServeEvent,
  ServeOutcome,
} from '@oathead/core';
import {LeasedMembership} from '@oathead/membership';
import type {MembershipSettings} from '@oathead/membership';
import type {Platform} from '@oathead/stores';
import type {ReportingLink} from '@oathead/wire';
import type {Tracer} from '@opentelemetry/api';
import type {
  ConfigQuestion,
  ForwardedCall,
  PeerHandler,
} from '../connection/peer_router.js';
import {Peers} from '../connection/peers.js';
import type {PeerLinkTo} from '../connection/peers.js';
import {TargetFleet} from '../connection/target_fleet.js';
import type {FleetSettings} from '../connection/target_fleet.js';
import type {ApiRequest, ApiResponse} from '../request/api.js';
import {batchRoutes} from '../request/batch_routes.js';
import {BatchRunner} from '../request/batch_runner.js';
import {completionRoutes} from '../request/completion_routes.js';
import {Dispatcher, latestEndOf} from '../request/dispatcher.js';
import {KeyedRequests} from '../request/keyed_requests.js';
import {OnlineService} from '../request/online_service.js';
import type {Serve, ServeCall} from '../request/online_call.js';
import {Recall} from '../request/recall.js';
import {resourceRoutes} from '../request/resource_routes.js';
import {resultRoutes} from '../request/result_routes.js';
import {Router} from '../request/router.js';
import {serviceRoutes} from '../request/service_routes.js';
import {AnswerStore} from './answer_store.js';
import type {AnswerStoreSettings} from './answer_store.js';
import {ClaimStore} from './claim_store.js';
import {Control} from './control.js';
import {EntryStop} from './entry_stop.js';
import {KeyAuthenticator} from './key_authenticator.js';
import {LimitGate} from './limit_gate.js';
import type {UseReport, UseReports} from './limit_gate.js';
import {SharedSuspects} from './shared_suspects.js';

/** What an entry is made of. */
export interface EntryParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly tracer: Tracer;
  readonly platform: Platform;
  readonly linkTo: (
    targetId: string,
    address: string,
  ) => ReportingLink & Disposable;
  readonly peerLinkTo: PeerLinkTo;
  readonly settings: EntryCoreSettings;
}

/** Settings of an entry, apart from its sockets; times in milliseconds. */
export interface EntryCoreSettings {
  readonly membership: MembershipSettings;
  readonly fleet: FleetSettings;
  readonly answers: AnswerStoreSettings;
  readonly batch: Partial<BatchSettings>;
  readonly operatorKeyHashes: readonly string[];
  readonly defaultDeadlineMs: number;
  readonly maxDeadlineMs: number;
  readonly batchItemTimeoutMs: number;
  readonly maxJobBytes: number;
}

const STOP_CHECK_MS = 20;
/** How often old answers are looked for. */
const SWEEP_MS = 600_000;

/** One entry. */
export class Entry implements PeerHandler, Disposable {
  /** Answers callers and operators. */
  readonly router: Router;
  /** What becomes of requests while it stops. */
  readonly plannedStop: EntryStop;
  private readonly held = new DisposableStore();
  private readonly membership: LeasedMembership;
  private readonly control: Control;
  private readonly fleet: TargetFleet;
  private readonly peers: Peers;
  private readonly answers: AnswerStore;
  private readonly recall: Recall;
  private readonly keyed: KeyedRequests;
  private readonly online: OnlineService;
  private readonly jobs: BatchJobs;
  private readonly suspects: SharedSuspects;
  private readonly limits: LimitGate;
  private knownPeers: ReadonlySet<string> = new Set();
  private inFlight = 0;

  /** @param parts - What it is made of. */
  constructor(private readonly parts: EntryParts) {
    const {clock, random, counters, platform, settings} = parts;
    const {table, objects} = platform;
    const base = {clock, random, counters, table, objects};
    this.plannedStop = new EntryStop(clock, counters);
    this.membership = new LeasedMembership(base, settings.membership);
    this.peers = this.held.add(
      new Peers(clock, this.membership, parts.peerLinkTo),
    );
    this.control = this.held.add(
      new Control({
        clock,
        random,
        counters,
        platform,
        membership: this.membership,
        peers: this.peers,
        orders: {
          send: (target, order, signal) =>
            this.fleet.order(target, order, signal),
        },
      }),
    );
    this.suspects = this.held.add(
      new SharedSuspects({...base, membership: this.membership}),
    );
    this.fleet = this.held.add(this.createFleet());
    this.recall = new Recall({
      clock,
      counters,
      fleet: this.fleet,
      cfg: this.control.cache,
    });
    const {membership} = this;
    this.answers = new AnswerStore({...base, membership}, settings.answers);
    const dispatcher = this.createDispatcher();
    const dispatch = dispatcher.serve.bind(dispatcher);
    this.keyed = new KeyedRequests({
      clock,
      counters,
      claims: new ClaimStore({...base, membership}),
      membership,
      answers: this.answers,
      dispatch,
      recall: this.recall,
    });
    this.online = new OnlineService({
      counters,
      membership,
      keyed: this.keyed,
      peers: this.peers,
      dispatch,
    });
    this.limits = this.held.add(
      new LimitGate({
        clock,
        cfg: this.control.cache,
        membership,
        tell: (peer, reports) => this.peers.reportUse(peer, reports),
      }),
    );
    const runner = new BatchRunner({
      clock,
      random,
      fleet: this.fleet,
      dispatch,
      itemTimeoutMs: settings.batchItemTimeoutMs,
    });
    this.jobs = new BatchJobs({...base, membership, runner}, settings.batch);
    this.held.add(repeat(clock, SWEEP_MS, () => this.answers.sweep()));
    this.router = this.createRouter();
    this.answers.onWritten(keys => void this.releaseAtTargets(keys));
    this.membership.onHead(() => void this.adoptHeld());
  }

  /** Joins the fleet and loads the configuration. */
  async start(): Promise<void> {
    this.membership.start();
    await this.control.start();
  }

  /** Whether callers can be served. */
  get ready(): boolean {
    return this.control.cache.ready && !this.plannedStop.begun.aborted;
  }

  /**
   * @param pool - A model or service.
   * @returns Whether a target of this entry is ready to serve it.
   */
  serves(pool: string): boolean {
    return this.fleet.serves(pool);
  }

  /**
   * Answers one request of the API.
   *
   * @param req - The request.
   * @returns Its answer.
   */
  async handle(req: ApiRequest): Promise<ApiResponse> {
    return this.router.handle(req);
  }

  /** @returns What `GET /v1/status` tells. */
  async status(): Promise<StatusReport> {
    return this.control.status();
  }

  async *serve(
    call: ForwardedCall,
    signal: AbortSignal,
  ): AsyncGenerator<ServeEvent> {
    const {timeoutMs, ...rest} = call;
    const deadline = this.parts.clock.now() + timeoutMs;
    const served = {...rest, class: 'online', deadline} as const;
    yield* this.counted(this.keyed.serve(served, signal), served);
  }

  configSince({entryId, since}: ConfigQuestion): ConfigDelta | undefined {
    this.control.board.heardEntry(entryId, Math.max(0, since));
    return this.control.cache.delta(since);
  }

  async findOutcome(dedupeKey: string): Promise<ServeOutcome | undefined> {
    return this.keyed.find(dedupeKey);
  }

  reportUse(reports: UseReports): readonly UseReport[] {
    return this.limits.heard(reports);
  }

  /**
   * Stops as planned: takes only what ends before it does, lets what is in
   * flight end, writes what is unwritten, and hands its shares over. What is in
   * flight when the time for work is over is told so.
   *
   * @param graceMs - At most so long, in milliseconds.
   * @param connections - Waited for too, while they have answers to send.
   */
  async stop(
    graceMs: number,
    connections: {readonly busy: boolean} = {busy: false},
  ): Promise<void> {
    const {clock} = this.parts;
    const {startedAt, endsAt} = this.plannedStop.begin(graceMs);
    const deadline = startedAt + graceMs;
    const busy = () => this.busy || connections.busy;
    const batchStopped = this.jobs.stop(endsAt - startedAt);
    await this.settle(busy, endsAt, deadline);
    await batchStopped;
    await this.membership.stop(Math.max(0, deadline - clock.now()));
    // A request that was on its way when the stop began came in meanwhile, and
    // what is left has its last answer to send.
    await this.settle(busy, deadline, deadline);
    this[Symbol.dispose]();
  }

  /** Stops at once, as a process that dies would. */
  [Symbol.dispose](): void {
    this.jobs[Symbol.dispose]();
    this.membership[Symbol.dispose]();
    this.held[Symbol.dispose]();
  }

  /** Waits until nothing is in flight, and writes what is unwritten. */
  private async settle(
    busy: () => boolean,
    until: number,
    deadline: number,
  ): Promise<void> {
    const {clock} = this.parts;
    while (busy() && clock.now() < until) {
      await sleep(clock, STOP_CHECK_MS);
    }
    // Without the store, targets hold the answers for whoever comes after.
    const written = new AbortController();
    await Promise.race([
      this.answers.flush(),
      sleep(clock, Math.max(0, deadline - clock.now()), written.signal),
    ]);
    written.abort();
  }

  private get busy(): boolean {
    return this.inFlight > 0 || this.keyed.runningCount > 0;
  }

  private serveOnline(): Serve {
    const limited = this.limits.limited((call, signal) =>
      this.online.serve(call, signal),
    );
    return (call, signal) => this.counted(limited(call, signal), call);
  }

  /** A planned stop waits for what is counted here. */
  private async *counted(
    events: AsyncIterable<ServeEvent>,
    {deadline, id}: ServeCall,
  ): AsyncGenerator<ServeEvent> {
    this.inFlight++;
    try {
      yield* this.plannedStop.serve(events, latestEndOf(deadline), id);
    } finally {
      this.inFlight--;
    }
  }

  /**
   * An entry can be lost with answers that it gave and had not written. The
   * targets hold them; whoever takes its shares over writes them in its place.
   */
  private async adoptHeld(): Promise<void> {
    const present = new Set(this.membership.peers().map(p => p.entryId));
    const lost = [...this.knownPeers].filter(id => !present.has(id));
    this.knownPeers = present;
    for (const entryId of lost) {
      for (const answer of await this.recall.heldFor(entryId)) {
        const share = this.membership.shareOf(answer.key);
        const owner = this.membership.ownerOf(share);
        if (owner?.entryId === this.membership.entryId)
          this.answers.add(answer);
      }
    }
  }

  /**
   * A caller who has its answer reads it again just after the home of its key
   * was lost, before anyone has taken over: the targets hold the answer, and
   * "no answer is kept" would be wrong.
   */
  private async findAnywhere(
    dedupeKey: string,
  ): Promise<ServeOutcome | undefined> {
    const {membership} = this;
    const share = membership.shareOf(dedupeKey);
    const owner = membership.ownerOf(share);
    if (owner && owner.entryId !== membership.entryId) {
      try {
        const found = await this.peers.findOutcome(owner, dedupeKey);
        if (found) return found;
      } catch (err) {
        if (!(err instanceof LinkLostError)) throw err;
      }
    }
    const kept = await this.keyed.find(dedupeKey);
    if (kept?.kind === 'done' || !this.keyed.isRecovering(share)) return kept;
    return (await this.recall.ofName(dedupeKey))?.outcome ?? kept;
  }

  private async releaseAtTargets(keys: readonly string[]): Promise<void> {
    const releases = this.fleet.links().map(link => link.release(keys));
    await Promise.allSettled(releases);
  }

  private createFleet(): TargetFleet {
    const {clock, random, counters, platform, settings} = this.parts;
    return new TargetFleet({
      entryId: settings.membership.entryId,
      dataCentre: settings.membership.dataCentre,
      clock,
      random,
      counters,
      cfg: this.control.cache,
      membership: this.membership,
      hosts: platform.hosts,
      linkTo: this.parts.linkTo,
      blocked: () => this.suspects.blocked,
      table: platform.table,
      board: this.control.board,
      settings: settings.fleet,
    });
  }

  private createDispatcher(): Dispatcher {
    const {clock, counters, tracer, settings} = this.parts;
    return new Dispatcher({
      clock,
      counters,
      tracer,
      entryId: settings.membership.entryId,
      fleet: this.fleet,
      retries: new RetryPolicy(),
      suspects: this.suspects,
    });
  }

  private createRouter(): Router {
    const {clock, random, counters, settings} = this.parts;
    const {cache, api} = this.control;
    const options = {
      clock,
      random,
      cfg: cache,
      defaultDeadlineMs: settings.defaultDeadlineMs,
      maxDeadlineMs: settings.maxDeadlineMs,
      serve: this.serveOnline(),
    };
    const routes = [
      ...completionRoutes(options),
      ...serviceRoutes(options),
      ...resultRoutes(key => this.findAnywhere(key)),
      ...batchRoutes({
        jobs: this.jobs,
        cfg: cache,
        maxJobBytes: settings.maxJobBytes,
      }),
      ...resourceRoutes({api, status: () => this.status()}),
    ];
    const authenticator = new KeyAuthenticator(
      cache,
      settings.operatorKeyHashes,
    );
    return new Router(routes, authenticator, counters);
  }
}
