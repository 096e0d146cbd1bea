/**
 * Plays a fleet of several data centres in virtual time with the code that chooses
 * targets and tells loads: callers in bursts, hosts that know others' loads by
 * messages, targets that run what comes in order, and items of batch jobs that never
 * run out.
 */
import {
  NO_COUNTERS,
  NO_EVENT_LOG,
  patienceMs,
  seededRandom,
  type Random,
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
import {HomeTargets} from '../../lib/process/home_targets.js';
import {LoadTable} from '../../lib/process/load_table.js';
import {
  LoadTelling,
  type LoadPeer,
  type LoadTellingOptions,
} from '../../lib/process/load_telling.js';
import {Placement} from '../../lib/process/placement.js';
import {ServiceHealth} from '../../lib/process/service_health.js';
import {ServiceOverload} from '../../lib/process/service_overload.js';
import {
  TargetChooser,
  type BatchPressure,
} from '../../lib/process/target_chooser.js';
import {TargetDirectory} from '../../lib/process/target_directory.js';
import {TargetSuspensions} from '../../lib/process/target_suspensions.js';
import {FakeClock} from './fake_clock.js';
import {targetOf} from './targets.js';

/** The fleet, and the load that is played. */
export interface WideLoad {
  readonly seed: number;
  readonly dataCentres: number;
  /** Hosts and targets of each data centre. */
  readonly hosts: number;
  readonly targets: number;
  readonly slots: number;
  /** A run at a free slot, in milliseconds. */
  readonly runMs: number;
  readonly firstByteMs: number;
  readonly itemMs: number;
  /** Items that each host has to run at any time. */
  readonly items: number;
  readonly pressure: BatchPressure;
  readonly goalMs: number;
  /** How long callers wait, in milliseconds. */
  readonly patienceMs: number;
  /** Arrivals a second in a burst and before it. */
  readonly burstRate: number;
  readonly calmRate: number;
  /** How many times as many callers come to the first data centre as to others; as
   * many by default. */
  readonly crowding?: number;
  /** When the burst begins, and the end, in milliseconds. */
  readonly burstAtMs: number;
  readonly lengthMs: number;
}

/** How hosts tell their loads, and whether a data centre has a coordinator. */
export interface WideOptions extends LoadTellingOptions {
  readonly coordinated: boolean;
  /** Whether a place in another data centre is asked of its coordinator. */
  readonly asksOthers?: boolean;
  /** From when on those who coordinate answer nobody, in milliseconds. */
  readonly coordinatorsLostAtMs?: number;
}

/** What came of the requests, and of the messages. */
export interface WideOutcome {
  requests: number;
  inTime: number;
  inTimeOnReturn: number;
  late: number;
  failed: number;
  /** Items that were ended, and that were done. */
  /** Requests that were neither begun nor refused within their objective. */
  unplaced: number;
  itemsCut: number;
  itemsDone: number;
  /** Messages that hosts sent, and their bytes to other data centres. */
  messages: number;
  farBytes: number;
}

interface Caller {
  readonly arrivedAt: number;
  readonly cameAt: number;
  readonly returning: boolean;
  readonly host: Host;
}

interface Run {
  readonly caller: Caller | undefined;
  readonly load: Disposable;
  readonly host: Host;
  readonly runMs: number;
  readonly sentAt: number;
  readonly foundFree: boolean;
  startsAt: number | undefined;
}

interface Host extends LoadPeer {
  readonly loads: LoadTable;
  readonly telling: LoadTelling<Host>;
  readonly chooser: TargetChooser;
  readonly placement: Placement<Host>;
  readonly overload: ServiceOverload;
  readonly tickPhaseMs: number;
  /** When each of its items that do not run may be sent again. */
  itemsWaiting: number[];
  /** Whether it looks for places for items now. */
  startingItems: boolean;
  /** Until when it takes all targets to be full of items. */
  fullUntil: number;
}

const STEP_MS = 5;
const TICK_MS = 25;
const STARTS_PER_TICK = 3;
/** An item that gave way waits so long. */
const ITEM_WAIT_MS = 250;
const FULL_MS = 50;
const LATEST_RETURN_SHARE = 1 / 3;
const SPREAD = 0.25;
const SERVICE = 's';
const NONE: ReadonlySet<string> = new Set();

/** Plays a fleet to its end. */
export class WideFleet {
  private readonly random: Random;
  private readonly clock = new FakeClock();
  private readonly targets: readonly Target[];
  private readonly hosts: readonly Host[];
  private readonly runs = new Map<string, Run[]>();
  private readonly outcome: WideOutcome = {
    requests: 0,
    inTime: 0,
    inTimeOnReturn: 0,
    late: 0,
    failed: 0,
    unplaced: 0,
    itemsCut: 0,
    itemsDone: 0,
    messages: 0,
    farBytes: 0,
  };
  private waiting: Caller[] = [];
  private returning: Caller[] = [];
  private mail: Array<() => void> = [];

  /**
   * @param load - What is played.
   * @param options - How hosts tell their loads.
   */
  constructor(
    private readonly load: WideLoad,
    private readonly options: WideOptions,
  ) {
    this.random = seededRandom(load.seed);
    const places = [...Array(load.dataCentres).keys()].map(i => `dc${i}`);
    this.targets = places.flatMap(dataCentre =>
      [...Array(load.targets).keys()].map(i =>
        targetOf(`${dataCentre}-t${i}`, {
          dataCentre,
          slots: load.slots,
          service: SERVICE,
        }),
      ),
    );
    for (const {id} of this.targets) this.runs.set(id, []);
    this.hosts = places.flatMap(dataCentre =>
      [...Array(load.hosts).keys()].map(i =>
        this.newHost(`${dataCentre}-h${i}`, dataCentre),
      ),
    );
  }

  /** @returns What came of all requests. */
  async play(): Promise<WideOutcome> {
    while (this.now < this.load.lengthMs) {
      this.step();
      this.clock.pass(STEP_MS);
      // Answers that came in this step are acted upon in it.
      await new Promise(resolve => setImmediate(resolve));
    }
    const overdue = this.now - this.load.goalMs;
    this.outcome.unplaced = this.waiting.filter(
      ({cameAt}) => cameAt < overdue,
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
    const count = () => this.hosts.length;
    const overload = new ServiceOverload({
      clock,
      random,
      directory,
      hosts: count,
    });
    const chooser = new TargetChooser({
      dataCentre,
      directory,
      suspensions: new TargetSuspensions(clock, log),
      health: new ServiceHealth(clock),
      overload,
      loads,
      homes: new HomeTargets({self: id, dataCentre, hosts: count}),
      random,
    });
    const self = {id, dataCentre};
    const telling = new LoadTelling<Host>(
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
      own: new Coordinator({self: id, dataCentre, chooser, loads, now}),
      coordinator: () =>
        this.options.coordinated ? telling.coordinator : undefined,
      coordinatorOf: name =>
        this.options.asksOthers ? telling.coordinatorOf(name) : undefined,
      peer: peer => this.hosts.find(one => one.id === peer),
      send: (message, to) => this.post(message, to),
      onYield: (targetId, items) => this.giveWay(id, targetId, items),
    });
    const tickPhaseMs = random.int(this.options.periodMs / STEP_MS) * STEP_MS;
    const itemsWaiting = [...Array(this.load.items).keys()].map(() => 0);
    return {
      ...self,
      loads,
      telling,
      chooser,
      placement,
      overload,
      tickPhaseMs,
      itemsWaiting,
      startingItems: false,
      fullUntil: 0,
    };
  }

  private step(): void {
    this.deliver();
    this.arrive();
    for (const target of this.targets) this.admit(target);
    const waiting = this.waiting;
    this.waiting = [];
    for (const caller of waiting) void this.place(caller);
    for (const host of this.hosts) this.tick(host);
  }

  private deliver(): void {
    const mail = this.mail;
    this.mail = [];
    for (const deliver of mail) deliver();
  }

  private post(message: PlacementMessage, to: Host): void {
    const bytes = encodePlacement(message);
    this.outcome.messages++;
    const {coordinatorsLostAtMs = Infinity} = this.options;
    if (message.kind === 'ask' && this.now >= coordinatorsLostAtMs) return;
    this.mail.push(() => to.placement.hear(decodePlacement(bytes)!));
  }

  private arrive(): void {
    const {burstAtMs, burstRate, calmRate} = this.load;
    const rate = this.now >= burstAtMs ? burstRate : calmRate;
    let expected = (rate * STEP_MS) / 1000;
    for (; expected > 0; expected--) {
      if (this.random.float() >= expected) continue;
      this.outcome.requests++;
      const {now} = this;
      const host = this.anyHost();
      this.waiting.push({arrivedAt: now, cameAt: now, returning: false, host});
    }
    this.waiting.push(
      ...this.returning.filter(({cameAt}) => cameAt <= this.now),
    );
    this.returning = this.returning.filter(({cameAt}) => cameAt > this.now);
  }

  private anyHost(): Host {
    const {hosts, dataCentres, crowding = 1} = this.load;
    const place = this.random.float() * (dataCentres - 1 + crowding) - crowding;
    const dataCentre = place < 0 ? 0 : 1 + Math.floor(place);
    return this.hosts[dataCentre * hosts + this.random.int(hosts)]!;
  }

  private async place(caller: Caller): Promise<void> {
    const {goalMs} = this.load;
    const {host, returning, cameAt} = caller;
    const demand = {goalMs, priority: 0, returning};
    const target = await host.placement.forRequest(SERVICE, demand, NONE);
    if (target) this.send(host, target, caller);
    else if (this.now < cameAt + patienceMs(demand)) this.waiting.push(caller);
    else this.refuse(caller);
  }

  private refuse(caller: Caller): void {
    if (caller.returning) {
      this.outcome.failed++;
      return;
    }
    const leftMs = this.load.patienceMs - (this.now - caller.arrivedAt);
    const latestMs = leftMs * LATEST_RETURN_SHARE;
    const inMs = caller.host.overload.returnAfterMs(SERVICE, latestMs);
    const cameAt = this.now + inMs;
    const host = this.anyHost();
    this.returning.push({...caller, returning: true, cameAt, host});
  }

  private send(host: Host, target: Target, caller: Caller | undefined): void {
    const key = targetKey(target.id);
    const {online, batch} = host.loads.at(key);
    const foundFree = online + batch < target.slots;
    const load = host.loads.begin(key, caller ? 'online' : 'batch');
    const {runMs, itemMs} = this.load;
    const spread = 1 + SPREAD * (2 * this.random.float() - 1);
    this.runs.get(target.id)!.push({
      caller,
      load,
      host,
      runMs: (caller ? runMs : itemMs) * spread,
      sentAt: this.now,
      foundFree,
      startsAt: undefined,
    });
  }

  /** Ends what is done, and begins what has come first. */
  private admit(target: Target): void {
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
    const {cameAt, returning} = run.caller;
    if (this.now + firstByteMs - cameAt > goalMs) this.outcome.late++;
    else if (returning) this.outcome.inTimeOnReturn++;
    else this.outcome.inTime++;
  }

  private end(target: Target, run: Run): void {
    this.remove(target, run);
    const {firstByteMs} = this.load;
    if (!run.caller) {
      this.outcome.itemsDone++;
      run.host.itemsWaiting.push(this.now);
    }
    if (run.caller && run.foundFree) {
      const runMs = this.now - run.sentAt;
      const waitedMs = run.startsAt! - run.sentAt;
      const pace = {firstByteMs: waitedMs + firstByteMs, runMs};
      run.host.overload.ran(SERVICE, pace);
    }
  }

  private remove(target: Target, run: Run): void {
    run.load[Symbol.dispose]();
    const left = this.runs.get(target.id)!.filter(one => one !== run);
    this.runs.set(target.id, left);
  }

  private tick(host: Host): void {
    const sinceStart = this.now + host.tickPhaseMs;
    if (sinceStart % this.options.periodMs === 0) this.tell(host);
    if (sinceStart % TICK_MS !== 0) return;
    this.yieldItems(host);
    void this.startItems(host);
  }

  private async startItems(host: Host): Promise<void> {
    if (host.startingItems || this.now < host.fullUntil) return;
    host.startingItems = true;
    for (let started = 0; started < STARTS_PER_TICK; started++) {
      const next = host.itemsWaiting.findIndex(at => at <= this.now);
      if (next < 0) break;
      const {pressure} = this.load;
      const target = await host.placement.forItem(SERVICE, pressure);
      if (!target) {
        host.fullUntil = this.now + FULL_MS;
        break;
      }
      host.itemsWaiting.splice(next, 1);
      this.send(host, target, undefined);
    }
    host.startingItems = false;
  }

  private tell(host: Host): void {
    const peers = this.hosts.filter(one => one !== host);
    for (const {message, peers: to} of host.telling.due(peers)) {
      const bytes = encodeLoad(message);
      for (const peer of to) {
        this.mail.push(() => peer.telling.hear(decodeLoad(bytes)!));
        this.outcome.messages++;
        if (peer.dataCentre !== host.dataCentre)
          this.outcome.farBytes += bytes.length;
      }
    }
  }

  private yieldItems(host: Host): void {
    for (const target of this.targets) {
      const count = host.chooser.itemsToYield(target, host.id);
      if (count > 0) this.giveWay(host.id, target.id, count);
    }
  }

  private giveWay(hostId: string, targetId: string, count: number): void {
    const target = this.targets.find(({id}) => id === targetId)!;
    const items = this.runs
      .get(targetId)!
      .filter(({host, caller}) => host.id === hostId && !caller);
    for (const run of items.slice(-count)) {
      this.outcome.itemsCut++;
      run.host.itemsWaiting.push(this.now + ITEM_WAIT_MS);
      this.remove(target, run);
    }
  }
}
