/**
 * Enforces request quotas of client accounts across all hosts.
 *
 * Each account is counted by one host, its quota owner, which is chosen among
 * the live hosts by rendezvous hashing. Counting is thus exact without a store
 * and without broadcasts. If the owner does not reply, it gets no requests for
 * a while, and each host admits requests from a small reserve instead. While
 * the list of hosts changes, two hosts may consider themselves the owner; a
 * host that is not the owner by its own list grants nothing.
 */
import {
  QuotaReserve,
  rendezvous,
  repeat,
  type QuotaDemand,
  type QuotaVerdict,
  type Random,
  type RequestQuota,
} from '@oathead/core';
import type {HostAddress} from '../connection/host_socket.js';
import type {
  QuotaReply,
  QuotaRequest,
  QuotaMessage,
} from '../connection/quota_message.js';
import {QuotaAsker} from './quota_asker.js';
import {QuotaOwner, type QuotaOwnerContext} from './quota_owner.js';

/** A host that may own accounts. */
export interface QuotaHost extends HostAddress {
  /** ID of its process incarnation. */
  readonly id: string;
  /** Name of the host, which is the same after each restart. */
  readonly host: string;
  /** Whether it heeds the {@link AheadRecord}; false if omitted. */
  readonly readsAheadRecord?: boolean | undefined;
}

/** Return of a caller whose request was granted and did not run. */
export interface CallerReturn {
  /** In milliseconds from now. */
  readonly inMs: number;
  /** Tells the request apart from others of its account. */
  readonly key: number;
}

/** Dependencies of {@link AccountQuotas}. */
export interface AccountQuotasContext extends QuotaOwnerContext {
  readonly self: QuotaHost;
  readonly random: Random;
  /**
   * @returns The live hosts, including this one; undefined if they are not
   *     known yet.
   */
  readonly hosts: () => readonly QuotaHost[] | undefined;
  /**
   * @returns The quota of an account in this host's configuration; undefined if
   *     it has none.
   */
  readonly quotaOf: (account: string) => RequestQuota | undefined;
  readonly send: (message: QuotaMessage, to: HostAddress) => void;
}

/**
 * Interval at which the list of hosts is checked for changes, in milliseconds.
 */
const REFRESH_INTERVAL_MS = 250;
/**
 * Retry delay for callers whose account cannot be counted at present, in
 * milliseconds.
 */
const UNCOUNTED_RETRY_DELAY_MS = 1000;

interface AccountDemand {
  readonly account: string;
  readonly quota: RequestQuota;
  readonly demand: QuotaDemand;
}

const GRANTED: QuotaVerdict = {kind: 'granted'};

/**
 * Checks the quotas of this host's requests, and counts the accounts that this
 * host owns.
 */
export class AccountQuotas implements Disposable {
  private readonly owner: QuotaOwner;
  private readonly reserve: QuotaReserve;
  private readonly asker: QuotaAsker;
  /** Quota owner and reserve keeper by account. */
  private readonly ranked = new Map<string, readonly QuotaHost[]>();
  private hosts: readonly QuotaHost[] = [];
  private hostIds = '';
  private timer: Disposable | undefined;

  /** @param context - Hosts, quotas and the transport to other hosts. */
  constructor(private readonly context: AccountQuotasContext) {
    this.owner = new QuotaOwner(context.self.host, context);
    this.asker = new QuotaAsker(context.self.id, context);
    this.reserve = new QuotaReserve(context.random);
  }

  /** Starts to watch the list of hosts. */
  start(): void {
    this.refresh();
    this.timer = repeat(this.context.clock, REFRESH_INTERVAL_MS, () =>
      this.refresh(),
    );
  }

  /** Stops watching the list of hosts. */
  [Symbol.dispose](): void {
    this.timer?.[Symbol.dispose]();
  }

  /**
   * Consumes one request of an account's quota.
   *
   * @param account - Name of an account with a quota.
   * @param quota - Its quota.
   * @param demand - The request.
   * @returns Whether the request may run. Never rejects.
   */
  async take(
    account: string,
    quota: RequestQuota,
    demand: QuotaDemand = {},
  ): Promise<QuotaVerdict> {
    const owner = this.ownerOf(account);
    const {clock, self} = this.context;
    // The owner grants it no earlier.
    const grantedAt = clock.now();
    const verdict =
      owner?.host === self.host
        ? this.owner.take(account, quota, demand)
        : await this.requestOrReserve(owner, {account, quota, demand});
    this.countVerdict(verdict.kind);
    return verdict.kind === 'granted' ? {grantedAt, ...verdict} : verdict;
  }

  /**
   * Refunds a request that was granted and did not run.
   *
   * @param account - Name of the account.
   * @param grantedAt - Time of the grant as returned by {@link take}; undefined
   *     if unknown.
   * @param returning - When its caller returns, for which the quota is
   *     reserved; undefined if it does not return.
   */
  refund(account: string, grantedAt?: number, returning?: CallerReturn): void {
    const owner = this.ownerOf(account);
    if (!owner) return;
    const {clock, self, send} = this.context;
    const ageMs =
      grantedAt === undefined
        ? undefined
        : Math.max(0, Math.round(clock.now() - grantedAt));
    const refund = returning
      ? {ageMs, returnsInMs: Math.round(returning.inMs), key: returning.key}
      : {ageMs};
    if (owner.host === self.host) this.owner.refund(account, refund);
    else send({kind: 'give-back', account, ...refund}, owner);
  }

