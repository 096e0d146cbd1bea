/**
 * Whether a request is within its account's quota, which holds over all hosts.
 *
 * One host counts each account, chosen by rendezvous among the live ones, so that it
 * counts exactly without a store and without messages to all. Guards against a host
 * that can't be asked: it is not asked for a while, and meanwhile each host lets
 * through a small reserve. Guards against two hosts that count one account while the
 * list of hosts changes: who is not responsible by its own list grants nothing.
 */
import {
  QuotaKeeper,
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
  QuotaAnswer,
  QuotaAsk,
  QuotaMessage,
} from '../connection/quota_message.js';

/** A host that may count accounts. */
export interface CountingHost extends HostAddress {
  /** The run of its process. */
  readonly id: string;
  /** The host's name, the same after each start. */
  readonly host: string;
}

/** What {@link AccountQuotas} needs. */
export interface AccountQuotasContext {
  readonly self: CountingHost;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly counters: Counters;
  /** @returns The live hosts, this one included; undefined: not known yet. */
  readonly hosts: () => readonly CountingHost[] | undefined;
  readonly tolerance: () => QuotaTolerance;
  /** @returns The quota of an account in this host's configuration. */
  readonly quotaOf: (account: string) => RequestQuota | undefined;
  readonly send: (message: QuotaMessage, to: HostAddress) => void;
}

/** How long an answer is waited for, in milliseconds: several round trips between
 * data centres and the queue of a busy host. */
const ASK_TIMEOUT_MS = 60;
/** How often a question is sent: a datagram may be lost. */
const TRIES = 2;
/** For how long a host is not asked after it gave no answer, in milliseconds. */
const SILENT_MS = 500;
/** How often the list of hosts is looked at, in milliseconds. */
const REFRESH_MS = 250;
/** What a caller is told whose account can't be counted now, in milliseconds. */
const UNCOUNTED_WAIT_MS = 1000;

type Answer = (answer: QuotaAnswer | undefined) => void;

const GRANTED: QuotaVerdict = {kind: 'granted'};

/** Asks for this host's requests, and counts the accounts that are its own. */
export class AccountQuotas implements Disposable {
  private readonly keeper: QuotaKeeper;
  private readonly reserve: QuotaReserve;
  private readonly waiting = new Map<number, Answer>();
  /** Until when a host is taken for silent, by its name. */
  private readonly silentUntil = new Map<string, number>();
  private readonly owners = new Map<string, CountingHost>();
  private hosts: readonly CountingHost[] = [];
  private names = '';
  private askId = 0;
  private timer: Disposable | undefined;

  /** @param context - Hosts, quotas and the way to other hosts. */
  constructor(private readonly context: AccountQuotasContext) {
    this.keeper = new QuotaKeeper(context.tolerance, context.clock.now());
    this.reserve = new QuotaReserve(context.random);
  }

  /** Begins to follow the list of hosts. */
  start(): void {
    this.refresh();
    this.timer = repeat(this.context.clock, REFRESH_MS, () => this.refresh());
  }

  /** Stops following it. */
  [Symbol.dispose](): void {
    this.timer?.[Symbol.dispose]();
  }

  /**
   * @param account - An account with a quota.
   * @param quota - What it is allowed.
   * @returns Whether one more of its requests may run. Never rejects.
   */
  async take(account: string, quota: RequestQuota): Promise<QuotaVerdict> {
    const owner = this.ownerOf(account);
    const {clock, self} = this.context;
    const verdict =
      owner?.host === self.host
        ? this.keeper.take(account, quota, clock.now())
        : await this.askOrReserve(owner, account, quota);
    this.count(verdict.kind);
    return verdict;
  }

  /** @param account - One of its requests was granted and did not run. */
  giveBack(account: string): void {
    const owner = this.ownerOf(account);
    if (!owner) return;
    if (owner.host === this.context.self.host) this.keeper.giveBack(account);
    else this.context.send({kind: 'give-back', account}, owner);
  }

