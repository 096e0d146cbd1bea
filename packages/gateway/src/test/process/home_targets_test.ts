import test from 'ava';
import type {Target} from '../../lib/connection/target.js';
import {HomeTargets} from '../../lib/process/home_targets.js';
import {targetOf} from '../fakes/targets.js';

const DATA_CENTRES = ['a', 'b', 'c', 'd'];

function targetsOf(count: number): readonly Target[] {
  return [...Array(count).keys()].map(i =>
    targetOf(`target ${i}`, {
      dataCentre: DATA_CENTRES[i % DATA_CENTRES.length]!,
    }),
  );
}

function homesOf(
  hosts: number,
  targets: readonly Target[],
): ReadonlyArray<readonly Target[]> {
  return [...Array(hosts).keys()].map(i =>
    new HomeTargets({
      self: `host ${i}`,
      dataCentre: DATA_CENTRES[i % DATA_CENTRES.length]!,
      hosts: () => hosts,
    }).among(targets),
  );
}

// Items are cut again and again although targets have room: thirty hosts see the
// same free place, each takes it, and all but one give it back. However many
// hosts there are, few may fill one target, and no target may have none.
test('each target is filled by a few hosts', t => {
  for (const [hosts, count] of [
    [30, 29],
    [100, 100],
    [340, 3100],
  ] as const) {
    const homes = homesOf(hosts, targetsOf(count));
    const filled = new Map<string, number>();
    for (const {id} of homes.flat()) filled.set(id, (filled.get(id) ?? 0) + 1);
    t.true(filled.size > count * 0.9, `${filled.size} of ${count}`);
    t.true(Math.max(...filled.values()) <= 24, `${hosts} hosts`);
  }
});

test('a host’s own targets are near ones first', t => {
  const [homes] = homesOf(30, targetsOf(29));
  t.is(homes!.length, 8);
  t.true(homes!.slice(0, 7).every(({dataCentre}) => dataCentre === 'a'));
});

test('with few targets each host fills all of them', t => {
  const targets = targetsOf(4);
  t.deepEqual(homesOf(9, targets)[0], targets);
});

test('a list that changes is looked at anew', t => {
  let hosts = 30;
  const context = {self: 'h', dataCentre: 'a', hosts: () => hosts};
  const homes = new HomeTargets(context);
  const targets = targetsOf(29);
  t.is(homes.among(targets).length, 8);
  hosts = 20;
  t.is(homes.among(targets).length, 12);
});
