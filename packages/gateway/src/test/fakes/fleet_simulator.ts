/**
 * Simulates a fleet of several data centres in virtual time with the production
 * code for target choice and load reports: callers that arrive in bursts, hosts
 * that know the loads of others from messages, targets that run requests in
 * order of arrival, and an unlimited supply of batch items.
 */
import {
  NO_COUNTERS,
  NO_EVENT_LOG,
  maxQueueWaitMs,
  seededRandom,
  type Random,
  type WaitDemand,
} from '@oathead/core';
import {
  decodeLoad,
  encodeLoad,
  targetKey,
} from '../../lib/connection/load_message.js';
import {
  decodePlacement,
  encodePlacement,
  type PlacementMessage,
} from '../../lib/connection/placement_message.js';
import type {Target} from '../../lib/connection/target.js';
import {Coordinator} from '../../lib/process/coordinator.js';
import {PreferredTargets} from '../../lib/process/preferred_targets.js';
import {LateQueue} from '../../lib/process/late_queue.js';
import {LoadTable} from '../../lib/process/load_table.js';
import {
  LoadReporter,
  type LoadPeer,
  type LoadReportOptions,
} from '../../lib/process/load_reporter.js';
import {Placement} from '../../lib/process/placement.js';
import {ReturnPromises} from '../../lib/process/return_promises.js';
import {ServiceHealth} from '../../lib/process/service_health.js';
import {ServiceOverload} from '../../lib/process/service_overload.js';
import {
  TargetChooser,
  type BatchPressure,
} from '../../lib/process/target_chooser.js';
import {TargetDirectory} from '../../lib/process/target_directory.js';
import {TargetSuspensions} from '../../lib/process/target_suspensions.js';
import {FakeClock} from './fake_clock.js';
import {newTarget} from './targets.js';

/** The simulated fleet and its load. */
export interface FleetScenario {
  readonly seed: number;
  readonly dataCentres: number;
  /** Number of hosts and of targets in each data centre. */
  readonly hosts: number;
  readonly targets: number;
  readonly slots: number;
  /** Mean duration of an online request in a free slot, in milliseconds. */
  readonly runMs: number;
  readonly firstByteMs: number;
  readonly itemMs: number;
  /** Number of batch items that each host tries to keep running. */
  readonly items: number;
  readonly pressure: BatchPressure;
  readonly goalMs: number;
  /** How long callers wait for a response, in milliseconds. */
  readonly callerTimeoutMs: number;
  /** Arrivals per second during the burst and before it. */
  readonly burstRate: number;
  readonly calmRate: number;
  /**
   * Number of callers in the first data centre for each caller in another one;
   * 1 by default.
   */
  readonly firstDataCentreWeight?: number;
  /** Start of the burst and end of the simulation, in milliseconds. */
  readonly burstAtMs: number;
  /**
   * Length of the burst and interval until the next one, in milliseconds; one
   * endless burst by default.
   */
  readonly burstMs?: number;
  readonly periodMs?: number;
  readonly lengthMs: number;
}

/**
 * Parameters of the load reports, and whether data centres have coordinators.
 */
export interface FleetOptions extends LoadReportOptions {
  readonly coordinated: boolean;
  /**
   * Whether slots in other data centres are requested from their coordinators.
   */
  readonly usesRemoteCoordinators?: boolean;
  /** Whether callers that were refused twice wait for a free slot. */
  readonly hasLateSlots?: boolean;
  /** Whether coordinators promise room to callers that are refused. */
  readonly schedulesReturns?: boolean;
  /** Time after which coordinators no longer reply, in milliseconds. */
  readonly coordinatorsFailAtMs?: number;
}

/** Outcomes of the requests and batch items, and number of messages. */
export interface FleetOutcome {
  requests: number;
  inTime: number;
  inTimeOnRetry: number;
  late: number;
  failed: number;
  /**
   * Requests that were neither started nor refused within their latency
   * objective.
   */
  unplaced: number;
  /** Batch items that were preempted, and that were completed. */
  itemsPreempted: number;
  itemsDone: number;
  /**
   * Messages sent by hosts, and bytes of load reports to other data centres.
   */
  messages: number;
  remoteBytes: number;
}

