/**
 * Simulates a fleet of several data centres in virtual time with the production
 * code for target choice and load reports: callers that arrive in bursts, hosts
 * that know the loads of others from messages, targets that run requests in
 * order of arrival, and an unlimited supply of batch items.
 */
import {
  NO_COUNTERS,
  NO_EVENT_LOG,
  PaceMeter,
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
import {
  decodeSpeeds,
  encodeSpeeds,
} from '../../lib/connection/speed_message.js';
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
import {NO_ROOM, type NotPlaced} from '../../lib/process/placement_outcome.js';
import {ShareAdmission} from '../../lib/process/share_admission.js';
import {ReturnPromises} from '../../lib/process/return_promises.js';
import {ServiceHealth} from '../../lib/process/service_health.js';
import {ServiceOverload} from '../../lib/process/service_overload.js';
import {TargetChooser} from '../../lib/process/target_chooser.js';
import {TargetDirectory} from '../../lib/process/target_directory.js';
import {
  SPEED_REPORT_MS,
  SpeedReporter,
} from '../../lib/process/speed_reporter.js';
import type {BatchPressure} from '../../lib/process/target_score.js';
import {TargetSpeeds} from '../../lib/process/target_speeds.js';
import {TargetSuspensions} from '../../lib/process/target_suspensions.js';
import {FakeClock} from './fake_clock.js';
import {newTarget} from './targets.js';

/** Load of one client account. */
export interface AccountLoad {
  readonly name: string;
  /** @returns Arrivals per second. */
  readonly rateAt: (ms: number) => number;
  /** Where its callers are; all data centres by default. */
  readonly dataCentre?: number;
  /** 0 by default. */
  readonly priority?: number;
}

/** Outcomes of the requests of one client account. */
export interface AccountOutcome {
  requests: number;
  /** Requests that were refused at their first attempt, and for good. */
  refused: number;
  failed: number;
  /** Refusals because the account was over its share. */
  overShare: number;
  late: number;
  served: number;
  /** Total time from arrival to a placement or refusal, in milliseconds. */
  waitedMs: number;
}

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
  /** Client accounts, which then send all requests. */
  readonly accounts?: readonly AccountLoad[];
  /** Speeds of the targets of each data centre in turn; all 1 by default. */
  readonly speeds?: readonly number[];
  /** A time in which the first target is slower, by this factor. */
  readonly slowFirstTarget?: {
    readonly by: number;
    readonly fromMs: number;
    readonly toMs: number;
  };
  /**
   * Time at which the last target of each data centre is added, empty; from the
   * start by default.
   */
  readonly lastTargetAddedAtMs?: number;
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
  /** Whether the room is divided among client accounts. */
  readonly usesShares?: boolean;
  /**
   * Time at which the coordinators are replaced by hosts that know nothing of
   * the shares, in milliseconds.
   */
  readonly sharesLostAtMs?: number;
  /** @returns Weight of an account. */
  readonly weightAt?: (account: string, ms: number) => number | undefined;
  /** Whether hosts learn the speeds of targets; true by default. */
  readonly learnsSpeeds?: boolean;
  /** Whether they tell each other; true by default. */
  readonly sharesSpeeds?: boolean;
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
  /** By name of the client account. */
  readonly accounts: Map<string, AccountOutcome>;
  /**
   * Requests in time and late by speed of their target, if those differ; `slow`
   * for one that is slower for a while.
   */
  bySpeed?: Record<string, {inTime: number; late: number}>;
  /** Bytes of what hosts tell each other of speeds. */
  speedBytes?: number;
}

interface Caller {
  readonly arrivedAt: number;
  readonly lastArrivalAt: number;
  readonly returning: boolean;
  readonly host: Host;
  readonly account?: AccountLoad | undefined;
  /** Whether it has searched for a target since its last arrival. */
  hasSearched: boolean;
}

interface Run {
  readonly caller: Caller | undefined;
  readonly load: Disposable;
  readonly host: Host;
  readonly sentAt: number;
  readonly hadFreeSlot: boolean;
  runMs: number;
  firstByteMs: number;
  msPerEvent: number;
  startsAt: number | undefined;
  paceMeter: PaceMeter | undefined;
  isMeasured: boolean;
}

