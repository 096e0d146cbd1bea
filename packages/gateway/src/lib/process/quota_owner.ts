/**
 * The part of a quota owner: counts the accounts that this host owns, and sees
 * to it that it knows enough to grant what their quotas allow.
 */
import {
  QuotaEnforcer,
  QuotaReserve,
  sleep,
  type Clock,
  type Counters,
  type EarlierGrants,
  type EventLog,
  type QuotaDemand,
  type QuotaNeed,
  type QuotaTolerance,
  type QuotaVerdict,
  type Random,
  type RequestQuota,
} from '@oathead/core';
import type {GrantRefund} from '../connection/quota_message.js';
import type {QuotaHost} from './account_quotas.js';
import type {AheadRecord} from './ahead_record.js';
import {OwnershipHistory} from './ownership_history.js';

/** Dependencies of a {@link QuotaOwner}. */
export interface QuotaOwnerContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly counters: Counters;
  readonly tolerance: () => QuotaTolerance;
  /**
   * @returns When another host was heard last, on the monotonic clock in
   *     milliseconds.
   */
  readonly heardAt: () => number;
  /**
   * Accounts ahead of an even pace; undefined if no host goes ahead of it.
   */
  readonly aheadRecord?: AheadRecord | undefined;
}

/** How long before its end a mark is renewed, in milliseconds. */
const RENEW_MS = 1000;
/**
 * Minimum pause between two calls to the record by all hosts together, in
 * milliseconds: a twentieth of the calls that the store can take.
 */
const MIN_CALL_INTERVAL_MS = 25;
/** Minimum pause between two calls of one host, in milliseconds. */
const MIN_HOST_CALL_INTERVAL_MS = 100;
/**
 * A host that has not checked the list of hosts for this long, in milliseconds,
 * was suspended. It is shorter than the time after which other hosts replace a
 * host that they do not hear of.
 */
const SUSPENDED_MS = 1500;

/**
 * A host that has heard none of the others for this long, in milliseconds, was
 * cut off from them. Hosts send their loads several times a second.
 */
const CUT_OFF_MS = 2000;

const NOT_AHEAD: EarlierGrants = {kind: 'even'};

/** Counts the accounts that this host owns. */
export class QuotaOwner {
  private readonly enforcer: QuotaEnforcer;
  private readonly keptReserve: QuotaReserve;
  private readonly history: OwnershipHistory;
  private hostCount = 1;
  private mayGoAhead = false;
  private checkedAt: readonly [number, number];
  private isCutOff = false;
  /** Kinds of calls to the record that are not to be made yet. */
  private readonly pausedCalls = new Set<QuotaNeed>();

  /**
   * @param self - Name of this host.
   * @param context - Clock, tolerance and the record.
   */
  constructor(
    self: string,
    private readonly context: QuotaOwnerContext,
  ) {
    const {clock, random, tolerance} = context;
    this.keptReserve = new QuotaReserve(random);
    this.history = new OwnershipHistory(self);
    this.enforcer = new QuotaEnforcer({
      tolerance,
      since: account => this.history.ownedSince(account),
    });
    this.checkedAt = [clock.now(), clock.wallTime()];
  }

  /**
   * Applies the current list of hosts. To be called often, also if the list has
   * not changed.
   *
   * @param hosts - The live hosts.
   * @param owns - Whether this host is the owner of an account by that list.
   */
  check(
    hosts: readonly Pick<QuotaHost, 'host' | 'readsAheadRecord'>[],
    owns: (account: string) => boolean,
  ): void {
    this.checkSuspension();
    this.checkCutOff();
    this.hostCount = hosts.length;
    // Any of them may be the next owner.
    this.mayGoAhead = hosts.every(({readsAheadRecord}) => readsAheadRecord);
    const names = hosts.map(({host}) => host);
    this.history.adopt(names, this.context.clock.now());
    this.enforcer.retain(owns);
  }

  /**
   * Consumes one request of the quota of an account that this host owns.
   *
   * @param account - Name of the account.
   * @param quota - Its quota.
   * @param demand - The request.
   * @returns The decision.
   */
  take(
    account: string,
    quota: RequestQuota,
    demand: QuotaDemand,
  ): QuotaVerdict {
    this.checkSuspension();
    this.checkCutOff();
    const now = this.context.clock.now();
    const verdict = this.enforcer.take(account, quota, demand, now);
    this.countLapsed();
    this.meetNeed(account, now);
    return verdict;
  }

