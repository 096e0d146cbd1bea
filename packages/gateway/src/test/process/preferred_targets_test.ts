import test from 'ava';
import type {Target} from '../../lib/connection/target.js';
import {PreferredTargets} from '../../lib/process/preferred_targets.js';
import {newTarget} from '../fakes/targets.js';

const DATA_CENTRES = ['a', 'b', 'c', 'd'];

function targetsOf(count: number): readonly Target[] {
  return [...Array(count).keys()].map(i =>
    newTarget(`target ${i}`, {
      dataCentre: DATA_CENTRES[i % DATA_CENTRES.length]!,
    }),
  );
}

function preferredOf(
  hosts: number,
  targets: readonly Target[],
): ReadonlyArray<readonly Target[]> {
  return [...Array(hosts).keys()].map(i =>
    new PreferredTargets({
      self: `host ${i}`,
      dataCentre: DATA_CENTRES[i % DATA_CENTRES.length]!,
      hosts: () => hosts,
    }).select(targets),
  );
}

// Batch items are preempted again and again although targets have free slots:
// thirty hosts see the same free slot, each takes it, and all but one of the
// items are preempted. Only a few hosts may fill one target whatever the number
// of hosts, and no target may have none.
test('each target is filled by a few hosts', t => {
  for (const [hosts, count] of [
    [30, 29],
    [100, 100],
    [340, 3100],
  ] as const) {
    const preferred = preferredOf(hosts, targetsOf(count));
    const filled = new Map<string, number>();
    for (const {id} of preferred.flat())
      filled.set(id, (filled.get(id) ?? 0) + 1);
    t.true(filled.size > count * 0.9, `${filled.size} of ${count}`);
    t.true(Math.max(...filled.values()) <= 24, `${hosts} hosts`);
  }
});

test('the preferred targets of a host are local ones first', t => {
  const [preferred] = preferredOf(30, targetsOf(29));
  t.is(preferred!.length, 8);
  t.true(preferred!.slice(0, 7).every(({dataCentre}) => dataCentre === 'a'));
});

test('with few targets each host prefers all of them', t => {
  const targets = targetsOf(4);
  t.deepEqual(preferredOf(9, targets)[0], targets);
});

test('a change in the number of hosts changes the preferred targets', t => {
  let hosts = 30;
  const context = {self: 'h', dataCentre: 'a', hosts: () => hosts};
  const selection = new PreferredTargets(context);
  const targets = targetsOf(29);
  t.is(selection.select(targets).length, 8);
  hosts = 20;
  t.is(selection.select(targets).length, 12);
});