interface Caller {
  readonly arrivedAt: number;
  readonly lastArrivalAt: number;
  readonly returning: boolean;
  readonly host: Host;
}

interface Run {
  readonly caller: Caller | undefined;
  readonly load: Disposable;
  readonly host: Host;
  readonly runMs: number;
  readonly sentAt: number;
  readonly hadFreeSlot: boolean;
  startsAt: number | undefined;
}

interface Host extends LoadPeer {
  readonly loads: LoadTable;
  readonly reporter: LoadReporter<Host>;
  readonly chooser: TargetChooser;
  readonly placement: Placement<Host>;
  readonly overload: ServiceOverload;
  readonly lateQueue: LateQueue;
  readonly tickPhaseMs: number;
  /** Times at which the waiting items of this host may be sent again. */
  itemsWaiting: number[];
  /** Whether slots for items are being requested now. */
  isStartingItems: boolean;
  /** Time until which all targets are assumed to be full for batch items. */
  fullUntil: number;
}

const STEP_MS = 5;
const TICK_MS = 25;
const MAX_STARTS_PER_TICK = 3;
/** Delay before a preempted item is sent again, in milliseconds. */
const PREEMPTED_ITEM_WAIT_MS = 250;
const FULL_BACKOFF_MS = 50;
const MAX_RETRY_DELAY_SHARE = 1 / 3;
const RUN_TIME_SPREAD = 0.25;
const SERVICE = 's';
const NO_TARGETS: ReadonlySet<string> = new Set();

/** Simulates a fleet. */
export class FleetSimulator {
  private readonly random: Random;
  /** Of its own, so that all options of a seed get the same arrivals. */
  private readonly arrivals: Random;
  private readonly clock = new FakeClock();
  private readonly targets: readonly Target[];
  private readonly hosts: readonly Host[];
  private readonly runs = new Map<string, Run[]>();
  private readonly outcome: FleetOutcome = {
    requests: 0,
    inTime: 0,
    inTimeOnRetry: 0,
    late: 0,
    failed: 0,
    unplaced: 0,
    itemsPreempted: 0,
    itemsDone: 0,
    messages: 0,
    remoteBytes: 0,
  };
  private waiting: Caller[] = [];
  private retrying: Caller[] = [];
  private undeliveredMessages: Array<() => void> = [];

  /**
   * @param load - The fleet and its load.
   * @param options - Parameters of load reports and coordination.
   */
  constructor(
    private readonly load: FleetScenario,
    private readonly options: FleetOptions,
  ) {
    this.random = seededRandom(load.seed);
    this.arrivals = seededRandom(load.seed + 1_000_000);
    const dataCentreNames = [...Array(load.dataCentres).keys()].map(
      i => `dc${i}`,
    );
    this.targets = dataCentreNames.flatMap(dataCentre =>
      [...Array(load.targets).keys()].map(i =>
        newTarget(`${dataCentre}-t${i}`, {
          dataCentre,
          slots: load.slots,
          service: SERVICE,
        }),
      ),
    );
    for (const {id} of this.targets) this.runs.set(id, []);
    this.hosts = dataCentreNames.flatMap(dataCentre =>
      [...Array(load.hosts).keys()].map(i =>
        this.newHost(`${dataCentre}-h${i}`, dataCentre),
      ),
    );
  }

  /** @returns Outcomes of all requests. */
  async run(): Promise<FleetOutcome> {
    while (this.now < this.load.lengthMs) {
      this.step();
      this.clock.advance(STEP_MS);
      // Lets replies that arrived in this step take effect within it.
      await new Promise(resolve => setImmediate(resolve));
    }
    const overdue = this.now - this.load.goalMs;
    this.outcome.unplaced = this.waiting.filter(
      ({lastArrivalAt}) => lastArrivalAt < overdue,
    ).length;
    return this.outcome;
  }

