/** Writes the row by which other hosts know that this one is alive. */
import {DisposableStore, sleep, type Clock, type EventLog} from '@oathead/core';
import {encodeJson, type RowStore} from '@oathead/stores';
import {startOrder} from './incarnations.js';
import {MEMBER_TABLE, type Member} from './member.js';

/** Dependencies of a {@link HeartbeatSender}. */
export interface HeartbeatSenderContext {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly log: EventLog;
  /** @returns Whether this host knows the others. */
  readonly knowsHosts: () => boolean;
  /** @returns Interval between two heartbeats, in milliseconds. */
  readonly intervalMs: () => number;
}

/**
 * Number of heartbeats per interval while they fail. A live host must not lose
 * its lease because the store turns some of them away.
 */
const ATTEMPTS_PER_INTERVAL = 2;
/**
 * How long heartbeats name the incarnation before, after its row was last read,
 * in milliseconds. By then other hosts have taken over its jobs.
 */
const PREDECESSOR_NAMED_MS = 60_000;
/**
 * Interval at which a process that has just started looks whether it can
 * announce itself, in milliseconds.
 */
const START_POLL_INTERVAL_MS = 50;

/** The incarnation of this host before this one. */
interface Predecessor {
  readonly member: Member;
  /** Time at which its row was last read, on this host's monotonic clock. */
  readonly readAt: number;
}

/** Sends heartbeats of this host until disposed. */
export class HeartbeatSender implements Disposable {
  private readonly disposables = new DisposableStore();
  private isLeaving = false;
  private startedAtMs: number | undefined;
  private predecessor: Predecessor | undefined;

  /**
   * @param self - The process incarnation of this host.
   * @param context - The store, the clock, the log and the interval.
   */
  constructor(
    private readonly self: Member,
    private readonly context: HeartbeatSenderContext,
  ) {}

  /** Starts to send heartbeats. */
  start(): void {
    void this.sendHeartbeats();
  }

  /**
   * Tells other hosts that this one is shutting down, now and from now on.
   *
   * @returns Resolves when one attempt to tell them has ended.
   */
  async leave(): Promise<void> {
    this.isLeaving = true;
    await this.sendHeartbeat();
  }

  /** Stops sending heartbeats. */
  [Symbol.dispose](): void {
    this.disposables[Symbol.dispose]();
  }

  /**
   * Notes the incarnation before this one, which heartbeats name. While this
   * process is shutting down, another incarnation may be the one after it.
   *
   * @param member - Sender of a row.
   */
  notePredecessor(member: Member): void {
    const {id, host} = this.self;
    if (this.isLeaving || member.host !== host || member.id === id) return;
    const known = this.predecessor?.member;
    if (known && startOrder(member, known) < 0) return;
    this.predecessor = {member, readAt: this.context.clock.now()};
  }

  /** Sends one heartbeat at a time, so that they do not pile up. */
  private async sendHeartbeats(): Promise<void> {
    const {clock} = this.context;
    while (!this.disposables.disposed) {
      const startedAt = clock.now();
      const isSent = await this.sendHeartbeat();
      const leftMs = startedAt + this.pauseMs(isSent) - clock.now();
      if (leftMs > 0) await sleep(clock, leftMs);
    }
  }

  private pauseMs(isSent: boolean): number {
    if (this.startedAtMs === undefined) return START_POLL_INTERVAL_MS;
    return this.context.intervalMs() / (isSent ? 1 : ATTEMPTS_PER_INTERVAL);
  }

  private async sendHeartbeat(): Promise<boolean> {
    const {store, log} = this.context;
    this.startedAtMs ??= this.startTimeMs();
    if (this.startedAtMs === undefined) return false;
    const ref = {table: MEMBER_TABLE, partition: '', key: this.self.host};
    const value = encodeJson(this.announced(this.startedAtMs));
    const written = await store.transact({
      expect: [],
      puts: [{...ref, value}],
      removes: [],
    });
    if (!written.ok) log.event('heartbeat-failed', {reason: written.err.kind});
    return written.ok;
  }

  /**
   * Guards against a host that others wait for in vain: until it knows them, it
   * takes no job over, counts no quota and answers no placement request. It also
   * names the incarnation before it at once, whose row it has read by then.
   *
   * @returns The store's time in milliseconds; undefined if this host is not to
   *     announce itself yet.
   */
  private startTimeMs(): number | undefined {
    const {store, knowsHosts} = this.context;
    const storeTimeMs = knowsHosts() ? store.storeTimeMs() : undefined;
    return storeTimeMs === undefined ? undefined : Math.floor(storeTimeMs);
  }

  private announced(startedAtMs: number): Member {
    const replaces = this.predecessorId(startedAtMs);
    const member = {...this.self, startedAtMs, replaces};
    return this.isLeaving ? {...member, isLeaving: true} : member;
  }

  private predecessorId(startedAtMs: number): string | undefined {
    if (!this.predecessor) return undefined;
    const {member, readAt} = this.predecessor;
    const isOld = this.context.clock.now() - readAt > PREDECESSOR_NAMED_MS;
    const isLater = (member.startedAtMs ?? -Infinity) >= startedAtMs;
    return isOld || isLater ? undefined : member.id;
  }
}
