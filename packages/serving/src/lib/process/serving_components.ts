/** Creates the components of a serving process on top of one store. */
import {
  FreshnessLease,
  readClocks,
  repeat,
  type DisposableStore,
  type PlannedStop,
} from '@oathead/core';
import {
  CallerAdmission,
  CallerRetryDetector,
  ConnectionPool,
  Coordinator,
  PreferredTargets,
  type CrashSuspects,
  type PromptSuspects,
  HostSocket,
  LateQueue,
  LoadExchange,
  LoadTable,
  MEMBER_TABLE,
  memberId,
  Membership,
  createPlacement,
  createAccountQuotas,
  ReturnPromises,
  RoutingState,
  ServiceHealth,
  ServiceOverload,
  ShareAdmission,
  SpeedExchange,
  StoredAheadRecord,
  StreamLifetime,
  TargetChooser,
  TargetDirectory,
  TargetSpeeds,
  TargetSuspensions,
  type AccountQuotas,
  type AnnouncedTargets,
  type QuotaHost,
  type HostPeer,
  type Member,
  type OnlineContext,
  type StreamRecord,
  type StreamVersions,
} from '@oathead/gateway';
import {
  BatchScheduler,
  cancelJob,
  JobIntake,
  JobGarbageCollector,
  JobOwnership,
  JobReader,
  type TellOwner,
} from '@oathead/jobs';
import {RelayedRowStore} from '@oathead/stores';
import {createTellOwner} from '../connection/job_owner_notice.js';
import {createCrashJudges} from './crash_judges.js';
import {createStreamComponents} from './stream_components.js';
import {PeerClients} from '../connection/peer_clients.js';
import type {ServingOptions} from './serving_options.js';
import type {
  JobOperations,
  ListenAddress,
  ServingContext,
  ServingPlatform,
  ServingIdentity,
} from './serving_platform.js';

/** The components of a serving process. */
export interface ServingComponents {
  readonly store: RelayedRowStore;
  readonly peers: PeerClients;
  readonly routing: RoutingState;
  readonly directory: TargetDirectory;
  readonly announcedTargets: AnnouncedTargets;
  readonly streamRecord: StreamRecord;
  readonly membership: Membership;
  readonly socket: HostSocket;
  readonly exchange: LoadExchange;
  readonly speedExchange: SpeedExchange;
  readonly crashSuspects: CrashSuspects;
  readonly promptSuspects: PromptSuspects;
  readonly freshness: FreshnessLease;
  readonly quotas: AccountQuotas;
  readonly streamVersions: StreamVersions<HostPeer>;
  readonly online: OnlineContext;
  readonly jobOwnership: JobOwnership;
  readonly garbageCollector: JobGarbageCollector;
  readonly scheduler: BatchScheduler;
  readonly jobOperations: JobOperations;
}

/** Interval at which the health records of targets decay, in milliseconds. */
const HEALTH_DECAY_INTERVAL_MS = 1000;

/** What the components need of the watched tables. */
export interface FeedAccess {
  /** Reads the list of targets; returns whether it was read. */
  readonly readTargets: () => Promise<boolean>;
  /** Called when targets have come into use later than they were listed. */
  readonly onTargetsReleased: () => void;
}

/** What the components need of the process. */
export interface ProcessAccess extends FeedAccess {
  /** @returns The planned stop in progress; undefined if there is none. */
  readonly plannedStop: () => PlannedStop | undefined;
}

/**
 * Creates the components of a serving process.
 *
 * @param platform - What the platform provides.
 * @param context - Clock, randomness, log, counters and tracer.
 * @param disposables - Owns the components.
 * @param access - What the components need of the process and its tables.
 * @returns The components; none of them is started.
 */
