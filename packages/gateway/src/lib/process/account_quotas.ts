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
  QuotaEnforcer,
  QuotaReserve,
  rendezvous,
  repeat,
  type Clock,
  type Counters,
  type EventLog,
  type QuotaTolerance,
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

/** A host that may own accounts. */
export interface QuotaHost extends HostAddress {
  /** ID of its process incarnation. */
  readonly id: string;
  /** Name of the host, which is the same after each restart. */
  readonly host: string;
}

/** Dependencies of {@link AccountQuotas}. */
export interface AccountQuotasContext {
  readonly self: QuotaHost;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly counters: Counters;
  /**
   * @returns The live hosts, including this one; undefined if they are not
   *     known yet.
   */
  readonly hosts: () => readonly QuotaHost[] | undefined;
  readonly tolerance: () => QuotaTolerance;
  /**
   * @returns The quota of an account in this host's configuration; undefined if
   *     it has none.
   */
  readonly quotaOf: (account: string) => RequestQuota | undefined;
  readonly send: (message: QuotaMessage, to: HostAddress) => void;
}

/**
 * Timeout of a quota request, in milliseconds: several round trips between data
 * centres plus the queueing delay of a busy host.
 */
const REQUEST_TIMEOUT_MS = 60;
/**
 * Number of times that a quota request is sent, because datagrams may be lost.
 */
const MAX_SENDS = 2;
/** How long an unresponsive owner gets no requests, in milliseconds. */
const UNRESPONSIVE_PAUSE_MS = 500;
/**
 * Interval at which the list of hosts is checked for changes, in milliseconds.
 */
const REFRESH_INTERVAL_MS = 250;
/**
 * Retry delay for callers whose account cannot be counted at present, in
 * milliseconds.
 */
const UNCOUNTED_RETRY_DELAY_MS = 1000;

type AnswerHandler = (answer: QuotaReply | undefined) => void;

const GRANTED: QuotaVerdict = {kind: 'granted'};

/**
 * Checks the quotas of this host's requests, and counts the accounts that this
 * host owns.
 */
export class AccountQuotas implements Disposable {
  private readonly enforcer: QuotaEnforcer;
  private readonly reserve: QuotaReserve;
  private readonly pendingAnswers = new Map<number, AnswerHandler>();
  /** Time until which a host is considered unresponsive, by host name. */
  private readonly pausedUntil = new Map<string, number>();
  private readonly owners = new Map<string, QuotaHost>();
  private hosts: readonly QuotaHost[] = [];
  private hostIds = '';
  private askId = 0;
  private timer: Disposable | undefined;

