/**
 * Simulates a fleet in virtual time with the production code for quotas: hosts
 * that exchange datagrams, network partitions, hosts that crash, restart or
 * join, and accounts that send at given rates.
 */
import {
  NO_COUNTERS,
  NO_EVENT_LOG,
  rendezvous,
  seededRandom,
  sleep,
  type QuotaTolerance,
  type Random,
  type RequestQuota,
} from '@oathead/core';
import {MemoryRowStore} from '@oathead/stores';
import {decodeQuota, encodeQuota} from '../../lib/connection/quota_message.js';
import {
  AccountQuotas,
  type QuotaHost,
} from '../../lib/process/account_quotas.js';
import {
  StoredAheadRecord,
  type AheadRecord,
} from '../../lib/process/ahead_record.js';
import {HostClock, VirtualClock} from './host_clock.js';

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
  /**
   * Deadline of callers in milliseconds. They return after a refusal, if told
   * to within a third of the time that they have left; by default they do not.
   */
  readonly deadlineMs?: number;
  /** How long a granted request waits at most until it is sent, in ms. */
  readonly maxSendDelayMs?: number;
  /** Whether the store works at a given time; it does by default. */
  readonly isStoreUp?: (atMs: number) => boolean;
  /** Whether the last host is of a release that does not heed the record. */
  readonly hasOldHost?: boolean;
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

/** One attempt of a request, which was granted or refused. */
export interface SimulatedRequest {
  readonly account: string;
  readonly host: number;
  /** When it was refused or sent, in milliseconds. */
  readonly at: number;
  readonly granted: boolean;
  /** Number of earlier attempts of the same request. */
  readonly attempt: number;
  /** Whether it was refused and the caller does not return. */
  readonly isRefusedForGood: boolean;
}

/** Maximum number of attempts of one request. */
const MAX_ATTEMPTS = 4;
/** Duration of a call to the store, in milliseconds. */
const STORE_CALL_MS = 20;
/** One-way network latency between hosts, in milliseconds. */
const LATENCY_MS = 1;
const SECOND_MS = 1000;

interface SimulatedHost {
  readonly address: QuotaHost;
  readonly clock: HostClock;
  quotas: AccountQuotas;
  alive: boolean;
  /** Indices of the hosts that this host considers live. */
  view: readonly number[];
}

/**
 * @param account - Name of an account.
 * @param hosts - Number of hosts.
 * @returns Index of the host that counts the account if all hosts are live.
 */
export function ownerOf(account: string, hosts: number): number {
  const names = [...Array(hosts).keys()].map(i => `h${i}`);
  return names.indexOf(rendezvous(account, names)[0]!);
}

/** A simulated fleet and the requests that it handled. */
export class QuotaFleetSimulator {
  readonly requests: SimulatedRequest[] = [];
  /** Number of datagrams sent. */
  messages = 0;
  /** Number of calls to the store. */
  storeCalls = 0;
  /** Whether a datagram from one host reaches another. */
  isReachable: (from: number, to: number) => boolean = () => true;
  private readonly clock = new VirtualClock();
  private readonly store = new MemoryRowStore(this.clock);
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

  /** @param host - Host that other hosts consider live again. */
  setAlive(host: number): void {
    this.hosts[host]!.alive = true;
  }

  /** @param host - Host that stands still; what reaches it waits. */
  freeze(host: number): void {
    this.hosts[host]!.clock.deferred ??= [];
  }

  /** @param host - Frozen host that continues. */
  wake(host: number): void {
    const {clock} = this.hosts[host]!;
    const deferred = clock.deferred ?? [];
    clock.deferred = undefined;
    for (const run of deferred) run();
  }

  /** @param host - Host that restarts without any state. */
  restart(host: number): void {
    const restarted = this.hosts[host]!;
    restarted.alive = true;
    restarted.quotas = this.newQuotas(host, restarted);
    restarted.quotas.start();
  }