  /** @param message - A message from another host. */
  receive(message: QuotaMessage): void {
    switch (message.kind) {
      case 'ask':
        this.handleRequest(message);
        return;
      case 'answer':
        this.asker.receive(message);
        return;
      case 'give-back':
        this.owner.refund(message.account, message);
    }
  }

  private async requestOrReserve(
    owner: QuotaHost | undefined,
    {account, quota, demand}: AccountDemand,
  ): Promise<QuotaVerdict> {
    const answer = owner && (await this.asker.ask(owner, account, demand));
    if (answer?.verdict === 'granted') return GRANTED;
    if (answer?.verdict === 'over') {
      const {waitMs, reserved: isReserved = false} = answer;
      return {kind: 'over', waitMs, isReserved};
    }
    return this.takeFromReserve({account, quota, demand});
  }

  private async takeFromReserve(wanted: AccountDemand): Promise<QuotaVerdict> {
    const {maxWaitMs = UNCOUNTED_RETRY_DELAY_MS} = wanted.demand;
    const grantedAt = this.context.clock.now();
    const source = await this.reserveFor(wanted);
    this.countVerdict(source ?? 'no-reserve');
    if (source) return {kind: 'granted', grantedAt};
    // The owner may be reachable again by then.
    const waitMs = Math.min(maxWaitMs, UNCOUNTED_RETRY_DELAY_MS);
    return {kind: 'over', waitMs, isReserved: false};
  }

  /** @returns Where the request was granted; undefined if nowhere. */
  private async reserveFor({
    account,
    quota,
    demand,
  }: AccountDemand): Promise<'kept-reserve' | 'reserve' | undefined> {
    const {clock, self, tolerance} = this.context;
    const keeper = this.keeperOf(account);
    if (keeper?.host === self.host)
      return this.owner.takeReserve(account, quota)
        ? 'kept-reserve'
        : undefined;
    const answer =
      keeper && (await this.asker.ask(keeper, account, demand, true));
    if (answer?.verdict === 'granted') return 'kept-reserve';
    if (answer?.verdict === 'over' || this.hosts.length === 0) return undefined;
    const hosts = this.hosts.length;
    const part = 'outOfTouch';
    const reserve = {quota, tolerance: tolerance(), part, hosts} as const;
    return this.reserve.take(account, reserve, clock.now())
      ? 'reserve'
      : undefined;
  }

  private handleRequest(request: QuotaRequest): void {
    const {host, askId, account} = request;
    const {self, quotaOf, send} = this.context;
    const to = this.hosts.find(({id}) => id === host);
    // A sender that is not in the list yet times out and uses its reserve.
    if (!to) return;
    const reply = (verdict: QuotaReply['verdict'], waitMs = 0, reserved = {}) =>
      send({kind: 'answer', askId, verdict, waitMs, ...reserved}, to);
    const isReserve = request.reserve ?? false;
    const counts = isReserve ? this.keeperOf(account) : this.ownerOf(account);
    if (counts?.host !== self.host) return reply('elsewhere');
    const quota = quotaOf(account);
    // The configuration of the two hosts differs, and this one has no limit for
    // the account.
    if (!quota) return reply('granted');
    if (isReserve)
      return reply(this.owner.takeReserve(account, quota) ? 'granted' : 'over');
    const verdict = this.owner.take(account, quota, request);
    if (verdict.kind === 'granted') return reply('granted');
    const {waitMs, isReserved} = verdict;
    return reply('over', waitMs, isReserved ? {reserved: true} : {});
  }

  private ownerOf(account: string): QuotaHost | undefined {
    return this.rankedFor(account)[0];
  }

  private keeperOf(account: string): QuotaHost | undefined {
    return this.rankedFor(account)[1];
  }

  private rankedFor(account: string): readonly QuotaHost[] {
    const known = this.ranked.get(account);
    if (known) return known;
    const names = this.hosts.map(({host}) => host);
    const ranked = rendezvous(account, names)
      .slice(0, 2)
      .map(name => this.hosts.find(({host}) => host === name)!);
    this.ranked.set(account, ranked);
    return ranked;
  }

  private refresh(): void {
    const hosts = this.context.hosts() ?? [];
    const ids = hosts
      .map(({id}) => id)
      .sort()
      .join(' ');
    if (ids !== this.hostIds) {
      this.hostIds = ids;
      this.hosts = hosts;
      this.ranked.clear();
    }
    const {self} = this.context;
    this.owner.check(
      this.hosts,
      account => this.ownerOf(account)?.host === self.host,
    );
  }

  private countVerdict(outcome: string): void {
    this.context.counters.count('quota_verdicts', {outcome});
  }
}
