/** Hosts that place items on targets, with coordinators that reply at once. */
import {
  NO_COUNTERS,
  NO_EVENT_LOG,
  seededRandom,
  SYSTEM_CLOCK,
  type Clock,
} from '@oathead/core';
import {
  Coordinator,
  LoadTable,
  Placement,
  PreferredTargets,
  ReturnPromises,
  ServiceHealth,
  ServiceOverload,
  TargetChooser,
  TargetDirectory,
  targetKey,
  TargetSuspensions,
  type LoadPeer,
  type Route,
  type Target,
} from '@oathead/gateway';
import type {ItemCandidate} from '../../lib/process/item_candidate.js';
import type {Urgency} from '../../lib/process/item_durations.js';
import {ItemTargetSearch} from '../../lib/process/item_target_search.js';
import {ItemTimeline} from '../../lib/process/item_timeline.js';

/** Number of live hosts; with so many there are coordinators. */
const HOSTS = 30;
const SLOTS = 8;
/** The scheduling interval, in milliseconds. */
const INTERVAL_MS = 25;
const ROUTE = {
  name: 'r',
  services: [{service: 's', weight: 1}],
} as unknown as Route;

type HostPlacement = Placement<LoadPeer>;

/** @returns A target of the service. */
export function targetIn(dataCentre: string, name: string): Target {
  const id = `${dataCentre}-${name}`;
  return {
    id,
    serverId: id,
    startedAtMs: undefined,
    service: 's',
    softwareVersion: 'v1',
    address: '',
    dataCentre,
    slots: SLOTS,
    leaving: false,
  };
}

/** @returns An item that has waited since the fleet began. */
export function newCandidate(urgency: Urgency): ItemCandidate {
  return {
    job: {adoptedAtMs: 0},
    work: {failedTargets: [], timeline: new ItemTimeline()},
    estimate: {urgency, remainingMs: 1000},
    untilExpiryMs: 60_000,
  } as unknown as ItemCandidate;
}

/** Some hosts of a fleet of {@link HOSTS}. */
export class PlacingFleet {
  nowMs = 0;
  readonly asked: string[] = [];
  private readonly hosts = new Map<string, PlacingHost>();
  readonly clock: Clock = {
    ...SYSTEM_CLOCK,
    now: () => this.nowMs,
    // A timer of the system clock does not keep the test alive.
    after: (delayMs, callback) => {
      const timer = setTimeout(callback, delayMs);
      return {[Symbol.dispose]: () => clearTimeout(timer)};
    },
  };

  /**
   * @param targets - All targets.
   * @param coordinators - ID of the coordinator of each data centre.
   */
  constructor(
    readonly targets: readonly Target[],
    readonly coordinators: Readonly<Record<string, string>>,
  ) {}

  /** Adds a host. */
  add(id: string, dataCentre: string): PlacingHost {
    const host = new PlacingHost(this, {id, dataCentre});
    this.hosts.set(id, host);
    return host;
  }

  /** @returns The placement of a host; undefined if it is not in the fleet. */
  placementOf(id: string): HostPlacement | undefined {
    return this.hosts.get(id)?.placement;
  }

  /** @returns The coordinator of a data centre, apart from the host itself. */
  coordinatorOf(dataCentre: string, self: LoadPeer): LoadPeer | undefined {
    const id = this.coordinators[dataCentre];
    return id === undefined || id === self.id ? undefined : {id, dataCentre};
  }

  /** Reports the load of a target to some hosts. */
  fill(hosts: readonly PlacingHost[], id: string, online: number): void {
    for (const {loads} of hosts)
      loads.applyReport(
        `users of ${id}`,
        new Map([[targetKey(id), {online, batch: 0}]]),
      );
  }
}

/** One host with its view of the targets. */
export class PlacingHost {
  readonly loads: LoadTable;
  readonly directory: TargetDirectory;
  readonly suspensions: TargetSuspensions;
  readonly placement: HostPlacement;
  readonly search: ItemTargetSearch;

  constructor(
    private readonly fleet: PlacingFleet,
    readonly self: LoadPeer,
  ) {
    const {clock} = fleet;
    const {id, dataCentre} = self;
    const log = NO_EVENT_LOG;
    const counters = NO_COUNTERS;
    const random = seededRandom(1);
    const hosts = () => HOSTS;
    const now = () => clock.now();
    const directory = new TargetDirectory({clock, log});
    for (const target of fleet.targets) directory.put(target);
    const loads = new LoadTable(now);
    const suspensions = new TargetSuspensions(clock, log);
    const overload = new ServiceOverload({clock, random, directory, hosts});
    const chooser = new TargetChooser({
      dataCentre,
      directory,
      suspensions,
      health: new ServiceHealth(clock),
      overload,
      loads,
      preferredTargets: new PreferredTargets({self: id, dataCentre, hosts}),
      random,
    });
    const promises = new ReturnPromises({
      ...{clock, random, counters, loads, directory, overload},
      hostShare: () => 1,
      isCoordinator: () => fleet.coordinators[dataCentre] === id,
    });
    this.loads = loads;
    this.directory = directory;
    this.suspensions = suspensions;
    this.placement = new Placement<LoadPeer>({
      ...{self, clock, log, counters, chooser, directory},
      localCoordinator: new Coordinator({
        ...{self: id, dataCentre, chooser, loads, overload, promises, now},
      }),
      coordinator: () => fleet.coordinatorOf(dataCentre, self),
      coordinatorOf: name => fleet.coordinatorOf(name, self),
      peer: peer => ({id: peer, dataCentre: peer.split('-')[0]!}),
      send: (message, to) => {
        if (message.kind === 'ask') fleet.asked.push(to.id);
        fleet.placementOf(to.id)?.receive(message);
      },
      onPreempt: () => {},
    });
    const {placement} = this;
    this.search = new ItemTargetSearch({clock, chooser, placement, random});
  }

  /**
   * Searches for a target in each scheduling interval.
   *
   * @returns ID of the target and when it was found; undefined if none was
   *     until `untilMs`.
   */
  async findUntil(
    untilMs: number,
    candidate: ItemCandidate,
  ): Promise<{readonly id: string; readonly atMs: number} | undefined> {
    const {fleet, search} = this;
    for (; fleet.nowMs <= untilMs; fleet.nowMs += INTERVAL_MS) {
      if (search.isFull(ROUTE, candidate)) continue;
      const found = await search.search(ROUTE, candidate);
      const atMs = fleet.nowMs;
      if (found.kind === 'placed') return {id: found.target.id, atMs};
    }
    return undefined;
  }
}