  /** Adds a host. The other hosts know it only after {@link updateViews}. */
  addHost(): void {
    const i = this.hosts.length;
    const isOld = this.scenario.hasOldHost && i === this.scenario.hosts - 1;
    const address = {
      id: `h${i}.1`,
      host: `h${i}`,
      ip: '127.0.0.1',
      port: i,
      readsAheadRecord: !isOld,
    };
    const clock = new HostClock(this.clock);
    const quotas = this.newQuotas(i, {address, clock});
    this.hosts.push({address, clock, quotas, alive: true, view: [i]});
  }

  /**
   * @param account - Name of the account.
   * @param windowMs - Length of the window, in milliseconds.
   * @returns The most requests of the account that were granted in any window.
   */
  maxGrantedInWindow(account: string, windowMs: number): number {
    const times = this.requests
      .filter(one => one.account === account && one.granted)
      .map(({at}) => at)
      .sort((a, b) => a - b);
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

  private newQuotas(
    i: number,
    {address: self, clock}: Pick<SimulatedHost, 'address' | 'clock'>,
  ): AccountQuotas {
    return new AccountQuotas({
      self,
      clock,
      random: this.random,
      log: NO_EVENT_LOG,
      counters: NO_COUNTERS,
      hosts: () => this.hosts[i]!.view.map(other => this.hosts[other]!.address),
      tolerance: () => this.scenario.tolerance,
      quotaOf: account => this.scenario.quotas[account],
      heardAt: () => clock.now(),
      aheadRecord: this.aheadRecord(),
      send: (message, to) => this.send(i, to.port, encodeQuota(message)),
    });
  }

  private aheadRecord(): AheadRecord {
    const stored = new StoredAheadRecord(this.store, NO_EVENT_LOG);
    const call = async <T>(run: () => Promise<T>, failed: T): Promise<T> => {
      this.storeCalls++;
      await sleep(this.clock, STORE_CALL_MS);
      const {isStoreUp = () => true} = this.scenario;
      return isStoreUp(this.clock.now()) ? run() : failed;
    };
    return {
      mark: account => call(() => stored.mark(account), 0),
      read: () => call(() => stored.read(), undefined),
    };
  }

  private send(from: number, to: number, datagram: Uint8Array): void {
    this.messages++;
    if (!this.hosts[from]!.alive || !this.isReachable(from, to)) return;
    this.clock.after(LATENCY_MS, () => {
      const host = this.hosts[to]!;
      const message = decodeQuota(datagram)!;
      host.clock.run(() => {
        if (host.alive) host.quotas.receive(message);
      });
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
      const {alive, clock} = this.hosts[host]!;
      if (alive) clock.run(() => void this.requestQuota(account, host));
    }
  }

  private async requestQuota(
    account: string,
    host: number,
    attempt = 0,
    leftMs = this.scenario.deadlineMs,
  ): Promise<void> {
    const {quotas} = this.hosts[host]!;
    const {clock} = this;
    const startedAt = clock.now();
    const maxWaitMs = leftMs === undefined ? undefined : leftMs / 3;
    const demand = {returning: attempt > 0, maxWaitMs};
    let waitMs = 0;
    const counted = async () => {
      const quota = this.scenario.quotas[account]!;
      const verdict = await quotas.take(account, quota, demand);
      if (verdict.kind === 'over') waitMs = verdict.waitMs;
      return verdict.kind === 'granted';
    };
    const {strategy, maxSendDelayMs = 0} = this.scenario;
    const granted = await (strategy
      ? strategy.take(host, account, startedAt, counted)
      : counted());
    const isRefusedForGood =
      !granted && (maxWaitMs === undefined || attempt + 1 === MAX_ATTEMPTS);
    const delayMs = granted ? this.random.float() * maxSendDelayMs : 0;
    const at = Math.max(clock.now(), startedAt + delayMs);
    const request = {account, host, at, granted, attempt, isRefusedForGood};
    this.requests.push(request);
    if (granted || isRefusedForGood || maxWaitMs === undefined) return;
    // Callers come back no later than this, whatever they are told.
    const backInMs = Math.min(waitMs, maxWaitMs);
    const left = leftMs! - (clock.now() - startedAt) - backInMs;
    await sleep(clock, backInMs);
    await this.requestQuota(account, host, attempt + 1, left);
  }
}