  private get now(): number {
    return this.clock.now();
  }

  private newHost(id: string, dataCentre: string): Host {
    const {clock, random} = this;
    const log = NO_EVENT_LOG;
    const now = () => this.now;
    const directory = new TargetDirectory({clock, log});
    for (const target of this.targets) directory.put(target);
    const loads = new LoadTable(now);
    const hostCount = () => this.hosts.length;
    const overload = new ServiceOverload({
      clock,
      random,
      directory,
      hosts: hostCount,
    });
    const chooser = new TargetChooser({
      dataCentre,
      directory,
      suspensions: new TargetSuspensions(clock, log),
      health: new ServiceHealth(clock),
      overload,
      loads,
      preferredTargets: new PreferredTargets({
        self: id,
        dataCentre,
        hosts: hostCount,
      }),
      random,
    });
    const self = {id, dataCentre};
    const reporter = new LoadReporter<Host>(
      {self, table: loads, now, random},
      this.options,
    );
    const placement = new Placement<Host>({
      self,
      clock,
      log,
      counters: NO_COUNTERS,
      chooser,
      directory,
      localCoordinator: new Coordinator({
        self: id,
        dataCentre,
        chooser,
        loads,
        overload,
        promises: new ReturnPromises({
          clock,
          random,
          counters: NO_COUNTERS,
          loads,
          directory,
          overload,
          hostShare: () => 1 / this.load.dataCentres,
          isCoordinator: () => reporter.isCoordinator,
        }),
        now,
      }),
      coordinator: () =>
        this.options.coordinated ? reporter.coordinator : undefined,
      coordinatorOf: name =>
        this.options.usesRemoteCoordinators
          ? reporter.coordinatorOf(name)
          : undefined,
      peer: peer => this.hosts.find(one => one.id === peer),
      send: (message, to) => this.post(message, to),
      onPreempt: (targetId, items) => this.preemptItems(id, targetId, items),
    });
    const lateQueue = new LateQueue({
      clock,
      log,
      counters: NO_COUNTERS,
      chooser,
      directory,
      overload,
      placement,
      hosts: hostCount,
      isEnabled: () => this.options.hasLateSlots ?? false,
    });
    const tickPhaseMs = random.int(this.options.periodMs / STEP_MS) * STEP_MS;
    const itemsWaiting = [...Array(this.load.items).keys()].map(() => 0);
    return {
      ...self,
      loads,
      reporter,
      chooser,
      placement,
      overload,
      lateQueue,
      tickPhaseMs,
      itemsWaiting,
      isStartingItems: false,
      fullUntil: 0,
    };
  }

  private step(): void {
    this.deliver();
    this.generateArrivals();
    for (const target of this.targets) this.advanceRuns(target);
    const waiting = this.waiting;
    this.waiting = [];
    for (const caller of waiting) void this.place(caller);
    for (const host of this.hosts) this.tick(host);
  }

  private deliver(): void {
    const messages = this.undeliveredMessages;
    this.undeliveredMessages = [];
    for (const deliver of messages) deliver();
  }

  private post(message: PlacementMessage, to: Host): void {
    const bytes = encodePlacement(message);
    this.outcome.messages++;
    const {coordinatorsFailAtMs = Infinity} = this.options;
    if (message.kind === 'ask' && this.now >= coordinatorsFailAtMs) return;
    this.undeliveredMessages.push(() =>
      to.placement.receive(decodePlacement(bytes)!),
    );
  }

  private generateArrivals(): void {
    const {burstRate, calmRate} = this.load;
    const rate = this.isBurst ? burstRate : calmRate;
    let expected = (rate * STEP_MS) / 1000;
    for (; expected > 0; expected--) {
      if (this.arrivals.float() >= expected) continue;
      this.outcome.requests++;
      const {now} = this;
      const host = this.pickHost(this.arrivals);
      this.waiting.push({
        arrivedAt: now,
        lastArrivalAt: now,
        returning: false,
        host,
      });
    }
    this.waiting.push(
      ...this.retrying.filter(({lastArrivalAt}) => lastArrivalAt <= this.now),
    );
    this.retrying = this.retrying.filter(
      ({lastArrivalAt}) => lastArrivalAt > this.now,
    );
  }

