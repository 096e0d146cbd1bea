/** The parts of a serving process, put together over one store. */
import {
  FreshnessLease,
  readClocks,
  repeat,
  type DisposableStore,
} from '@oathead/core';
import {
  CallerAdmission,
  CallerPatience,
  ConnectionPool,
  Coordinator,
  CrashSuspects,
  HomeTargets,
  HostSocket,
  LoadExchange,
  LoadTable,
  MEMBER_TABLE,
  memberId,
  Membership,
  placementOver,
  quotasOver,
  RoutingState,
  ServiceHealth,
  ServiceOverload,
  TargetChooser,
  TargetDirectory,
  TargetSuspensions,
  type AccountQuotas,
  type CountingHost,
  type HostPeer,
  type Member,
  type OnlineContext,
} from '@oathead/gateway';
import {
  BatchScheduler,
  endJob,
  JobIntake,
  JobJanitor,
  JobKeeper,
  JobReader,
} from '@oathead/jobs';
import {RelayedRowStore} from '@oathead/stores';
import {PeerLinks} from '../connection/peer_links.js';
import type {
  JobCalls,
  ListenAddress,
  ServingContext,
  ServingHost,
  ServingIdentity,
} from './serving_host.js';

/** What a serving process is made of. */
export interface ServingParts {
  readonly store: RelayedRowStore;
  readonly peers: PeerLinks;
  readonly routing: RoutingState;
  readonly directory: TargetDirectory;
  readonly membership: Membership;
  readonly socket: HostSocket;
  readonly exchange: LoadExchange;
  readonly crashes: CrashSuspects;
  readonly freshness: FreshnessLease;
  readonly quotas: AccountQuotas;
  readonly online: OnlineContext;
  readonly keeper: JobKeeper;
  readonly janitor: JobJanitor;
  readonly scheduler: BatchScheduler;
  readonly jobCalls: JobCalls;
}

/** How often the marks of targets fade a little, in milliseconds. */
const HEALTH_TICK_MS = 1000;

/**
 * @param host - The adapter's side.
 * @param context - Clock, randomness, log and counters.
 * @param held - Owns the parts.
 * @returns The parts, none of them started.
 */
export function servingParts(
  host: ServingHost,
  context: ServingContext,
  held: DisposableStore,
): ServingParts {
  const {clock, log, random} = context;
  const {identity} = host;
  const self = selfOf(identity, random.id());
  const peers = new PeerLinks(
    () => host.tunables().seeds,
    () => membership.peers(),
  );
  const store = new RelayedRowStore(host.store, {
    ...context,
    relays: () => peers.links(),
    probe: {table: MEMBER_TABLE, partition: ''},
  });
  const membership: Membership = held.add(
    new Membership(self, {store, clock, log}),
  );
  const routing = new RoutingState(log);
  const directory = new TargetDirectory({clock, log});
  const loads = new LoadTable(() => clock.now());
  const socket = held.add(new HostSocket({...context, self: identity.loads}));
  const exchange = held.add(
    new LoadExchange({
      ...context,
      self,
      table: loads,
      socket,
      peers: () => membership.peers().map(hostPeerOf),
    }),
  );
  const crashes = new CrashSuspects({
    store,
    clock,
    log,
    directory,
    lapseMs: () => host.tunables().targetLapseMs,
  });
  const hosts = () => membership.live().length;
  const homes = new HomeTargets({
    self: self.id,
    dataCentre: identity.dataCentre,
    hosts,
  });
  const overload = new ServiceOverload({clock, random, directory, hosts});
  const sending = onlineContext(
    {host, context, held},
    {directory, loads, homes, overload, crashes},
  );
  const placement = placementOver(socket, {
    ...sending,
    self,
    own: new Coordinator({
      ...sending,
      self: self.id,
      dataCentre: self.dataCentre,
      now: () => clock.now(),
    }),
    coordinator: () =>
      host.options.coordinators === 'auto' ? exchange.coordinator : undefined,
    coordinatorOf: name =>
      host.options.coordinators === 'auto'
        ? exchange.coordinatorOf(name)
        : undefined,
    peer: id => {
      const member = membership.peer(id);
      return member && hostPeerOf(member);
    },
    onYield: (targetId, items) => scheduler.giveWay(targetId, items),
  });
  const freshness = new FreshnessLease({
    readClocks: () => readClocks(clock),
    newestVersion: () => store.newestVersion,
    leaseMs: () => host.tunables().keyLeaseMs,
  });
  const quotas = held.add(
    quotasOver(socket, {
      ...context,
      self: countingHostOf(self),
      hosts: () =>
        membership.known ? membership.live().map(countingHostOf) : undefined,
      tolerance: () => host.tunables().quotaTolerance,
      quotaOf: name => routing.current?.table.accounts?.named(name)?.quota,
    }),
  );
  const {counters} = context;
  const admission = new CallerAdmission({
    routing,
    freshness,
    quotas,
    counters,
  });
  const online = {...sending, placement, admission};
  const reader = new JobReader(store);
  const {storeLimits: limits} = host;
  const jobs = {...context, store, limits, reader, membership};
  const keeper = held.add(new JobKeeper(jobs));
  const keepMs = () => host.tunables().keepJobsMs;
  const janitor = held.add(new JobJanitor({...jobs, keepMs}));
  const scheduling = {
    ...online,
    directory,
    routing,
    self: self.id,
    storeTimeMs: () => store.storeTimeMs(),
  };
  const scheduler: BatchScheduler = held.add(
    new BatchScheduler(scheduling, () => keeper.jobs()),
  );
  return {
    store,
    peers,
    routing,
    directory,
    membership,
    socket,
    exchange,
    crashes,
    freshness,
    quotas,
    online,
    keeper,
    janitor,
    scheduler,
    jobCalls: jobCallsOf(jobs, keeper),
  };
}

