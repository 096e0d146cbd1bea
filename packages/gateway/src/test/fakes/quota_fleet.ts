/**
 * Plays a fleet in virtual time with the code that keeps quotas: hosts that ask each
 * other by datagrams, cuts between them, hosts that are lost and come, and accounts
 * that send as much as they are told to.
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
  type CountingHost,
} from '../../lib/process/account_quotas.js';
import {FakeClock} from './fake_clock.js';

/** What is played. */
export interface QuotaPlay {
  readonly hosts: number;
  readonly quotas: Readonly<Record<string, RequestQuota>>;
  readonly tolerance: QuotaTolerance;
  /** @returns Requests a second of an account at a moment. */
  readonly perSecond: (account: string, atMs: number) => number;
  /** @returns The host, by number, that a request of an account comes to. */
  readonly hostOf?: (account: string, atMs: number, random: Random) => number;
  readonly lengthMs: number;
  /** Called at each millisecond; changes the fleet. */
  readonly onTick?: (fleet: QuotaFleet, atMs: number) => void;
  readonly seed?: number;
  /** Decides in place of {@link AccountQuotas}, to compare ways. */
  readonly way?: QuotaWay;
}

/** Another way to keep quotas. */
export interface QuotaWay {
  /**
   * @param host - Its number.
   * @param account - Whose request came.
   * @param at - In milliseconds.
   * @param counted - Asks the host that counts.
   * @returns Whether it may run.
   */
  take(
    host: number,
    account: string,
    at: number,
    counted: () => Promise<boolean>,
  ): boolean | Promise<boolean>;
  /** Called at each millisecond. @returns Datagrams that were sent. */
  tick(fleet: QuotaFleet, at: number): number;
}

/** A request that was granted or refused. */
export interface PlayedRequest {
  readonly account: string;
  readonly host: number;
  readonly at: number;
  readonly granted: boolean;
}

/** One way between hosts, in milliseconds. */
const LATENCY_MS = 1;
const SECOND_MS = 1000;

interface PlayedHost {
  readonly address: CountingHost;
  quotas: AccountQuotas;
  alive: boolean;
  /** Hosts by number that it takes for live. */
  view: readonly number[];
}

/** The fleet while it is played. */
export class QuotaFleet {
  readonly requests: PlayedRequest[] = [];
  /** Datagrams that were sent. */
  messages = 0;
  /** Whether a datagram between two hosts arrives. */
  reaches: (from: number, to: number) => boolean = () => true;
  private readonly clock = new FakeClock();
  private readonly random: Random;
  private readonly hosts: PlayedHost[] = [];

  private constructor(private readonly play: QuotaPlay) {
    this.random = seededRandom(play.seed ?? 1);
    for (let i = 0; i < play.hosts; i++) this.addHost();
    this.setViews();
    for (const {quotas} of this.hosts) quotas.start();
  }

  /**
   * @param play - What is played.
   * @returns The fleet after it.
   */
  static async run(play: QuotaPlay): Promise<QuotaFleet> {
    const fleet = new QuotaFleet(play);
    await fleet.run();
    return fleet;
  }

  /** All live hosts know the live hosts from now on. */
  setViews(): void {
    const live = [...this.hosts.keys()].filter(i => this.hosts[i]!.alive);
    for (const host of this.hosts) host.view = live;
  }

  /** @param host - Is without power from now on; others do not know. */
  lose(host: number): void {
    this.hosts[host]!.alive = false;
  }

  /** @param host - Starts anew and knows nothing of what ran. */
  restart(host: number): void {
    const played = this.hosts[host]!;
    played.alive = true;
    played.quotas = this.newQuotas(host, played.address);
    played.quotas.start();
  }

  /** Adds a host, known to none but itself and those it is told. */
  addHost(): void {
    const i = this.hosts.length;
    const address = {id: `h${i}.1`, host: `h${i}`, ip: '127.0.0.1', port: i};
    const played = {
      address,
      quotas: this.newQuotas(i, address),
      alive: true,
      view: [i],
    };
    this.hosts.push(played);
  }

  /** @returns The most requests of an account in any span, granted. */
  mostInWindow(account: string, windowMs: number): number {
    const times = this.requests
      .filter(one => one.account === account && one.granted)
      .map(({at}) => at);
    let most = 0;
    let first = 0;
    for (let last = 0; last < times.length; last++) {
      while (times[last]! - times[first]! >= windowMs) first++;
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  /** @returns The share of an account's requests that was refused. */
  refusedShare(account: string): number {
    const own = this.requests.filter(one => one.account === account);
    const refused = own.filter(({granted}) => !granted).length;
    return own.length === 0 ? 0 : refused / own.length;
  }

  private newQuotas(i: number, self: CountingHost): AccountQuotas {
    return new AccountQuotas({
      self,
      clock: this.clock,
      random: this.random,
      log: NO_EVENT_LOG,
      counters: NO_COUNTERS,
      hosts: () => this.hosts[i]!.view.map(other => this.hosts[other]!.address),
      tolerance: () => this.play.tolerance,
      quotaOf: account => this.play.quotas[account],
      send: (message, to) => this.send(i, to.port, encodeQuota(message)),
    });
  }

  private send(from: number, to: number, datagram: Uint8Array): void {
    this.messages++;
    if (!this.hosts[from]!.alive || !this.reaches(from, to)) return;
    this.clock.after(LATENCY_MS, () => {
      const host = this.hosts[to]!;
      if (host.alive) host.quotas.hear(decodeQuota(datagram)!);
    });
  }

  private async run(): Promise<void> {
    const {lengthMs, quotas, onTick} = this.play;
    for (let at = 0; at < lengthMs; at++) {
      onTick?.(this, at);
      this.messages += this.play.way?.tick(this, at) ?? 0;
      for (const account of Object.keys(quotas)) this.arrive(account, at);
      this.clock.pass(1);
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  private arrive(account: string, at: number): void {
    const {perSecond, hostOf} = this.play;
    let expected = perSecond(account, at) / SECOND_MS;
    for (; expected > 0; expected--) {
      if (this.random.float() >= expected) continue;
      const host =
        hostOf?.(account, at, this.random) ??
        this.random.int(this.hosts.length);
      if (this.hosts[host]!.alive) void this.ask(account, host);
    }
  }

  private async ask(account: string, host: number): Promise<void> {
    const {quotas} = this.hosts[host]!;
    const counted = async () => {
      const verdict = await quotas.take(account, this.play.quotas[account]!);
      return verdict.kind === 'granted';
    };
    const now = this.clock.now();
    const {way} = this.play;
    const granted = await (way
      ? way.take(host, account, now, counted)
      : counted());
    this.requests.push({account, host, at: this.clock.now(), granted});
  }
}