  private get isBurst(): boolean {
    const {burstAtMs, burstMs = Infinity, periodMs = Infinity} = this.load;
    const sinceMs = this.now - burstAtMs;
    return sinceMs >= 0 && sinceMs % periodMs < burstMs;
  }

  private pickHost(random: Random): Host {
    const {hosts, dataCentres, firstDataCentreWeight = 1} = this.load;
    const position =
      random.float() * (dataCentres - 1 + firstDataCentreWeight) -
      firstDataCentreWeight;
    const dataCentre = position < 0 ? 0 : 1 + Math.floor(position);
    return this.hosts[dataCentre * hosts + random.int(hosts)]!;
  }

  private async place(caller: Caller): Promise<void> {
    const {goalMs} = this.load;
    const {host, returning, lastArrivalAt} = caller;
    const demand = {goalMs, priority: 0, returning};
    const isLast = this.now >= lastArrivalAt + maxQueueWaitMs(demand);
    const {hasLateSlots, schedulesReturns} = this.options;
    const returnWithinMs =
      isLast && schedulesReturns && !returning
        ? this.maxDelayMs(caller)
        : undefined;
    const outcome = await host.placement.forRequest(
      SERVICE,
      {...demand, returnWithinMs},
      NO_TARGETS,
    );
    if (outcome.kind === 'placed') this.send(host, outcome.target, caller);
    else if (this.now < lastArrivalAt + maxQueueWaitMs(demand))
      this.waiting.push(caller);
    else if (schedulesReturns && !isLast) this.waiting.push(caller);
    else if (hasLateSlots && returning) await this.waitLate(caller, demand);
    else this.refuse(caller, outcome.retryAfterMs);
  }

  private async waitLate(caller: Caller, demand: WaitDemand): Promise<void> {
    caller.host.overload.recordFull(SERVICE);
    const end = await caller.host.lateQueue.wait({
      requestId: undefined,
      service: SERVICE,
      demand,
      deadlineAt: caller.arrivedAt + this.load.callerTimeoutMs,
      tried: NO_TARGETS,
    }).end;
    if (end.kind === 'placed') this.send(caller.host, end.target, caller);
    else this.outcome.failed++;
  }

  private maxDelayMs({arrivedAt}: Caller): number {
    const leftMs = this.load.callerTimeoutMs - (this.now - arrivedAt);
    return leftMs * MAX_RETRY_DELAY_SHARE;
  }

  private refuse(caller: Caller, promisedMs: number | undefined): void {
    if (caller.returning) {
      this.outcome.failed++;
      return;
    }
    const retryDelayMs =
      promisedMs ??
      caller.host.overload.returnAfterMs(SERVICE, this.maxDelayMs(caller));
    const lastArrivalAt = this.now + retryDelayMs;
    const host = this.pickHost(this.random);
    this.retrying.push({
      ...caller,
      returning: true,
      lastArrivalAt,
      host,
    });
  }

  private send(host: Host, target: Target, caller: Caller | undefined): void {
    const key = targetKey(target.id);
    const {online, batch} = host.loads.totalAt(key);
    const hadFreeSlot = online + batch < target.slots;
    const load = host.loads.begin(key, caller ? 'online' : 'batch');
    const {runMs, itemMs} = this.load;
    const spread = 1 + RUN_TIME_SPREAD * (2 * this.random.float() - 1);
    this.runs.get(target.id)!.push({
      caller,
      load,
      host,
      runMs: (caller ? runMs : itemMs) * spread,
      sentAt: this.now,
      hadFreeSlot,
      startsAt: undefined,
    });
  }

