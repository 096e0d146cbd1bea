/**
 * Simulates a fleet in virtual time with the production code for quotas: hosts
 * that exchange datagrams, network partitions, hosts that crash, restart or
 * join, and accounts that send at given rates.
 */
import {
  NO_COUNTERS,
  NO_EVENT_LOG,
  seededRandom,
  type QuotaTolerance,
  type Random,
  type RequestQuota,
} from '@oathead/core';
import {decodeQuota, encodeQuota} from '../../lib/connection/quota_message.js';
import {
  AccountQuotas,
  type QuotaHost,
} from '../../lib/process/account_quotas.js';
import {FakeClock} from './fake_clock.js';

/** A simulation scenario. */
export interface QuotaScenario {
  readonly hosts: number;
  readonly quotas: Readonly<Record<string, RequestQuota>>;
  readonly tolerance: QuotaTolerance;
  /** @returns Requests per second of an account at a given time. */
  readonly perSecond: (account: string, atMs: number) => number;
  /**
   * @returns Index of the host that receives a request of an account; a random
   *     host by default.
   */
  readonly hostOf?: (account: string, atMs: number, random: Random) => number;
  readonly lengthMs: number;
  /** Called every millisecond; may change the fleet. */
  readonly onTick?: (fleet: QuotaFleetSimulator, atMs: number) => void;
  readonly seed?: number;
  /** Decides instead of {@link AccountQuotas}, to compare strategies. */
  readonly strategy?: QuotaStrategy;
}

/** An alternative strategy to enforce quotas. */
export interface QuotaStrategy {
  /**
   * @param host - Index of the host that received the request.
   * @param account - The account of the request.
   * @param at - The current time, in milliseconds.
   * @param counted - Sends a quota request to the quota owner.
   * @returns Whether the request may run.
   */
  take(
    host: number,
    account: string,
    at: number,
    counted: () => Promise<boolean>,
  ): boolean | Promise<boolean>;
  /**
   * Called every millisecond.
   *
   * @returns Number of datagrams sent.
   */
  tick(fleet: QuotaFleetSimulator, at: number): number;
}

/** A request that was granted or refused. */
export interface SimulatedRequest {
  readonly account: string;
  readonly host: number;
  readonly at: number;
  readonly granted: boolean;
}

/** One-way network latency between hosts, in milliseconds. */
const LATENCY_MS = 1;
const SECOND_MS = 1000;

interface SimulatedHost {
  readonly address: QuotaHost;
  quotas: AccountQuotas;
  alive: boolean;
  /** Indices of the hosts that this host considers live. */
  view: readonly number[];
}

/** A simulated fleet and the requests that it handled. */
export class QuotaFleetSimulator {
  readonly requests: SimulatedRequest[] = [];
  /** Number of datagrams sent. */
  messages = 0;
  /** Whether a datagram from one host reaches another. */
  isReachable: (from: number, to: number) => boolean = () => true;
  private readonly clock = new FakeClock();
  private readonly random: Random;
  private readonly hosts: SimulatedHost[] = [];

  private constructor(private readonly scenario: QuotaScenario) {
    this.random = seededRandom(scenario.seed ?? 1);
    for (let i = 0; i < scenario.hosts; i++) this.addHost();
    this.updateViews();
    for (const {quotas} of this.hosts) quotas.start();
  }

  /**
   * @param scenario - The scenario to simulate.
   * @returns The fleet after the simulation.
   */
  static async run(scenario: QuotaScenario): Promise<QuotaFleetSimulator> {
    const fleet = new QuotaFleetSimulator(scenario);
    await fleet.run();
    return fleet;
  }

  /** Updates the host lists of all hosts to the hosts that are live now. */
  updateViews(): void {
    const live = [...this.hosts.keys()].filter(i => this.hosts[i]!.alive);
    for (const host of this.hosts) host.view = live;
  }

  /**
   * @param host - Host that crashes. The other hosts still consider it live.
   */
  crash(host: number): void {
    this.hosts[host]!.alive = false;
  }

  /** @param host - Host that restarts without any state. */
  restart(host: number): void {
    const restarted = this.hosts[host]!;
    restarted.alive = true;
    restarted.quotas = this.newQuotas(host, restarted.address);
    restarted.quotas.start();
  }

  /** Adds a host. The other hosts know it only after {@link updateViews}. */
  addHost(): void {
    const i = this.hosts.length;
    const address = {id: `h${i}.1`, host: `h${i}`, ip: '127.0.0.1', port: i};
    const added = {
      address,
      quotas: this.newQuotas(i, address),
      alive: true,
      view: [i],
    };
    this.hosts.push(added);
  }

  /**
   * @param account - Name of the account.
   * @param windowMs - Length of the window, in milliseconds.
   * @returns The most requests of the account that were granted in any window.
   */
  maxGrantedInWindow(account: string, windowMs: number): number {
    const times = this.requests
      .filter(one => one.account === account && one.granted)
      .map(({at}) => at);
    let max = 0;
    let first = 0;
    for (let last = 0; last < times.length; last++) {
      while (times[last]! - times[first]! >= windowMs) first++;
      max = Math.max(max, last - first + 1);
    }
    return max;
  }

  /**
   * @param account - Name of the account.
   * @returns The fraction of the account's requests that was refused.
   */
  refusedShare(account: string): number {
    const own = this.requests.filter(one => one.account === account);
    const refused = own.filter(({granted}) => !granted).length;
    return own.length === 0 ? 0 : refused / own.length;
  }

  private newQuotas(i: number, self: QuotaHost): AccountQuotas {
    return new AccountQuotas({
      self,
      clock: this.clock,
      random: this.random,
      log: NO_EVENT_LOG,
      counters: NO_COUNTERS,
      hosts: () => this.hosts[i]!.view.map(other => this.hosts[other]!.address),
      tolerance: () => this.scenario.tolerance,
      quotaOf: account => this.scenario.quotas[account],
      send: (message, to) => this.send(i, to.port, encodeQuota(message)),
    });
  }

  private send(from: number, to: number, datagram: Uint8Array): void {
    this.messages++;
    if (!this.hosts[from]!.alive || !this.isReachable(from, to)) return;
    this.clock.after(LATENCY_MS, () => {
      const host = this.hosts[to]!;
      if (host.alive) host.quotas.receive(decodeQuota(datagram)!);
    });
  }

  private async run(): Promise<void> {
    const {lengthMs, quotas, onTick} = this.scenario;
    for (let at = 0; at < lengthMs; at++) {
      onTick?.(this, at);
      this.messages += this.scenario.strategy?.tick(this, at) ?? 0;
      for (const account of Object.keys(quotas))
        this.generateArrivals(account, at);
      this.clock.advance(1);
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  private generateArrivals(account: string, at: number): void {
    const {perSecond, hostOf} = this.scenario;
    let expected = perSecond(account, at) / SECOND_MS;
    for (; expected > 0; expected--) {
      if (this.random.float() >= expected) continue;
      const host =
        hostOf?.(account, at, this.random) ??
        this.random.int(this.hosts.length);
      if (this.hosts[host]!.alive) void this.requestQuota(account, host);
    }
  }

  private async requestQuota(account: string, host: number): Promise<void> {
    const {quotas} = this.hosts[host]!;
    const counted = async () => {
      const verdict = await quotas.take(
        account,
        this.scenario.quotas[account]!,
      );
      return verdict.kind === 'granted';
    };
    const now = this.clock.now();
    const {strategy} = this.scenario;
    const granted = await (strategy
      ? strategy.take(host, account, now, counted)
      : counted());
    this.requests.push({account, host, at: this.clock.now(), granted});
  }
}
