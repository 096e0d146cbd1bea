import test from 'ava';
import type {HostTargetLoad} from '../../lib/process/load_table.js';
import {preemptionsByHost} from '../../lib/process/preemption_order.js';

const HOSTS = {a: ['a1', 'a2', 'a3'], b: ['b1', 'b2'], c: ['c1']} as const;
const ITEMS: HostTargetLoad = {online: 0, batch: 2, nearlyDone: 1};

function sumOver(hosts: readonly string[]): HostTargetLoad {
  const count = hosts.length;
  return {online: 0, batch: 2 * count, nearlyDone: count};
}

/**
 * Total number of items that all hosts preempt. Each host knows the other hosts
 * of its own data centre individually and the other data centres as sums.
 */
function totalPreempted(targetId: string, excess: number): number {
  const all = Object.entries(HOSTS).flatMap(([dataCentre, names]) => {
    const others = Object.entries(HOSTS).filter(([dc]) => dc !== dataCentre);
    const dataCentres = new Map(others.map(([dc, its]) => [dc, sumOver(its)]));
    const hosts = new Map(names.map(name => [name as string, ITEMS]));
    const holders = {dataCentre, hosts, dataCentres};
    return [...preemptionsByHost(targetId, holders, excess).values()];
  });
  return all.reduce((sum, count) => sum + count, 0);
}

// Online requests wait in a burst although items are preempted, or all items
// are preempted at once: hosts that know another data centre by its sum divide
// the excess differently from the hosts of that data centre.
test('hosts divide the excess alike whether they know hosts or sums', t => {
  for (const id of ['one', 'two', 'three', 'four'])
    for (const excess of [1, 2, 5, 7, 12])
      t.is(totalPreempted(id, excess), excess, `${id} ${excess}`);
});
