/**
 * Tracks which hosts of the system are alive. Each host keeps one row in the
 * store and rewrites it as a heartbeat; a host whose row has not changed for
 * the duration of a lease is considered dead. Time is the store's own monotonic
 * clock, as reported in its responses: host clocks may jump, and no host is
 * declared dead while the store does not respond.
 */
import type {Clock, EventLog} from '@oathead/core';
import {
  decodeJson,
  type RowStore,
  type TableUpdate,
  type VersionedRow,
} from '@oathead/stores';
import {HeartbeatSender} from './heartbeat_sender.js';
import {Incarnations, type HeartbeatMeaning} from './incarnations.js';
import {silentMsIn} from './lease_gap.js';
import {hostOfMember, MEMBER, type Member} from './member.js';
import {UnreadableRows} from './unreadable_rows.js';

/**
 * Maximum rate of heartbeat writes by all hosts together, per second: a tenth
 * of what the store can take. Beyond it, hosts send heartbeats less often.
 */
const MAX_HEARTBEATS_PER_SECOND = 80;
/** Minimum interval between two heartbeats, in milliseconds. */
const MIN_HEARTBEAT_INTERVAL_MS = 1000;
/** Duration of a lease, in heartbeat intervals. */
const HEARTBEATS_PER_LEASE = 3.5;
/**
 * A longer gap between two responses of the store may be an outage, in
 * milliseconds. Leases are extended by the part of it that does not count
 * against them.
 */
const OUTAGE_MS = 1500;
/**
 * A host that has not renewed its lease for longer counts no more as one that
 * sends heartbeats, in heartbeat intervals. One of them may have failed.
 */
const INTERVALS_WHILE_SENDING = 2;
/**
 * Number of gaps in a row by which a lease is extended in full although others
 * have renewed theirs. After an outage, the heartbeat of a host may get through
 * later than those of others.
 */
const MAX_GAPS_EXTENDED = 2;
const MS_PER_SECOND = 1000;

interface MemberRecord {
  readonly member: Member;
  readonly version: number;
  /** Store time of the response that delivered the row. */
  readonly renewedAt: number;
  /** Store time from which the lease counts. */
  updatedAt: number;
  /**
   * Number of gaps since its renewal in which others have renewed their leases.
   */
  gapsPassedOver: number;
}

/** Dependencies of {@link Membership}. */
export interface MembershipContext {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Maintains the row of this host and the set of live hosts. */
export class Membership implements Disposable {
  private readonly heartbeats: HeartbeatSender;
  private readonly members = new Map<string, MemberRecord>();
  private readonly expired = new Set<string>();
  private readonly incarnations = new Incarnations();
  private readonly unreadable: UnreadableRows;
  private storeTimeMs = 0;

  /**
   * @param self - The process incarnation of this host.
   * @param context - The store, the clock and the log.
   */
  constructor(
    readonly self: Member,
    private readonly context: MembershipContext,
  ) {
    this.unreadable = new UnreadableRows(context.log, 'member-unreadable');
    this.heartbeats = new HeartbeatSender(self, {
      ...context,
      knowsHosts: () => this.isInitialized,
      intervalMs: () => this.heartbeatIntervalMs(),
    });
  }

  /** Starts to send heartbeats. */
  start(): void {
    this.heartbeats.start();
  }

  /**
   * Tells other hosts that this one is shutting down. It keeps its lease.
   *
   * @returns Resolves when one attempt to tell them has ended.
   */
  leave(): Promise<void> {
    return this.heartbeats.leave();
  }

  /** Stops sending heartbeats. */
  [Symbol.dispose](): void {
    this.heartbeats[Symbol.dispose]();
  }

  /** @param update - Changes of the table of members. */
  update({put, removed, storeTimeMs}: TableUpdate): void {
    const gapMs = storeTimeMs - this.storeTimeMs;
    const isGap = gapMs > OUTAGE_MS;
    const before = isGap ? [...this.members.values()] : [];
    const sending = before.filter(record => this.isSending(record));
    // Before the first response, the leases of seeded hosts start with it.
    if (isGap) this.extendLeases(gapMs);
    this.storeTimeMs = Math.max(this.storeTimeMs, storeTimeMs);
    for (const row of put) this.applyRow(row);
    for (const row of removed) {
      this.members.delete(row.key);
      this.incarnations.remove(row.key);
    }
    if (isGap) this.countSilence(gapMs, before, sending);
  }

  /** Whether the list of hosts has been read at least once. */
  get isInitialized(): boolean {
    return this.storeTimeMs > 0;
  }

  /** @returns All live hosts, this one first. */
  live(): readonly Member[] {
    const others = [...this.members.values()].filter(
      ({member}) => member.host !== this.self.host,
    );
    const live = others.filter(record => this.isLive(record));
    return [this.self, ...live.map(({member}) => member)];
  }