  /** @param context - Hosts, quotas and the transport to other hosts. */
  constructor(private readonly context: AccountQuotasContext) {
    this.enforcer = new QuotaEnforcer(context.tolerance, context.clock.now());
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
   * @returns Whether the request may run. Never rejects.
   */
  async take(account: string, quota: RequestQuota): Promise<QuotaVerdict> {
    const owner = this.ownerOf(account);
    const {clock, self} = this.context;
    const verdict =
      owner?.host === self.host
        ? this.enforcer.take(account, quota, clock.now())
        : await this.requestOrReserve(owner, account, quota);
    this.countVerdict(verdict.kind);
    return verdict;
  }

  /**
   * Refunds a request that was granted and did not run.
   *
   * @param account - Name of the account.
   */
  refund(account: string): void {
    const owner = this.ownerOf(account);
    if (!owner) return;
    if (owner.host === this.context.self.host) this.enforcer.refund(account);
    else this.context.send({kind: 'give-back', account}, owner);
  }

  /** @param message - A message from another host. */
  receive(message: QuotaMessage): void {
    switch (message.kind) {
      case 'ask':
        this.handleRequest(message);
        return;
      case 'answer':
        this.pendingAnswers.get(message.askId)?.(message);
        return;
      case 'give-back':
        this.enforcer.refund(message.account);
    }
  }

  private async requestOrReserve(
    owner: QuotaHost | undefined,
    account: string,
    quota: RequestQuota,
  ): Promise<QuotaVerdict> {
    const answer = owner && (await this.requestVerdict(owner, account));
    if (answer?.verdict === 'granted') return GRANTED;
    if (answer?.verdict === 'over') {
      const {waitMs} = answer;
      return {kind: 'over', waitMs};
    }
    return this.takeFromReserve(account, quota);
  }

  private takeFromReserve(account: string, quota: RequestQuota): QuotaVerdict {
    const {clock, tolerance} = this.context;
    const hosts = Math.max(1, this.hosts.length);
    const view = {quota, tolerance: tolerance(), hosts};
    const isGranted =
      this.hosts.length > 0 && this.reserve.take(account, view, clock.now());
    this.countVerdict(isGranted ? 'reserve' : 'no-reserve');
    return isGranted
      ? GRANTED
      : {kind: 'over', waitMs: UNCOUNTED_RETRY_DELAY_MS};
  }

  private async requestVerdict(
    owner: QuotaHost,
    account: string,
  ): Promise<QuotaReply | undefined> {
    const {clock, self, send} = this.context;
    if ((this.pausedUntil.get(owner.host) ?? 0) > clock.now()) return undefined;
    for (let i = 0; i < MAX_SENDS; i++) {
      const askId = ++this.askId;
      const answered = this.awaitAnswer(askId);
      send({kind: 'ask', host: self.id, askId, account}, owner);
      const answer = await answered;
      if (answer) return answer;
    }
    this.pauseOwner(owner);
    return undefined;
  }

  private pauseOwner({host}: QuotaHost): void {
    const {clock, log} = this.context;
    const until = clock.now() + UNRESPONSIVE_PAUSE_MS;
    if ((this.pausedUntil.get(host) ?? 0) <= clock.now())
      log.event('quota-host-silent', {
        silent: host,
        pauseMs: UNRESPONSIVE_PAUSE_MS,
      });
    this.pausedUntil.set(host, until);
  }

  private awaitAnswer(askId: number): Promise<QuotaReply | undefined> {
    return new Promise(resolve => {
      const settle: AnswerHandler = answer => {
        this.pendingAnswers.delete(askId);
        timer[Symbol.dispose]();
        resolve(answer);
      };
      const timer = this.context.clock.after(REQUEST_TIMEOUT_MS, () =>
        settle(undefined),
      );
      this.pendingAnswers.set(askId, settle);
    });
  }

  private handleRequest({host, askId, account}: QuotaRequest): void {
    const {clock, self, quotaOf, send} = this.context;
    const to = this.hosts.find(({id}) => id === host);
    // A sender that is not in the list yet times out and uses its reserve.
    if (!to) return;
    const reply = (verdict: QuotaReply['verdict'], waitMs = 0) =>
      send({kind: 'answer', askId, verdict, waitMs}, to);
    if (this.ownerOf(account)?.host !== self.host) return reply('elsewhere');
    const quota = quotaOf(account);
    // The configuration of the two hosts differs, and this one has no limit for
    // the account.
    if (!quota) return reply('granted');
    const verdict = this.enforcer.take(account, quota, clock.now());
    if (verdict.kind === 'granted') return reply('granted');
    return reply('over', verdict.waitMs);
  }

  private ownerOf(account: string): QuotaHost | undefined {
    const known = this.owners.get(account);
    if (known) return known;
    const names = this.hosts.map(({host}) => host);
    const [first] = rendezvous(account, names);
    const owner = this.hosts.find(({host}) => host === first);
    if (owner) this.owners.set(account, owner);
    return owner;
  }

  private refresh(): void {
    const hosts = this.context.hosts() ?? [];
    const ids = hosts
      .map(({id}) => id)
      .sort()
      .join(' ');
    if (ids === this.hostIds) return;
    this.hostIds = ids;
    this.hosts = hosts;
    this.owners.clear();
    const {self, clock} = this.context;
    this.enforcer.retain(
      name => this.ownerOf(name)?.host === self.host,
      clock.now(),
    );
  }

  private countVerdict(outcome: string): void {
    this.context.counters.count('quota_verdicts', {outcome});
  }
}
