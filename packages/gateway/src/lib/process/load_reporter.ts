/**
 * Decides which load reports this host sends, when and to whom, and applies the
 * reports that it receives. A load report lists the requests in flight by
 * target. This module does no network I/O.
 */
import {rendezvous, type Random} from '@oathead/core';
import {
  planLoadReports,
  type LoadPlanOptions,
} from '../connection/load_intervals.js';
import type {LoadMessage} from '../connection/load_message.js';
import type {HostLoad, LoadTable} from './load_table.js';

/** Intervals of load reports. */
export interface LoadReportOptions extends LoadPlanOptions {
  /**
   * Interval at which the coordinator of a data centre sends the sum of its
   * data centre's loads to the coordinators of the others, in milliseconds.
   */
  readonly coordinatorRelayMs: number;
  /**
   * Maximum time between two reports while the load does not change, in
   * milliseconds.
   */
  readonly keepaliveMs: number;
}

/**
 * With a period of 60 ms, a preemption is reported within the time of three
 * stream events. 150 datagrams of about 150 bytes are 23 KB/s. The sum over a
 * data centre has one entry for each target in use, and takes from some hundred
 * bytes to one kilobyte.
 */
export const DEFAULT_LOAD_REPORT_OPTIONS: LoadReportOptions = {
  periodMs: 60,
  maxDatagramsPerSecond: 150,
  maxDirectRemoteMs: 333,
  relayMs: 500,
  coordinatorRelayMs: 200,
  keepaliveMs: 1000,
};

/** Exceeds the number of hosts of any data centre. */
const MAX_INITIAL_ROUND = 10_000;

/** A host that sends and receives load reports. */
export interface LoadPeer {
  /** ID of its process incarnation. */
  readonly id: string;
  readonly dataCentre: string;
}

/** A message and its recipients. */
export interface OutgoingLoadReport<P extends LoadPeer> {
  readonly message: LoadMessage;
  readonly peers: readonly P[];
}

/**
 * Hosts that receive reports at the same times, and the last report to them.
 */
interface RecipientGroup {
  lastSentAt: number;
  lastReport: string;
}

/** Result of the coordinator election in one data centre. */
interface ElectionResult<P> {
  /** IDs of the candidates, joined. */
  readonly candidates: string;
  /** The coordinator; undefined if it is this host. */
  readonly peer: P | undefined;
}

/** Dependencies of {@link LoadReporter}. */
export interface LoadReporterContext {
  readonly self: LoadPeer;
  readonly table: LoadTable;
  /** Returns the monotonic time, in milliseconds. */
  readonly now: () => number;
  /**
   * Staggers hosts, so that they do not report to the same hosts at the same
   * times.
   */
  readonly random: Random;
}

/** Schedules outgoing load reports and applies incoming ones. */
export class LoadReporter<P extends LoadPeer> {
  private readonly lastSequences = new Map<string, number>();
  private readonly localGroup: RecipientGroup = {
    lastSentAt: -Infinity,
    lastReport: '',
  };
  private readonly remoteGroup: RecipientGroup = {
    lastSentAt: -Infinity,
    lastReport: '',
  };
  private readonly coordinatorGroup: RecipientGroup = {
    lastSentAt: -Infinity,
    lastReport: '',
  };
  private readonly elections = new Map<string, ElectionResult<P>>();
  private readonly startedAt: number;
  private isRelayed: boolean | undefined;
  private sumSentAt: number;
  private coordinatorSumSentAt = -Infinity;
  /** Round-robin position for the recipients in the other data centres. */
  private round: number;
  private sequence = 0;

  /**
   * @param context - This host and its loads.
   * @param options - Report intervals.
   */
  constructor(
    private readonly context: LoadReporterContext,
    private readonly options: LoadReportOptions,
  ) {
    const {now, random} = context;
    this.startedAt = now();
    this.sumSentAt = this.startedAt + random.float() * options.relayMs;
    this.round = random.int(MAX_INITIAL_ROUND);
  }

  /**
   * Returns the reports that are due and marks them as sent. To be called once
   * per period.
   *
   * @param peers - All live hosts except this one.
   * @returns The messages to send now.
   */
  takeDueReports(peers: readonly P[]): ReadonlyArray<OutgoingLoadReport<P>> {
    const {table, self} = this.context;
    table.expire();
    const local = peers.filter(
      ({dataCentre}) => dataCentre === self.dataCentre,
    );
    const remote = byDataCentre(peers, self.dataCentre);
    const remotePeers = [...remote.values()].flat();
    const plan = planLoadReports(
      local.length,
      remotePeers.length,
      remote.size,
      this.options,
    );
    this.setRelayed(plan.kind === 'relayed');
    const reports = this.ownLoadReports(this.localGroup, local, plan.localMs);
    if (plan.kind === 'direct')
      return [
        ...reports,
        ...this.ownLoadReports(this.remoteGroup, remotePeers, plan.remoteMs),
      ];
    this.elect(local, remote);
    return [
      ...reports,
      ...this.ownLoadReportToCoordinator(),
      ...this.sumReports(remote, plan.relayMs),
      ...this.sumReportsToCoordinators(remote),
    ];
  }

  /** Whether one host of each data centre places its requests. */
  get hasCoordinators(): boolean {
    return this.isRelayed === true;
  }

  /**
   * The host that places the requests of this data centre; undefined if that is
   * this host. A fleet that is small enough to exchange all loads directly has
   * no coordinator.
   */
  get coordinator(): P | undefined {
    const {dataCentre} = this.context.self;
    return this.isRelayed ? this.elections.get(dataCentre)?.peer : undefined;
  }