  /** @param message - What another host says. */
  hear(message: QuotaMessage): void {
    switch (message.kind) {
      case 'ask':
        this.answer(message);
        return;
      case 'answer':
        this.waiting.get(message.askId)?.(message);
        return;
      case 'give-back':
        this.keeper.giveBack(message.account);
    }
  }

  private async askOrReserve(
    owner: CountingHost | undefined,
    account: string,
    quota: RequestQuota,
  ): Promise<QuotaVerdict> {
    const answer = owner && (await this.ask(owner, account));
    if (answer?.verdict === 'granted') return GRANTED;
    if (answer?.verdict === 'over') {
      const {waitMs} = answer;
      return {kind: 'over', waitMs};
    }
    return this.fromReserve(account, quota);
  }

  private fromReserve(account: string, quota: RequestQuota): QuotaVerdict {
    const {clock, tolerance} = this.context;
    const hosts = Math.max(1, this.hosts.length);
    const view = {quota, tolerance: tolerance(), hosts};
    const may =
      this.hosts.length > 0 && this.reserve.take(account, view, clock.now());
    this.count(may ? 'reserve' : 'no-reserve');
    return may ? GRANTED : {kind: 'over', waitMs: UNCOUNTED_WAIT_MS};
  }

  private async ask(
    owner: CountingHost,
    account: string,
  ): Promise<QuotaAnswer | undefined> {
    const {clock, self, send} = this.context;
    if ((this.silentUntil.get(owner.host) ?? 0) > clock.now()) return undefined;
    for (let i = 0; i < TRIES; i++) {
      const askId = ++this.askId;
      const answered = this.answerTo(askId);
      send({kind: 'ask', host: self.id, askId, account}, owner);
      const answer = await answered;
      if (answer) return answer;
    }
    this.silent(owner);
    return undefined;
  }

  private silent({host}: CountingHost): void {
    const {clock, log} = this.context;
    const until = clock.now() + SILENT_MS;
    if ((this.silentUntil.get(host) ?? 0) <= clock.now())
      log.event('quota-host-silent', {silent: host, pauseMs: SILENT_MS});
    this.silentUntil.set(host, until);
  }

  private answerTo(askId: number): Promise<QuotaAnswer | undefined> {
    return new Promise(resolve => {
      const settle: Answer = answer => {
        this.waiting.delete(askId);
        timer[Symbol.dispose]();
        resolve(answer);
      };
      const timer = this.context.clock.after(ASK_TIMEOUT_MS, () =>
        settle(undefined),
      );
      this.waiting.set(askId, settle);
    });
  }

  private answer({host, askId, account}: QuotaAsk): void {
    const {clock, self, quotaOf, send} = this.context;
    const to = this.hosts.find(({id}) => id === host);
    // A host that is not known yet falls back to its reserve.
    if (!to) return;
    const reply = (verdict: QuotaAnswer['verdict'], waitMs = 0) =>
      send({kind: 'answer', askId, verdict, waitMs}, to);
    if (this.ownerOf(account)?.host !== self.host) return reply('elsewhere');
    const quota = quotaOf(account);
    // Its configuration is older than the other host's, or newer: no limit here.
    if (!quota) return reply('granted');
    const verdict = this.keeper.take(account, quota, clock.now());
    if (verdict.kind === 'granted') return reply('granted');
    return reply('over', verdict.waitMs);
  }

  private ownerOf(account: string): CountingHost | undefined {
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
    const names = hosts
      .map(({id}) => id)
      .sort()
      .join(' ');
    if (names === this.names) return;
    this.names = names;
    this.hosts = hosts;
    this.owners.clear();
    const {self, clock} = this.context;
    this.keeper.retain(
      name => this.ownerOf(name)?.host === self.host,
      clock.now(),
    );
  }

  private count(outcome: string): void {
    this.context.counters.count('quota_verdicts', {outcome});
  }
}
