/**
 * What a host tells others of requests in flight, when and whom, and what it takes
 * in of what they tell. It sends nothing itself.
 */
import {rendezvous, type Random} from '@oathead/core';
import {loadPlan, type LoadPlanOptions} from '../connection/load_pace.js';
import type {LoadMessage} from '../connection/load_message.js';
import type {HostLoad, LoadTable} from './load_table.js';

/** How often loads are told. */
export interface LoadTellingOptions extends LoadPlanOptions {
  /** How often the coordinator of a data centre tells those of the others the sum
   * of its own, in milliseconds. */
  readonly coordinatorRelayMs: number;
  /** How long a host stays silent while nothing changes, in milliseconds. */
  readonly quietMs: number;
}

/** 60 ms: an item that gives way is told within the time of three stream
 * events. 150 datagrams of some 150 bytes are 23 KB a second. A sum over a data
 * centre has an entry for each target in use, some hundred bytes to a kilobyte. */
export const DEFAULT_LOAD_TELLING: LoadTellingOptions = {
  periodMs: 60,
  maxDatagramsPerSecond: 150,
  directFarMs: 333,
  relayMs: 500,
  coordinatorRelayMs: 200,
  quietMs: 1000,
};

/** Beyond the hosts of any data centre. */
const MAX_FIRST_TURN = 10_000;

/** A host that tells loads, and hears them. */
export interface LoadPeer {
  /** The run of its process. */
  readonly id: string;
  readonly dataCentre: string;
}

/** A message, and who gets it. */
export interface LoadSending<P extends LoadPeer> {
  readonly message: LoadMessage;
  readonly peers: readonly P[];
}

/** Hosts that are told at the same times, and what they were told last. */
interface ToldGroup {
  sentAt: number;
  sentText: string;
}

/** Who coordinates a data centre. */
interface Elected<P> {
  /** The hosts among which it was elected. */
  readonly among: string;
  /** Undefined: this host. */
  readonly peer: P | undefined;
}

/** What a {@link LoadTelling} needs. */
export interface LoadTellingContext {
  readonly self: LoadPeer;
  readonly table: LoadTable;
  /** A steady clock, in milliseconds. */
  readonly now: () => number;
  /** Keeps hosts from telling the same others at the same times. */
  readonly random: Random;
}

/** Decides what is told, and takes in what is heard. */
export class LoadTelling<P extends LoadPeer> {
  private readonly heard = new Map<string, number>();
  private readonly near: ToldGroup = {sentAt: -Infinity, sentText: ''};
  private readonly far: ToldGroup = {sentAt: -Infinity, sentText: ''};
  private readonly lead: ToldGroup = {sentAt: -Infinity, sentText: ''};
  private readonly elected = new Map<string, Elected<P>>();
  private readonly startedAt: number;
  private relayed: boolean | undefined;
  private relayedAt: number;
  private coordinatorsToldAt = -Infinity;
  /** Whose turn it is in each other data centre. */
  private turn: number;
  private sequence = 0;

  /**
   * @param context - This host, and its loads.
   * @param options - How often it tells them.
   */
  constructor(
    private readonly context: LoadTellingContext,
    private readonly options: LoadTellingOptions,
  ) {
    const {now, random} = context;
    this.startedAt = now();
    this.relayedAt = this.startedAt + random.float() * options.relayMs;
    this.turn = random.int(MAX_FIRST_TURN);
  }

  /**
   * @param peers - The live hosts but this one.
   * @returns What is to be told now.
   */
  due(peers: readonly P[]): ReadonlyArray<LoadSending<P>> {
    const {table, self} = this.context;
    table.expire();
    const near = peers.filter(({dataCentre}) => dataCentre === self.dataCentre);
    const far = byDataCentre(peers, self.dataCentre);
    const farPeers = [...far.values()].flat();
    const plan = loadPlan(near.length, farPeers.length, far.size, this.options);
    this.setRelayed(plan.kind === 'relayed');
    const sendings = this.ownLoadTo(this.near, near, plan.nearMs);
    if (plan.kind === 'direct')
      return [...sendings, ...this.ownLoadTo(this.far, farPeers, plan.farMs)];
    this.elect(near, far);
    return [
      ...sendings,
      ...this.ownLoadToCoordinator(),
      ...this.sumTo(far, plan.relayMs),
      ...this.sumToCoordinators(far),
    ];
  }

  /**
   * The host that places the requests of this data centre, if it is another one. A
   * fleet that is small enough to tell loads to each has none.
   */
  get coordinator(): P | undefined {
    const {dataCentre} = this.context.self;
    return this.relayed ? this.elected.get(dataCentre)?.peer : undefined;
  }

  /**
   * @param dataCentre - Another one.
   * @returns Who places the requests there; undefined: nobody, or it is not known.
   */
  coordinatorOf(dataCentre: string): P | undefined {
    return this.relayed ? this.elected.get(dataCentre)?.peer : undefined;
  }

