/**
 * Which targets a host fills with batch items first.
 *
 * Guards against hosts that all see the same free place and all take it: loads
 * are told some ten times a second at the most, and with many hosts less often,
 * so that each free place drew several items, most of which had to give way at
 * once. Each host has a few targets of its own choice, and each target a few
 * hosts, however many there are.
 */
import {rendezvous} from '@oathead/core';
import type {Target} from '../connection/target.js';

/** How many hosts fill a target: one that is lost or has no items to run leaves
 * others. */
const HOSTS_PER_TARGET = 8;
/** So many targets a host has at the least: a job of ten items finds room. */
const LEAST_TARGETS = 8;

/** What a {@link HomeTargets} needs. */
export interface HomeTargetsContext {
  /** This host. */
  readonly self: string;
  readonly dataCentre: string;
  /** @returns How many hosts are live, this one included. */
  readonly hosts: () => number;
}

interface Known {
  readonly hosts: number;
  readonly homes: readonly Target[];
}

/** Chooses a host's own targets among those of a service. */
export class HomeTargets {
  private readonly known = new WeakMap<readonly Target[], Known>();

  /** @param context - This host, and how many there are. */
  constructor(private readonly context: HomeTargetsContext) {}

  /**
   * @param targets - All targets of a service; the same list until it changes.
   * @returns Those that this host fills first, near ones before others.
   */
  among(targets: readonly Target[]): readonly Target[] {
    const hosts = this.context.hosts();
    const known = this.known.get(targets);
    if (known?.hosts === hosts) return known.homes;
    const homes = this.choose(targets, hosts);
    this.known.set(targets, {hosts, homes});
    return homes;
  }

  private choose(targets: readonly Target[], hosts: number): readonly Target[] {
    const share = Math.ceil((targets.length * HOSTS_PER_TARGET) / hosts);
    const count = Math.max(LEAST_TARGETS, share);
    if (count >= targets.length) return targets;
    const byId = new Map(targets.map(target => [target.id, target]));
    const order = rendezvous(this.context.self, [...byId.keys()]);
    const isNear = (id: string) =>
      byId.get(id)!.dataCentre === this.context.dataCentre;
    const near = order.filter(isNear);
    const far = order.filter(id => !isNear(id));
    return [...near, ...far].slice(0, count).map(id => byId.get(id)!);
  }
}