interface Host extends LoadPeer {
  readonly loads: LoadTable;
  readonly reporter: LoadReporter<Host>;
  readonly chooser: TargetChooser;
  readonly directory: TargetDirectory;
  readonly placement: Placement<Host>;
  readonly overload: ServiceOverload;
  readonly speedReporter: SpeedReporter<Host>;
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
/** Numbers of events of an online stream and of an item. */
const REQUEST_EVENTS = 25;
const ITEM_EVENTS = 150;
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
    accounts: new Map(),
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
    for (const target of this.targets)
      if (!this.isAddedLater(target)) directory.put(target);
    const loads = new LoadTable(now);
    const hostCount = () => this.hosts.length;
    const overload = new ServiceOverload({
      clock,
      random,
      directory,
      hosts: hostCount,
      speeds: new TargetSpeeds({
        clock,
        isLearning: this.options.learnsSpeeds ?? true,
      }),
    });
    const suspensions = new TargetSuspensions(clock, log);
    const chooser = new TargetChooser({
      dataCentre,
      directory,
      suspensions,
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
    const newShares = () =>
      new ShareAdmission({
        dataCentre,
        directory,
        suspensions,
        loads,
        overload,
        counters: NO_COUNTERS,
        log,
        now,
        weightOf: name => this.options.weightAt?.(name, this.now),
        hasCoordinators: () =>
          this.options.coordinated && reporter.hasCoordinators,
      });
    let shares = this.options.usesShares ? newShares() : undefined;
    const {sharesLostAtMs} = this.options;
    if (shares && sharesLostAtMs !== undefined)
      clock.after(sharesLostAtMs, () => (shares = newShares()));
    const reporter = new LoadReporter<Host>(
      {self, table: loads, now, random},
      this.options,
    );
    const speedReporter = new SpeedReporter<Host>({
      self,
      speeds: overload.speeds,
      directory,
      counters: NO_COUNTERS,
      // Not the random numbers of the fleet, which stay the same without it.
      random: seededRandom(this.hosts?.length ?? 0),
      now,
      coordinator: () => reporter.coordinator,
    });
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
        get shares() {
          return shares;
        },
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
      directory,
      placement,
      overload,
      speedReporter,
      lateQueue,
      tickPhaseMs,
      itemsWaiting,
      isStartingItems: false,
      fullUntil: 0,
    };
  }

  private isAddedLater({id}: Target): boolean {
    const {targets, lastTargetAddedAtMs = 0} = this.load;
    return lastTargetAddedAtMs > this.now && id.endsWith(`-t${targets - 1}`);
  }

  private addTargets(): void {
    const {lastTargetAddedAtMs} = this.load;
    if (lastTargetAddedAtMs !== this.now) return;
    for (const {directory} of this.hosts)
      for (const target of this.targets) directory.put(target);
  }

  private speedOf({id}: Target): number {
    const {speeds = [1]} = this.load;
    return speeds[Number(id.split('-t')[1]) % speeds.length]!;
  }

  /** How much longer a run that begins now takes at the target. */
  private slownessOf(target: Target): number {
    const slow = this.load.slowFirstTarget;
    const isSlow =
      slow &&
      target === this.targets[0] &&
      slow.fromMs <= this.now &&
      this.now < slow.toMs;
    return (isSlow ? slow.by : 1) / this.speedOf(target);
  }

  /** Makes the runs at the first target slower, or as fast as before. */
  private changeFirstTarget(): void {
    const {slowFirstTarget: slow} = this.load;
    if (slow?.fromMs === this.now) this.stretchRuns(this.targets[0]!, slow.by);
    if (slow?.toMs === this.now)
      this.stretchRuns(this.targets[0]!, 1 / slow.by);
  }

  private stretchRuns({id}: Target, by: number): void {
    for (const run of this.runs.get(id)!) {
      if (run.startsAt === undefined) continue;
      const doneMs = this.now - run.startsAt;
      run.runMs = doneMs + (run.runMs - doneMs) * by;
      run.msPerEvent *= by;
    }
  }