interface Base {
  readonly host: ServingHost;
  readonly context: ServingContext;
  readonly held: DisposableStore;
}

interface Known {
  readonly directory: TargetDirectory;
  readonly loads: LoadTable;
  readonly homes: HomeTargets;
  readonly overload: ServiceOverload;
  readonly crashes: CrashSuspects;
}

/** What requests and items share: connections, health and choice of targets. */
function onlineContext(
  {host, context, held}: Base,
  {directory, loads, homes, overload, crashes}: Known,
): Omit<OnlineContext, 'placement' | 'admission'> {
  const {clock, log, random, counters} = context;
  const {protocol} = host;
  const {dataCentre} = host.identity;
  const suspensions = new TargetSuspensions(clock, log);
  const health = new ServiceHealth(clock);
  const pool = held.add(new ConnectionPool(counters));
  held.add(repeat(clock, HEALTH_TICK_MS, () => health.tick()));
  directory.onGone(id => {
    suspensions.forget(id);
    health.forget(id);
    pool.forget(id);
  });
  const known = {directory, suspensions, health, overload, loads};
  const chooser = new TargetChooser({dataCentre, ...known, homes, random});
  const patience = new CallerPatience();
  return {...context, protocol, pool, ...known, chooser, crashes, patience};
}

function jobCallsOf(
  context: ServingContext & {
    readonly store: RelayedRowStore;
    readonly limits: ServingHost['storeLimits'];
    readonly reader: JobReader;
  },
  keeper: JobKeeper,
): JobCalls {
  const {reader} = context;
  const owner = () => keeper.ownerOfNew();
  const sinceAnswerMs = () => context.store.sinceAnswerMs;
  const intake = new JobIntake({...context, owner, sinceAnswerMs});
  return {
    reader,
    end: jobId => endJob(context, jobId),
    handIn: async submission => {
      const result = await intake.accept(submission);
      if (result.kind === 'accepted' && result.written) {
        reader.remember(submission.id, submission.items);
        keeper.accepted(result.written);
      }
      return result;
    },
  };
}

function selfOf(
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
  };
}

function countingHostOf({id, host, ip, loadPort}: Member): CountingHost {
  return {id, host, ip, port: loadPort};
}

function hostPeerOf({id, dataCentre, ip, loadPort}: Member): HostPeer {
  return {id, dataCentre, ip, port: loadPort};
}

function addressOf({ip, port}: ListenAddress): string {
  return `${ip}:${port}`;
}