  /** Whether this host places the requests of its data centre. */
  get isCoordinator(): boolean {
    const elected = this.elections.get(this.context.self.dataCentre);
    return !!this.isRelayed && !!elected && !elected.peer;
  }

  /**
   * @param dataCentre - Another data centre.
   * @returns The host that places requests there; undefined if there is none or
   *     it is not known.
   */
  coordinatorOf(dataCentre: string): P | undefined {
    return this.isRelayed ? this.elections.get(dataCentre)?.peer : undefined;
  }

  /**
   * Applies a report; ignores one that was overtaken by a later report.
   *
   * @param message - A report of another host.
   */
  receive(message: LoadMessage): void {
    const {host, dataCentre, sequence, sumOf, load} = message;
    const {table, self} = this.context;
    if (sequence <= (this.lastSequences.get(host) ?? 0)) return;
    this.lastSequences.set(host, sequence);
    const isLocal = dataCentre === self.dataCentre;
    // Prevents double counting while hosts disagree on the fleet size: one host
    // may report its own load to all while another includes it in a sum.
    if (sumOf === 0) {
      if (isLocal || !this.isRelayed) table.applyReport(host, load);
    } else if (!isLocal && this.isRelayed) {
      table.applyDataCentreSum({dataCentre, hosts: sumOf, load});
    }
  }

  private setRelayed(isRelayed: boolean): void {
    if (this.isRelayed === isRelayed) return;
    this.isRelayed = isRelayed;
    this.context.table.clearReports();
  }

  /**
   * Elects the coordinators by rendezvous hashing over the members of each data
   * centre. While hosts disagree on the membership there may be two
   * coordinators, each of which lacks the latest placements of the other;
   * nothing else is affected.
   */
  private elect(
    local: readonly P[],
    remote: ReadonlyMap<string, readonly P[]>,
  ): void {
    const {id, dataCentre} = this.context.self;
    this.electIn(dataCentre, [id], local);
    for (const [name, peers] of remote) this.electIn(name, [], peers);
  }

  private electIn(
    dataCentre: string,
    self: readonly string[],
    peers: readonly P[],
  ): void {
    const ids = [...self, ...peers.map(({id}) => id)];
    const candidates = ids.join();
    if (this.elections.get(dataCentre)?.candidates === candidates) return;
    const [first] = rendezvous(dataCentre, ids);
    const peer = peers.find(({id}) => id === first);
    this.elections.set(dataCentre, {candidates, peer});
  }

  private ownLoadReportToCoordinator(): ReadonlyArray<OutgoingLoadReport<P>> {
    const {coordinator} = this;
    if (!coordinator) return [];
    return this.ownLoadReports(
      this.coordinatorGroup,
      [coordinator],
      this.options.periodMs,
    );
  }

  private sumReportsToCoordinators(
    remote: ReadonlyMap<string, readonly P[]>,
  ): ReadonlyArray<OutgoingLoadReport<P>> {
    const {now} = this.context;
    const {coordinatorRelayMs} = this.options;
    const isDue = now() - this.coordinatorSumSentAt >= coordinatorRelayMs;
    if (this.coordinator || !isDue || !this.hasLocalReports) return [];
    this.coordinatorSumSentAt = now();
    const elected = [...remote.keys()].map(
      name => this.elections.get(name)?.peer,
    );
    const peers = elected.filter(peer => peer !== undefined);
    return [this.sumReport(peers)];
  }

  private ownLoadReports(
    group: RecipientGroup,
    peers: readonly P[],
    spacingMs: number,
  ): ReadonlyArray<OutgoingLoadReport<P>> {
    const {periodMs, keepaliveMs} = this.options;
    const {table, now} = this.context;
    const sinceSent = now() - group.lastSentAt;
    // Subtracts half a period because timers fire late and no tick may be
    // skipped.
    if (peers.length === 0 || sinceSent < spacingMs - periodMs / 2) return [];
    const report = JSON.stringify([...table.ownLoad]);
    if (report === group.lastReport && sinceSent < keepaliveMs) return [];
    group.lastSentAt = now();
    group.lastReport = report;
    return [{message: this.message(0, table.ownLoad), peers}];
  }

  /**
   * Sends the sum of this data centre's loads to a different host of each other
   * data centre in each round. If a host on either side fails, the remaining
   * hosts only see a sum that is one round older.
   */
  private sumReports(
    remote: ReadonlyMap<string, readonly P[]>,
    relayMs: number,
  ): ReadonlyArray<OutgoingLoadReport<P>> {
    const {now} = this.context;
    const isDue = now() - this.sumSentAt >= relayMs;
    if (!isDue || !this.hasLocalReports) return [];
    this.sumSentAt = now();
    this.round++;
    const peers = [...remote.values()].map(
      hosts => hosts[this.round % hosts.length]!,
    );
    return [this.sumReport(peers)];
  }

  private sumReport(peers: readonly P[]): OutgoingLoadReport<P> {
    const {table, self} = this.context;
    const {hosts, load} = table.dataCentreSum(self.dataCentre);
    return {message: this.message(hosts, load), peers};
  }

  /**
   * Whether every local host has had time to report its load. Each of them
   * reports at least once in this interval, even if its load does not change.
   */
  private get hasLocalReports(): boolean {
    return this.context.now() - this.startedAt >= this.options.keepaliveMs;
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