  private step(): void {
    this.addTargets();
    this.changeFirstTarget();
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
    const {burstRate, calmRate, accounts} = this.load;
    const rate = this.isBurst ? burstRate : calmRate;
    if (!accounts) this.generateArrivalsAt(rate);
    for (const account of accounts ?? [])
      this.generateArrivalsAt(account.rateAt(this.now), account);
    this.waiting.push(
      ...this.retrying.filter(({lastArrivalAt}) => lastArrivalAt <= this.now),
    );
    this.retrying = this.retrying.filter(
      ({lastArrivalAt}) => lastArrivalAt > this.now,
    );
  }

  private generateArrivalsAt(rate: number, account?: AccountLoad): void {
    const random = account ? this.random : this.arrivals;
    let expected = (rate * STEP_MS) / 1000;
    for (; expected > 0; expected--) {
      if (random.float() >= expected) continue;
      this.outcome.requests++;
      if (account) this.outcomeOf(account).requests++;
      const {now} = this;
      this.waiting.push({
        arrivedAt: now,
        lastArrivalAt: now,
        returning: false,
        host: this.pickHost(random, account),
        account,
        hasSearched: false,
      });
    }
  }

  private outcomeOf({name}: AccountLoad): AccountOutcome {
    const {accounts} = this.outcome;
    const known = accounts.get(name);
    if (known) return known;
    const none: AccountOutcome = {
      requests: 0,
      refused: 0,
      failed: 0,
      overShare: 0,
      late: 0,
      served: 0,
      waitedMs: 0,
    };
    accounts.set(name, none);
    return none;
  }

  private get isBurst(): boolean {
    const {burstAtMs, burstMs = Infinity, periodMs = Infinity} = this.load;
    const sinceMs = this.now - burstAtMs;
    return sinceMs >= 0 && sinceMs % periodMs < burstMs;
  }

  private pickHost(random: Random, account?: AccountLoad): Host {
    const {hosts, dataCentres, firstDataCentreWeight = 1} = this.load;
    if (account?.dataCentre !== undefined)
      return this.hosts[account.dataCentre * hosts + this.random.int(hosts)]!;
    const position =
      random.float() * (dataCentres - 1 + firstDataCentreWeight) -
      firstDataCentreWeight;
    const dataCentre = position < 0 ? 0 : 1 + Math.floor(position);
    return this.hosts[dataCentre * hosts + random.int(hosts)]!;
  }

  private async place(caller: Caller): Promise<void> {
    const {goalMs} = this.load;
    const {host, returning, lastArrivalAt, account} = caller;
    const demand = {
      goalMs,
      priority: account?.priority ?? 0,
      returning,
      account: account?.name,
      isRepeated: caller.hasSearched,
    };
    caller.hasSearched = true;
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
    else if (
      (outcome.cause === 'room' || returning) &&
      this.now < lastArrivalAt + maxQueueWaitMs(demand)
    )
      this.waiting.push(caller);
    else if (schedulesReturns && !isLast) this.waiting.push(caller);
    else if (hasLateSlots && returning) await this.waitLate(caller, demand);
    else this.refuse(caller, outcome);
  }