export function createServingComponents(
  platform: ServingPlatform,
  context: ServingContext,
  disposables: DisposableStore,
  access: ProcessAccess,
): ServingComponents {
  const {clock, log, random} = context;
  const {identity} = platform;
  const self = ownMember(identity, random.id());
  const peers = new PeerClients(
    () => platform.tunables().seeds,
    () => membership.peers(),
  );
  const store = new RelayedRowStore(platform.store, {
    ...context,
    relays: () => peers.available(),
    probe: {table: MEMBER_TABLE, partition: ''},
  });
  const membership: Membership = disposables.add(
    new Membership(self, {store, clock, log}),
  );
  const routing = new RoutingState(log);
  const streamLifetime = new StreamLifetime(() => clock.now());
  routing.onAdopted(({routes}) => streamLifetime.adopt(routes));
  const streamLifetimeMs = () => streamLifetime.ms;
  const directory = new TargetDirectory({clock, log, streamLifetimeMs});
  const loads = new LoadTable(() => clock.now());
  const socket = disposables.add(
    new HostSocket({...context, self: identity.loads}),
  );
  const exchange = disposables.add(
    new LoadExchange({
      ...context,
      self,
      table: loads,
      socket,
      peers: () => membership.peers().map(hostPeerOf),
    }),
  );
  const {crashSuspects, promptSuspects} = createCrashJudges({
    ...context,
    store,
    directory,
    expiryMs: () => platform.tunables().targetExpiryMs,
  });
  const hosts = () => membership.live().length;
  const preferredTargets = new PreferredTargets({
    self: self.id,
    dataCentre: identity.dataCentre,
    hosts,
  });
  const speeds = new TargetSpeeds({
    clock,
    isLearning: platform.options.targetSpeeds === 'learned',
  });
  directory.onRemoved(id => speeds.remove(id));
  const speedExchange = disposables.add(
    new SpeedExchange({
      ...context,
      self,
      speeds,
      directory,
      socket,
      peers: () => membership.peers().map(hostPeerOf),
      coordinator: () => exchange.coordinator,
    }),
  );
  const overload = new ServiceOverload({
    clock,
    random,
    directory,
    hosts,
    speeds,
  });
  const requestContext = onlineContext(
    {platform, context, disposables},
    {
      directory,
      loads,
      preferredTargets,
      overload,
      crashSuspects,
      promptSuspects,
    },
  );
  const isCoordinated = () => platform.options.coordinators === 'auto';
  const shares = new ShareAdmission({
    ...requestContext,
    dataCentre: self.dataCentre,
    now: () => clock.now(),
    weightOf: name => routing.weightOf(name),
    hasCoordinators: () => isCoordinated() && exchange.hasCoordinators,
  });
  const promises = new ReturnPromises({
    ...requestContext,
    hostShare: () => hostShare(membership.live(), self.dataCentre),
    isCoordinator: () => isCoordinated() && exchange.isCoordinator,
  });
  const peer = (id: string) => {
    const member = membership.peer(id);
    return member && hostPeerOf(member);
  };
  const placement = createPlacement(socket, {
    ...requestContext,
    self,
    localCoordinator: new Coordinator({
      ...requestContext,
      promises,
      self: self.id,
      dataCentre: self.dataCentre,
      now: () => clock.now(),
      shares,
    }),
    coordinator: () => (isCoordinated() ? exchange.coordinator : undefined),
    coordinatorOf: name =>
      isCoordinated() ? exchange.coordinatorOf(name) : undefined,
    peer,
    onPreempt: (targetId, items) => scheduler.preemptItems(targetId, items),
  });
  const freshness = new FreshnessLease({
    readClocks: () => readClocks(clock),
    newestVersion: () => store.newestVersion,
    leaseMs: () => platform.tunables().keyLeaseMs,
  });
  const quotas = disposables.add(
    createAccountQuotas(socket, {
      ...context,
      self: quotaHostOf(self),
      hosts: () =>
        membership.isInitialized
          ? membership.live().map(quotaHostOf)
          : undefined,
      tolerance: () => platform.tunables().quotaTolerance,
      quotaOf: name => routing.current?.table.accounts?.findByName(name)?.quota,
      aheadRecord: new StoredAheadRecord(store, log),
    }),
  );
  const {counters} = context;
  const admission = new CallerAdmission({
    routing,
    freshness,
    quotas,
    counters,
  });
  const {streamRecord, announcedTargets, streamVersions} =
    createStreamComponents(
      {
        ...context,
        self,
        store,
        directory,
        streamLifetimeMs,
        writesPerS: platform.storeWritesPerS,
        hosts,
        peers: () => membership.peers().map(hostPeerOf),
        peer,
        ...access,
      },
      socket,
      disposables,
    );
  const lateQueue = new LateQueue({
    ...requestContext,
    placement,
    hosts,
    isEnabled: () => isActive(platform.options.lateSlots, admission),
  });
  const schedulesReturns = () =>
    isActive(platform.options.returnSchedule, admission);
  const online = {
    ...requestContext,
    placement,
    admission,
    lateQueue,
    schedulesReturns,
    streamVersions,
    plannedStop: access.plannedStop,
  };
  const reader = new JobReader(store);
  const {storeLimits: limits} = platform;
  const tellOwner = createTellOwner({
    self: self.id,
    peers,
    log,
    learn: row => jobOwnership.learnTold(row),
  });
  const jobContext = {
    ...context,
    store,
    limits,
    reader,
    membership,
    tellOwner,
  };
  const jobOwnership: JobOwnership = disposables.add(
    new JobOwnership(jobContext),
  );
  const closedJobRetentionMs = () => platform.tunables().closedJobRetentionMs;
  const garbageCollector = disposables.add(
    new JobGarbageCollector({...jobContext, closedJobRetentionMs}),
  );
  const schedulerContext = {
    ...online,
    promptSuspects,
    directory,
    routing,
    freshness,
    self: self.id,
    storeTimeMs: () => store.storeTimeMs(),
  };
  const scheduler: BatchScheduler = disposables.add(
    new BatchScheduler(schedulerContext, () => jobOwnership.jobs()),
  );
  return {
    store,
    peers,
    routing,
    directory,
    announcedTargets,
    streamRecord,
    membership,
    socket,
    exchange,
    speedExchange,
    crashSuspects,
    promptSuspects,
    freshness,
    quotas,
    streamVersions,
    online,
    jobOwnership,
    garbageCollector,
    scheduler,
    jobOperations: createJobOperations(jobContext, jobOwnership),
  };
}