  /** @returns All live hosts except this one. */
  peers(): readonly Member[] {
    return this.live().slice(1);
  }

  /**
   * @returns The incarnation with this ID; undefined if it is not alive or is
   *     this one.
   */
  peer(id: string): Member | undefined {
    const record = this.members.get(hostOfMember(id));
    const isMatch = record?.member.id === id && id !== this.self.id;
    return isMatch && this.isLive(record) ? record.member : undefined;
  }

  /**
   * @param id - ID of a process incarnation.
   * @returns Whether it holds its lease, as far as this host knows.
   */
  holdsLease(id: string): boolean {
    return this.live().some(member => member.id === id);
  }

  /**
   * @param id - ID of a process incarnation.
   * @returns Whether its host is known to run a later incarnation, which proves
   *     that it has ended.
   */
  isReplaced(id: string): boolean {
    const isOwn = hostOfMember(id) === this.self.host;
    return isOwn ? id !== this.self.id : this.incarnations.hasEnded(id);
  }

  /**
   * @param id - ID of a process incarnation.
   * @returns Whether this host has seen it alive and its lease has expired.
   */
  hasLapsed(id: string): boolean {
    const record = this.members.get(hostOfMember(id));
    return record?.member.id === id && !this.isLive(record);
  }

  private leaseMs(): number {
    return this.heartbeatIntervalMs() * HEARTBEATS_PER_LEASE;
  }

  private heartbeatIntervalMs(): number {
    const spreadMs =
      (this.members.size / MAX_HEARTBEATS_PER_SECOND) * MS_PER_SECOND;
    return Math.max(MIN_HEARTBEAT_INTERVAL_MS, spreadMs);
  }

  private isLive(record: MemberRecord): boolean {
    const silentMs = this.storeTimeMs - record.updatedAt;
    const live = silentMs <= this.leaseMs();
    const {id} = record.member;
    if (live) this.expired.delete(id);
    else if (!this.expired.has(id)) {
      this.expired.add(id);
      this.context.log.event('member-lapsed', {
        member: id,
        silentMs: Math.round(silentMs),
      });
    }
    return live;
  }

  private extendLeases(byMs: number): void {
    for (const record of this.members.values()) record.updatedAt += byMs;
  }

  private isSending({renewedAt}: MemberRecord): boolean {
    const silentMs = this.storeTimeMs - renewedAt;
    return silentMs <= this.heartbeatIntervalMs() * INTERVALS_WHILE_SENDING;
  }

  /**
   * Takes back a part of the extension from hosts that have not renewed their
   * leases in gaps in which others have.
   */
  private countSilence(
    gapMs: number,
    before: readonly MemberRecord[],
    sending: readonly MemberRecord[],
  ): void {
    const now = new Set(this.members.values());
    const renewed = sending.filter(record => !now.has(record)).length;
    if (renewed === 0) return;
    const silentMs = silentMsIn({
      gapMs,
      sending: sending.length,
      renewed,
      heartbeatIntervalMs: this.heartbeatIntervalMs(),
    });
    for (const record of before) {
      record.gapsPassedOver++;
      if (record.gapsPassedOver > MAX_GAPS_EXTENDED)
        record.updatedAt -= silentMs;
    }
  }

  private applyRow(row: VersionedRow): void {
    const decoded = decodeJson(row.value, MEMBER);
    if (!decoded.ok) {
      this.unreadable.report(row.key, decoded.err.message);
      return;
    }
    this.unreadable.recordReadable(row.key);
    const known = this.members.get(row.key);
    const member = stillLeaving(decoded.value, known?.member);
    this.heartbeats.notePredecessor(member);
    const isLive = () => known !== undefined && this.isLive(known);
    const meaning = this.incarnations.record(member, isLive);
    this.logMeaning(member, meaning);
    if (meaning.kind === 'stale') return;
    this.members.set(row.key, {
      member,
      version: row.version,
      renewedAt: this.storeTimeMs,
      updatedAt: this.storeTimeMs,
      gapsPassedOver: 0,
    });
  }

  private logMeaning(member: Member, meaning: HeartbeatMeaning): void {
    const {log} = this.context;
    const {id, startedAtMs} = member;
    if (meaning.kind === 'new') {
      const {before} = meaning;
      log.event('member-seen', {member: id, startedAtMs, before: before?.id});
    } else if (meaning.kind === 'stale' && meaning.isFirst) {
      const {current} = meaning;
      log.event('member-stale', {
        member: id,
        startedAtMs,
        current: current.id,
        currentStartedAtMs: current.startedAtMs,
      });
    }
  }
}

/**
 * Guards against a heartbeat that is performed late, from before its process
 * announced that it is leaving: it never stays after that.
 */
function stillLeaving(member: Member, known: Member | undefined): Member {
  const hasAnnounced = known?.id === member.id && known.isLeaving;
  return hasAnnounced ? {...member, isLeaving: true} : member;
}
