/**
 * Decides which incarnation of its process a host runs, from heartbeats in any
 * order.
 *
 * The store may perform a heartbeat seconds after its process has given up on it
 * or has ended, and so after heartbeats of the next incarnation. After a loss of
 * all hosts, no host has seen the incarnations before, so that the order in
 * which heartbeats are seen tells nothing. What counts is the time at which an
 * incarnation started, by the store's clock, or that one names the other as the
 * one before it. Rows of builds that do not announce this are taken in the order
 * in which they are seen; an incarnation that is ignored by mistake counts again
 * once the other one has lost its lease.
 */
import {LRUCache} from 'lru-cache';
import type {Member} from './member.js';

/**
 * Maximum number of ended incarnations in memory: more than two days of
 * restarts in a fleet in which 490 hosts restart per day.
 */
const MAX_ENDED_INCARNATIONS = 1024;

/** What a heartbeat shows. */
export type HeartbeatMeaning =
  /** The host runs the same incarnation as before. */
  | {readonly kind: 'same'}
  /** The host runs another incarnation than was known, if any. */
  | {readonly kind: 'new'; readonly before: Member | undefined}
  /** The heartbeat came late: its incarnation has ended. */
  | {
      readonly kind: 'stale';
      readonly current: Member;
      /** Whether this was not known of the incarnation yet. */
      readonly isFirst: boolean;
    };

/** The current incarnation of each host. */
export class Incarnations {
  private readonly current = new Map<string, Member>();
  private readonly endedIds = new LRUCache<string, true>({
    max: MAX_ENDED_INCARNATIONS,
  });

  /**
   * @param member - Sender of a heartbeat.
   * @param currentIsLive - Returns whether the current incarnation of its host
   *     holds its lease; called only for another one.
   * @returns What the heartbeat shows.
   */
  record(member: Member, currentIsLive: () => boolean): HeartbeatMeaning {
    const current = this.current.get(member.host);
    if (current && current.id !== member.id) {
      if (!this.follows(member, current, currentIsLive)) {
        const isFirst = !this.endedIds.has(member.id);
        this.endedIds.set(member.id, true);
        return {kind: 'stale', current, isFirst};
      }
      this.endedIds.set(current.id, true);
    }
    this.endedIds.delete(member.id);
    if (member.replaces !== undefined) this.endedIds.set(member.replaces, true);
    this.current.set(member.host, member);
    return current?.id === member.id
      ? {kind: 'same'}
      : {kind: 'new', before: current};
  }

  /**
   * @param id - ID of an incarnation.
   * @returns Whether it is known to have ended; false for one that is not known,
   *     which may be the successor of the current one.
   */
  hasEnded(id: string): boolean {
    return this.endedIds.has(id);
  }

  /** @param host - Name of a host whose row has been removed. */
  remove(host: string): void {
    this.current.delete(host);
  }

  private follows(
    member: Member,
    current: Member,
    currentIsLive: () => boolean,
  ): boolean {
    const order = startOrder(member, current);
    if (order !== 0) return order > 0;
    return !this.endedIds.has(member.id) || !currentIsLive();
  }
}

/**
 * @param first - An incarnation of a host.
 * @param second - Another one of the same host.
 * @returns Positive if the first one started after the second one, negative if
 *     before it, 0 if they do not tell.
 */
export function startOrder(first: Member, second: Member): number {
  if (first.startedAtMs !== undefined && second.startedAtMs !== undefined)
    return first.startedAtMs - second.startedAtMs;
  if (first.replaces === second.id) return 1;
  return second.replaces === first.id ? -1 : 0;
}