  private async waitLate(caller: Caller, demand: WaitDemand): Promise<void> {
    caller.host.overload.recordNotPlaced(SERVICE, NO_ROOM);
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

  private refuse(
    caller: Caller,
    {cause, retryAfterMs: promisedMs}: NotPlaced,
  ): void {
    const {account} = caller;
    const outcome = account && this.outcomeOf(account);
    if (outcome) outcome.waitedMs += this.now - caller.lastArrivalAt;
    if (outcome && cause === 'share') outcome.overShare++;
    if (caller.returning) {
      this.outcome.failed++;
      if (outcome) outcome.failed++;
      return;
    }
    if (outcome) outcome.refused++;
    const retryDelayMs =
      promisedMs ??
      caller.host.overload.returnAfterMs(SERVICE, this.maxDelayMs(caller));
    const lastArrivalAt = this.now + retryDelayMs;
    const host = this.pickHost(this.random, account);
    this.retrying.push({
      ...caller,
      returning: true,
      hasSearched: false,
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
      firstByteMs: this.load.firstByteMs,
      msPerEvent: 0,
      sentAt: this.now,
      hadFreeSlot,
      startsAt: undefined,
      paceMeter: undefined,
      isMeasured: false,
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
    for (const run of left.slice(0, target.slots)) this.begin(target, run);
    for (const run of left) this.measurePace(target, run);
  }

  private begin(target: Target, run: Run): void {
    if (run.startsAt !== undefined) return;
    const slowness = this.slownessOf(target);
    run.runMs *= slowness;
    run.firstByteMs *= slowness;
    run.startsAt = this.now;
    run.msPerEvent = run.runMs / (run.caller ? REQUEST_EVENTS : ITEM_EVENTS);
    run.paceMeter = new PaceMeter();
    if (!run.caller) return;
    const {goalMs} = this.load;
    const {lastArrivalAt, returning, account} = run.caller;
    const isLate = this.now + run.firstByteMs - lastArrivalAt > goalMs;
    const outcome = account && this.outcomeOf(account);
    if (outcome) {
      outcome.waitedMs += this.now - lastArrivalAt;
      if (isLate) outcome.late++;
      else outcome.served++;
    }
    if (isLate) this.outcome.late++;
    else if (returning) this.outcome.inTimeOnRetry++;
    else this.outcome.inTime++;
    this.countBySpeed(target, isLate);
  }

  private countBySpeed(target: Target, isLate: boolean): void {
    const {speeds, slowFirstTarget} = this.load;
    if (!speeds && !slowFirstTarget) return;
    const isSlowForAWhile = slowFirstTarget && target === this.targets[0];
    const speed = isSlowForAWhile ? 'slow' : String(this.speedOf(target));
    const bySpeed = (this.outcome.bySpeed ??= {});
    const counts = (bySpeed[speed] ??= {inTime: 0, late: 0});
    if (isLate) counts.late++;
    else counts.inTime++;
  }

  private measurePace(target: Target, run: Run): void {
    // Events are counted in fractions, as steps are shorter than pauses.
    const ms = run.paceMeter?.add(STEP_MS / run.msPerEvent, this.now);
    if (ms === undefined) return;
    const {online, batch} = run.host.loads.totalAt(targetKey(target.id));
    run.host.overload.speeds.record(target, {
      kind: run.caller ? 'online pace' : 'batch pace',
      ms,
      inFlight: online + batch,
      isNewRun: !run.isMeasured,
    });
    run.isMeasured = true;
  }

  private end(target: Target, run: Run): void {
    this.remove(target, run);
    if (!run.caller) {
      this.outcome.itemsDone++;
      run.host.itemsWaiting.push(this.now);
    }
    if (run.caller && run.hadFreeSlot) {
      const runMs = this.now - run.sentAt;
      const waitedMs = run.startsAt! - run.sentAt;
      const latency = {firstByteMs: waitedMs + run.firstByteMs, runMs};
      const {overload} = run.host;
      const slowness = overload.speeds.slownessAt(target, 1);
      overload.recordRun(SERVICE, latency, slowness);
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
    if (sinceStart % SPEED_REPORT_MS === 0) this.reportSpeeds(host);
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
      const placed = await host.placement.forItem(
        SERVICE,
        pressure,
        NO_TARGETS,
      );
      if (placed.kind === 'full') {
        host.fullUntil = this.now + FULL_BACKOFF_MS;
        break;
      }
      host.itemsWaiting.splice(next, 1);
      this.send(host, placed.target, undefined);
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

  private reportSpeeds(host: Host): void {
    if (this.options.sharesSpeeds === false) return;
    const peers = this.hosts.filter(one => one !== host);
    for (const {message, peers: to} of host.speedReporter.takeDueReports(
      peers,
    )) {
      const bytes = encodeSpeeds(message);
      this.outcome.speedBytes ??= 0;
      this.outcome.speedBytes += bytes.length * to.length;
      for (const peer of to)
        this.undeliveredMessages.push(() =>
          peer.speedReporter.receive(decodeSpeeds(bytes)!),
        );
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