interface ComponentContext {
  readonly platform: ServingPlatform;
  readonly context: ServingContext;
  readonly disposables: DisposableStore;
}

interface TargetState {
  readonly directory: TargetDirectory;
  readonly loads: LoadTable;
  readonly preferredTargets: PreferredTargets;
  readonly overload: ServiceOverload;
  readonly crashSuspects: CrashSuspects;
  readonly promptSuspects: PromptSuspects;
}

/**
 * Creates the dependencies that online requests and batch items share:
 * connections, target health and target selection.
 */
function onlineContext(
  {platform, context, disposables}: ComponentContext,
  state: TargetState,
): Omit<
  OnlineContext,
  | 'placement'
  | 'admission'
  | 'lateQueue'
  | 'schedulesReturns'
  | 'streamVersions'
  | 'plannedStop'
> {
  const {directory, loads, preferredTargets, overload} = state;
  const {crashSuspects, promptSuspects} = state;
  const {clock, log, random, counters} = context;
  const {protocol} = platform;
  const {dataCentre} = platform.identity;
  const suspensions = new TargetSuspensions(clock, log);
  const health = new ServiceHealth(clock);
  const pool = disposables.add(new ConnectionPool(counters));
  disposables.add(repeat(clock, HEALTH_DECAY_INTERVAL_MS, () => health.tick()));
  directory.onRemoved(id => {
    suspensions.remove(id);
    health.remove(id);
    pool.closeIdle(id);
  });
  const targetState = {directory, suspensions, health, overload, loads};
  const chooser = new TargetChooser({
    dataCentre,
    ...targetState,
    preferredTargets,
    random,
  });
  const retryDetector = new CallerRetryDetector();
  return {
    ...context,
    protocol,
    pool,
    ...targetState,
    chooser,
    crashSuspects,
    promptSuspects,
    retryDetector,
  };
}

/** @returns Part of the hosts that is in a data centre, from 0 to 1. */
function hostShare(hosts: readonly Member[], dataCentre: string): number {
  const own = hosts.filter(host => host.dataCentre === dataCentre).length;
  return own / Math.max(1, hosts.length);
}

function isActive(
  setting: ServingOptions['lateSlots'],
  {hasAccounts}: CallerAdmission,
): boolean {
  return setting === 'always' || (setting === 'accounts' && hasAccounts);
}

function createJobOperations(
  context: ServingContext & {
    readonly store: RelayedRowStore;
    readonly limits: ServingPlatform['storeLimits'];
    readonly reader: JobReader;
    readonly tellOwner: TellOwner;
  },
  jobOwnership: JobOwnership,
): JobOperations {
  const {reader} = context;
  const owner = () => jobOwnership.ownerForNewJob();
  const sinceAnswerMs = () => context.store.sinceResponseMs;
  const intake = new JobIntake({...context, owner, sinceAnswerMs});
  return {
    reader,
    cancel: jobId => cancelJob(context, jobId),
    submit: async submission => {
      const result = await intake.accept(submission);
      if (result.kind !== 'accepted') return result;
      const {written, found} = result;
      if (written) {
        reader.cacheItems(submission.id, submission.items);
        jobOwnership.adoptAccepted(written);
      } else if (found) jobOwnership.learnSubmitted(found);
      return result;
    },
  };
}

function ownMember(
  {host, dataCentre, loads, control}: ServingIdentity,
  nonce: string,
): Member {
  return {
    id: memberId(host, nonce),
    host,
    dataCentre,
    ip: loads.ip,
    loadPort: loads.port,
    controlAddress: addressOf(control),
    readsAheadRecord: true,
  };
}

function quotaHostOf(member: Member): QuotaHost {
  const {id, host, ip, loadPort: port, readsAheadRecord} = member;
  return {id, host, ip, port, readsAheadRecord};
}

function hostPeerOf({id, dataCentre, ip, loadPort}: Member): HostPeer {
  return {id, dataCentre, ip, port: loadPort};
}

function addressOf({ip, port}: ListenAddress): string {
  return `${ip}:${port}`;
}
