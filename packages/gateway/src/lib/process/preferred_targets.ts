/**
 * Selects the targets that a host fills with batch items first.
 *
 * Loads are reported about ten times a second at most, and less often with many
 * hosts. If every host considered all targets, all of them would see the same
 * free slot and send an item to it, and most of these items would be preempted
 * at once. Each host therefore prefers a few targets, and each target is
 * preferred by a few hosts, whatever the number of hosts.
 */
import {rendezvous} from '@oathead/core';
import type {Target} from '../connection/target.js';

/**
 * Number of hosts that prefer a target. If one of them fails or has no items to
 * run, others still fill the target.
 */
const HOSTS_PER_TARGET = 8;
/**
 * Minimum number of preferred targets of a host, so that a job of ten items
 * finds free slots.
 */
const MIN_PREFERRED_TARGETS = 8;

/** Dependencies of {@link PreferredTargets}. */
export interface PreferredTargetsContext {
  /** ID of this host. */
  readonly self: string;
  readonly dataCentre: string;
  /** @returns Number of live hosts, including this one. */
  readonly hosts: () => number;
}

interface CachedOrder {
  readonly hosts: number;
  /** Number of preferred targets. */
  readonly count: number;
  /** All targets; the preferred ones are the first usable ones. */
  readonly order: readonly Target[];
}

/** Tells whether a host can use a target now. */
export type IsUsable = (target: Target) => boolean;

/** Selects and caches the preferred targets of a host. */
export class PreferredTargets {
  private readonly cache = new WeakMap<readonly Target[], CachedOrder>();

  /** @param context - This host and the number of live hosts. */
  constructor(private readonly context: PreferredTargetsContext) {}

  /**
   * Targets that the host cannot use make room for the next ones. Guards
   * against items that wait beside free slots while their host cannot reach the
   * few targets that it prefers.
   *
   * @param targets - All targets of a service. Their order is cached by array
   *     identity, so the same array must be passed until its content changes.
   * @param isUsable - Whether this host can use a target now.
   * @returns The targets that this host fills first, local ones before remote
   *     ones.
   */
  select(
    targets: readonly Target[],
    isUsable: IsUsable = () => true,
  ): readonly Target[] {
    const {count, order} = this.cachedOrder(targets);
    const preferred: Target[] = [];
    for (const target of order) {
      if (preferred.length >= count) break;
      if (isUsable(target)) preferred.push(target);
    }
    return preferred;
  }

  private cachedOrder(targets: readonly Target[]): CachedOrder {
    const hosts = this.context.hosts();
    const cached = this.cache.get(targets);
    if (cached?.hosts === hosts) return cached;
    const computed = this.orderOf(targets, hosts);
    this.cache.set(targets, computed);
    return computed;
  }

  private orderOf(targets: readonly Target[], hosts: number): CachedOrder {
    const share = Math.ceil((targets.length * HOSTS_PER_TARGET) / hosts);
    const count = Math.max(MIN_PREFERRED_TARGETS, share);
    if (count >= targets.length) return {hosts, count, order: targets};
    const byId = new Map(targets.map(target => [target.id, target]));
    const order = rendezvous(this.context.self, [...byId.keys()]);
    const isLocal = (id: string) =>
      byId.get(id)!.dataCentre === this.context.dataCentre;
    const local = order.filter(isLocal);
    const remote = order.filter(id => !isLocal(id));
    const ordered = [...local, ...remote].map(id => byId.get(id)!);
    return {hosts, count, order: ordered};
  }
}