  /**
   * Ends the runs that are complete and starts waiting ones in order of
   * arrival.
   */
  private advanceRuns(target: Target): void {
    const runs = this.runs.get(target.id)!;
    const isDone = ({startsAt, runMs}: Run) =>
      startsAt !== undefined && startsAt + runMs <= this.now;
    for (const run of runs.filter(isDone)) this.end(target, run);
    const left = this.runs.get(target.id)!;
    for (const run of left.slice(0, target.slots)) this.begin(run);
  }

  private begin(run: Run): void {
    if (run.startsAt !== undefined) return;
    run.startsAt = this.now;
    if (!run.caller) return;
    const {goalMs, firstByteMs} = this.load;
    const {lastArrivalAt, returning} = run.caller;
    if (this.now + firstByteMs - lastArrivalAt > goalMs) this.outcome.late++;
    else if (returning) this.outcome.inTimeOnRetry++;
    else this.outcome.inTime++;
  }

  private end(target: Target, run: Run): void {
    this.remove(target, run);
    const {firstByteMs} = this.load;
    if (!run.caller) {
      this.outcome.itemsDone++;
      run.host.itemsWaiting.push(this.now);
    }
    if (run.caller && run.hadFreeSlot) {
      const runMs = this.now - run.sentAt;
      const waitedMs = run.startsAt! - run.sentAt;
      const latency = {firstByteMs: waitedMs + firstByteMs, runMs};
      run.host.overload.recordRun(SERVICE, latency);
    }
  }

  private remove(target: Target, run: Run): void {
    run.load[Symbol.dispose]();
    const left = this.runs.get(target.id)!.filter(one => one !== run);
    this.runs.set(target.id, left);
  }

  private tick(host: Host): void {
    const sinceStart = this.now + host.tickPhaseMs;
    if (sinceStart % this.options.periodMs === 0) this.reportLoad(host);
    if (sinceStart % TICK_MS !== 0) return;
    this.preemptExcessItems(host);
    void this.startItems(host);
  }

  private async startItems(host: Host): Promise<void> {
    if (host.isStartingItems || this.now < host.fullUntil) return;
    host.isStartingItems = true;
    for (let started = 0; started < MAX_STARTS_PER_TICK; started++) {
      const next = host.itemsWaiting.findIndex(at => at <= this.now);
      if (next < 0) break;
      const {pressure} = this.load;
      const target = await host.placement.forItem(
        SERVICE,
        pressure,
        NO_TARGETS,
      );
      if (!target) {
        host.fullUntil = this.now + FULL_BACKOFF_MS;
        break;
      }
      host.itemsWaiting.splice(next, 1);
      this.send(host, target, undefined);
    }
    host.isStartingItems = false;
  }

  private reportLoad(host: Host): void {
    const peers = this.hosts.filter(one => one !== host);
    for (const {message, peers: to} of host.reporter.takeDueReports(peers)) {
      const bytes = encodeLoad(message);
      for (const peer of to) {
        this.undeliveredMessages.push(() =>
          peer.reporter.receive(decodeLoad(bytes)!),
        );
        this.outcome.messages++;
        if (peer.dataCentre !== host.dataCentre)
          this.outcome.remoteBytes += bytes.length;
      }
    }
  }

  private preemptExcessItems(host: Host): void {
    for (const target of this.targets) {
      const count = host.chooser.itemsToPreempt(target, host.id);
      if (count > 0) this.preemptItems(host.id, target.id, count);
    }
  }

  private preemptItems(hostId: string, targetId: string, count: number): void {
    const target = this.targets.find(({id}) => id === targetId)!;
    const items = this.runs
      .get(targetId)!
      .filter(({host, caller}) => host.id === hostId && !caller);
    for (const run of items.slice(-count)) {
      this.outcome.itemsPreempted++;
      run.host.itemsWaiting.push(this.now + PREEMPTED_ITEM_WAIT_MS);
      this.remove(target, run);
    }
  }
}