  /** @param message - What another host tells. */
  hear(message: LoadMessage): void {
    const {host, dataCentre, sequence, sumOf, load} = message;
    const {table, self} = this.context;
    if (sequence <= (this.heard.get(host) ?? 0)) return;
    this.heard.set(host, sequence);
    const isNear = dataCentre === self.dataCentre;
    // Guards against loads that count twice while hosts differ in how many they
    // know, and one tells its own load to all as another tells it in a sum.
    if (sumOf === 0) {
      if (isNear || !this.relayed) table.hear(host, load);
    } else if (!isNear && this.relayed) {
      table.hearDataCentre({dataCentre, hosts: sumOf, load});
    }
  }

  private setRelayed(relayed: boolean): void {
    if (this.relayed === relayed) return;
    this.relayed = relayed;
    this.context.table.forgetAll();
  }

  /** By what all hosts of a data centre know: its members. While they differ in
   * that, two coordinate, which costs nothing but their knowledge of each other. */
  private elect(
    near: readonly P[],
    far: ReadonlyMap<string, readonly P[]>,
  ): void {
    const {id, dataCentre} = this.context.self;
    this.electFor(dataCentre, [id], near);
    for (const [name, peers] of far) this.electFor(name, [], peers);
  }

  private electFor(
    dataCentre: string,
    self: readonly string[],
    peers: readonly P[],
  ): void {
    const ids = [...self, ...peers.map(({id}) => id)];
    const among = ids.join();
    if (this.elected.get(dataCentre)?.among === among) return;
    const [first] = rendezvous(dataCentre, ids);
    const peer = peers.find(({id}) => id === first);
    this.elected.set(dataCentre, {among, peer});
  }

  private ownLoadToCoordinator(): ReadonlyArray<LoadSending<P>> {
    const {coordinator} = this;
    if (!coordinator) return [];
    return this.ownLoadTo(this.lead, [coordinator], this.options.periodMs);
  }

  private sumToCoordinators(
    far: ReadonlyMap<string, readonly P[]>,
  ): ReadonlyArray<LoadSending<P>> {
    const {now} = this.context;
    const {coordinatorRelayMs} = this.options;
    const isDue = now() - this.coordinatorsToldAt >= coordinatorRelayMs;
    if (this.coordinator || !isDue || !this.knowsNeighbours) return [];
    this.coordinatorsToldAt = now();
    const elected = [...far.keys()].map(name => this.elected.get(name)?.peer);
    const peers = elected.filter(peer => peer !== undefined);
    return [this.sumFor(peers)];
  }

  private ownLoadTo(
    group: ToldGroup,
    peers: readonly P[],
    spacingMs: number,
  ): ReadonlyArray<LoadSending<P>> {
    const {periodMs, quietMs} = this.options;
    const {table, now} = this.context;
    const sinceSent = now() - group.sentAt;
    // Half a period less: timers fire late, and a tick must not be missed.
    if (peers.length === 0 || sinceSent < spacingMs - periodMs / 2) return [];
    const text = JSON.stringify([...table.ownLoad]);
    if (text === group.sentText && sinceSent < quietMs) return [];
    group.sentAt = now();
    group.sentText = text;
    return [{message: this.message(0, table.ownLoad), peers}];
  }

  /** Each time another host of a data centre, so that one that is lost on either
   * side leaves the others with what is a turn older. */
  private sumTo(
    far: ReadonlyMap<string, readonly P[]>,
    relayMs: number,
  ): ReadonlyArray<LoadSending<P>> {
    const {now} = this.context;
    const isDue = now() - this.relayedAt >= relayMs;
    if (!isDue || !this.knowsNeighbours) return [];
    this.relayedAt = now();
    this.turn++;
    const peers = [...far.values()].map(
      hosts => hosts[this.turn % hosts.length]!,
    );
    return [this.sumFor(peers)];
  }

  private sumFor(peers: readonly P[]): LoadSending<P> {
    const {table, self} = this.context;
    const {hosts, load} = table.sumOfHosts(self.dataCentre);
    return {message: this.message(hosts, load), peers};
  }

  /** Each neighbour tells its load once in this time, also if it does not change. */
  private get knowsNeighbours(): boolean {
    return this.context.now() - this.startedAt >= this.options.quietMs;
  }

  private message(sumOf: number, load: HostLoad): LoadMessage {
    const {id: host, dataCentre} = this.context.self;
    return {host, dataCentre, sequence: ++this.sequence, sumOf, load};
  }
}

function byDataCentre<P extends LoadPeer>(
  peers: readonly P[],
  own: string,
): ReadonlyMap<string, readonly P[]> {
  const groups = new Map<string, P[]>();
  for (const peer of peers) {
    if (peer.dataCentre === own) continue;
    const group = groups.get(peer.dataCentre);
    if (group) group.push(peer);
    else groups.set(peer.dataCentre, [peer]);
  }
  return groups;
}