  /**
   * Consumes one request of the reserve of an account whose quota owner another
   * host does not reach. A keeper of less than a window grants nothing: the one
   * before may have used up the reserve.
   *
   * @param account - Name of the account.
   * @param quota - Its quota.
   * @returns Whether the request may run.
   */
  takeReserve(account: string, quota: RequestQuota): boolean {
    this.checkSuspension();
    const now = this.context.clock.now();
    const tolerance = this.context.tolerance();
    const keptMs = now - this.history.heldSince(account, 2);
    if (keptMs < tolerance.windowMs) return false;
    const reserve = {quota, tolerance, part: 'keeper', hosts: 1} as const;
    return this.keptReserve.take(account, reserve, now);
  }

  /**
   * Refunds a request that did not run.
   *
   * @param account - Name of the account.
   * @param refund - Its grant, and when its caller returns.
   */
  refund(account: string, {ageMs, returnsInMs, key}: GrantRefund): void {
    const now = this.context.clock.now();
    const grantedAt = ageMs === undefined ? undefined : now - ageMs;
    const returning =
      returnsInMs === undefined ? undefined : {at: now + returnsInMs, key};
    this.enforcer.refund(account, grantedAt, returning);
  }

  /**
   * Detects that this host was suspended: others may have taken its place. The
   * monotonic clock may not count a suspension, the time of day does.
   */
  private checkSuspension(): void {
    const {clock} = this.context;
    const now = [clock.now(), clock.wallTime()] as const;
    const pauseMs = Math.max(...now.map((at, i) => at - this.checkedAt[i]!));
    if (pauseMs > SUSPENDED_MS) this.resume('suspended', pauseMs);
    this.checkedAt = now;
  }

  /**
   * Detects that this host was cut off from all others: they may have counted
   * its accounts meanwhile, though its own list of hosts has not changed.
   */
  private checkCutOff(): void {
    const {clock, heardAt} = this.context;
    const silentMs = this.hostCount > 1 ? clock.now() - heardAt() : 0;
    if (silentMs > CUT_OFF_MS) this.isCutOff = true;
    else if (this.isCutOff) {
      this.isCutOff = false;
      this.resume('cut-off', silentMs);
    }
  }

  /** Counts like a host that has just become the owner. */
  private resume(reason: 'suspended' | 'cut-off', pauseMs: number): void {
    const {clock, log, counters} = this.context;
    const now = clock.now();
    this.history.restart(now);
    this.enforcer.distrust(now);
    log.event('quota-owner-resumed', {reason, pauseMs: Math.round(pauseMs)});
    counters.count('quota_owner', {event: 'resumed'});
  }

  private meetNeed(account: string, now: number): void {
    const {aheadRecord, clock} = this.context;
    const need = this.enforcer.needOf(account, RENEW_MS, now);
    if (!need || this.pausedCalls.has(need)) return;
    if (need === 'ahead' && !this.mayGoAhead) return;
    if (!aheadRecord) {
      if (need === 'knowledge') this.enforcer.learn(() => NOT_AHEAD, now);
      return;
    }
    this.pausedCalls.add(need);
    const call =
      need === 'ahead'
        ? this.mark(aheadRecord, account)
        : this.readMarks(aheadRecord);
    const pauseMs = Math.max(
      MIN_HOST_CALL_INTERVAL_MS,
      MIN_CALL_INTERVAL_MS * this.hostCount,
    );
    void call
      .then(() => sleep(clock, pauseMs))
      .then(() => this.pausedCalls.delete(need));
  }

  private async mark(record: AheadRecord, account: string): Promise<void> {
    const {clock, counters, log} = this.context;
    const startedAt = clock.now();
    const forMs = await record.mark(account);
    counters.count('quota_owner', {event: forMs > 0 ? 'marked' : 'unmarked'});
    if (forMs === 0) return;
    log.event('quota-ahead', {account, forMs: Math.round(forMs)});
    this.enforcer.allowAhead(account, startedAt + forMs);
  }

  private async readMarks(record: AheadRecord): Promise<void> {
    const {clock, counters, log} = this.context;
    const startedAt = clock.now();
    const marks = await record.read();
    counters.count('quota_owner', {event: marks ? 'read' : 'unread'});
    if (!marks) return;
    const now = clock.now();
    this.enforcer.learn(account => {
      const leftMs = marks.get(account);
      if (leftMs === undefined) return NOT_AHEAD;
      log.event('quota-taken-over', {account, aheadMs: Math.round(leftMs)});
      return {kind: 'ahead', until: now + leftMs};
    }, startedAt);
  }

  private countLapsed(): void {
    const {counters} = this.context;
    const lapsed = this.enforcer.takeLapsed();
    if (lapsed > 0)
      counters.count('quota_promises', {outcome: 'lapsed'}, lapsed);
  }
}
