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

interface CachedSelection {
  readonly hosts: number;
  readonly preferred: readonly Target[];
}

/** Selects and caches the preferred targets of a host. */
export class PreferredTargets {
  private readonly cache = new WeakMap<readonly Target[], CachedSelection>();

  /** @param context - This host and the number of live hosts. */
  constructor(private readonly context: PreferredTargetsContext) {}

  /**
   * @param targets - All targets of a service. The result is cached by array
   *     identity, so the same array must be passed until its content changes.
   * @returns The targets that this host fills first, local ones before remote
   *     ones.
   */
  select(targets: readonly Target[]): readonly Target[] {
    const hosts = this.context.hosts();
    const cached = this.cache.get(targets);
    if (cached?.hosts === hosts) return cached.preferred;
    const preferred = this.selectPreferred(targets, hosts);
    this.cache.set(targets, {hosts, preferred});
    return preferred;
  }

  private selectPreferred(
    targets: readonly Target[],
    hosts: number,
  ): readonly Target[] {
    const share = Math.ceil((targets.length * HOSTS_PER_TARGET) / hosts);
    const count = Math.max(MIN_PREFERRED_TARGETS, share);
    if (count >= targets.length) return targets;
    const byId = new Map(targets.map(target => [target.id, target]));
    const order = rendezvous(this.context.self, [...byId.keys()]);
    const isLocal = (id: string) =>
      byId.get(id)!.dataCentre === this.context.dataCentre;
    const local = order.filter(isLocal);
    const remote = order.filter(id => !isLocal(id));
    return [...local, ...remote].slice(0, count).map(id => byId.get(id)!);
  }
}
