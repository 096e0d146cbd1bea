/**
 * Determines which hosts preempt how many batch items at an overloaded target.
 * All hosts derive the same order from the same loads, so that together they
 * preempt exactly the excess instead of each preempting all of it.
 */
import {rendezvous} from '@oathead/core';
import type {HostTargetLoad} from './load_table.js';

/** Batch items at a target, by holder. */
export interface ItemHolders {
  /** Data centre of this host. */
  readonly dataCentre: string;
  /**
   * Loads by host: hosts of this data centre, or all hosts if each reports its
   * own load.
   */
  readonly hosts: ReadonlyMap<string, HostTargetLoad>;
  /** Loads of other data centres, if they are reported as sums. */
  readonly dataCentres: ReadonlyMap<string, HostTargetLoad>;
}

/**
 * Classes of a host's items, in order of preemption. Nearly completed items are
 * preempted last, because preempting them wastes the most target time.
 */
const PREEMPTION_CLASSES: ReadonlyArray<(load: HostTargetLoad) => number> = [
  load => load.batch - nearlyDoneOf(load),
  nearlyDoneOf,
];

/**
 * Divides the preemptions among the holders. The order of data centres and of
 * the hosts in them differs by target. With one order for all targets, the
 * items of the same host are preempted first at all of 30 targets; with this
 * one, each of three hosts is first at some of them.
 *
 * @param targetId - ID of a target with too many requests in flight.
 * @param holders - Batch items at the target.
 * @param excess - Number of items to preempt.
 * @returns Number of items to preempt, by host; hosts without any are omitted.
 */
export function preemptionsByHost(
  targetId: string,
  holders: ItemHolders,
  excess: number,
): ReadonlyMap<string, number> {
  const order = orderHolders(targetId, holders);
  const preemptions = new Map<string, number>();
  let remaining = excess;
  for (const itemsOf of PREEMPTION_CLASSES) {
    for (const {host, load} of order) {
      const count = Math.min(itemsOf(load), remaining);
      remaining -= count;
      if (host !== undefined && count > 0)
        preemptions.set(host, (preemptions.get(host) ?? 0) + count);
    }
  }
  return preemptions;
}

interface Holder {
  /**
   * ID of the host; undefined for another data centre, which divides its share
   * among its own hosts.
   */
  readonly host: string | undefined;
  readonly load: HostTargetLoad;
}

/**
 * Orders the holders by data centre first. A data centre takes the same place
 * in the order whether a host knows its sum or its individual hosts.
 */
function orderHolders(
  targetId: string,
  {dataCentre, hosts, dataCentres}: ItemHolders,
): readonly Holder[] {
  const names = [...dataCentres.keys(), dataCentre];
  return rendezvous(targetId, names).flatMap((name): readonly Holder[] => {
    if (name !== dataCentre)
      return [{host: undefined, load: dataCentres.get(name)!}];
    const inOrder = rendezvous(targetId, [...hosts.keys()]);
    return inOrder.map(host => ({host, load: hosts.get(host)!}));
  });
}

/** Items may have ended since the nearly completed ones were counted. */
function nearlyDoneOf({batch, nearlyDone = 0}: HostTargetLoad): number {
  return Math.min(batch, nearlyDone);
}
