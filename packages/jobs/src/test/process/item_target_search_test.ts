import {seededRandom, SYSTEM_CLOCK} from '@oathead/core';
import type {Route, Target} from '@oathead/gateway';
import test from 'ava';
import {
  ItemTargetSearch,
  type ItemSearchContext,
} from '../../lib/process/item_target_search.js';
import type {ItemCandidate} from '../../lib/process/item_candidate.js';
import type {Urgency} from '../../lib/process/item_durations.js';
import {newCandidate, PlacingFleet, targetIn} from '../fakes/placing_fleet.js';

const COORDINATORS = {a: 'a-lead', b: 'b-lead'};
const NEAR = [...Array(12).keys()].map(i => targetIn('a', `t${i}`));
const FAR = [targetIn('b', 'far')];

/** A host of data centre `a`, and the coordinators that are named. */
function newFleet(targets = [...NEAR, ...FAR], leads = ['a-lead', 'b-lead']) {
  const fleet = new PlacingFleet(targets, COORDINATORS);
  const host = fleet.add('a-host', 'a');
  const coordinators = leads.map(id => fleet.add(id, id.split('-')[0]!));
  return {fleet, host, all: [host, ...coordinators]};
}

// Items of a host lie beside free slots while it can't reach the few targets that
// it prefers.
test('targets that fail a host are not among those that it prefers', async t => {
  const {host} = newFleet(NEAR, []);
  const found = new Set<string>();
  for (;;) {
    const next = await host.findUntil(0, newCandidate('relaxed'));
    if (!next || found.has(next.id)) break;
    found.add(next.id);
    host.suspensions.recordFailure(next.id, 'ECONNREFUSED');
  }
  t.is(found.size, NEAR.length);
});

// Guards against hosts that fill the same free slots: a host that finds its
// targets full must not go to those of others.
test('targets that are full stay among those that a host prefers', async t => {
  const {host} = newFleet(NEAR, []);
  const found = new Set<string>();
  for (;;) {
    const next = await host.findUntil(0, newCandidate('relaxed'));
    if (!next || found.has(next.id)) break;
    found.add(next.id);
    host.suspensions.recordDecline(next.id);
  }
  t.is(found.size, 8);
});

// All items of a data centre lie beside free slots while its coordinator can't
// reach any target of their service.
test('a coordinator that all targets have failed still grants them', async t => {
  const {host, all} = newFleet(NEAR);
  const [, lead] = all;
  for (const {id} of NEAR) lead!.suspensions.recordFailure(id, 'reset');
  t.truthy(await host.findUntil(0, newCandidate('relaxed')));
  const failing = NEAR.slice(1);
  for (const {id} of failing) host.suspensions.recordFailure(id, 'reset');
  const found = await host.findUntil(0, newCandidate('relaxed'));
  t.is(found?.id, NEAR[0]!.id, 'not where the host that asks was failed');
});

// Items of a data centre lie beside free slots elsewhere if it has no target of
// their service.
test('an item starts at once where its data centre has no targets', async t => {
  const {host, fleet} = newFleet(FAR);
  const found = await host.findUntil(5000, newCandidate('relaxed'));
  t.is(found?.id, 'b-far');
  t.deepEqual(fleet.asked, ['b-lead']);
});

// Items go to a service that the operator has taken out of a split route, or half
// of them to one that should get a tenth.
test('items of a split route go to its services by weight', async t => {
  const asked: Record<string, number> = {old: 0, new: 0, off: 0};
  const placement = {
    usesPeerCoordinator: false,
    forItem: async (service: string) => {
      asked[service]!++;
      return {kind: 'placed'};
    },
  };
  const search = new ItemTargetSearch({
    ...{clock: SYSTEM_CLOCK, random: seededRandom(1), placement},
  } as unknown as ItemSearchContext);
  const services = [
    {service: 'old', weight: 9},
    {service: 'off', weight: 0},
    {service: 'new', weight: 1},
  ];
  const route = {name: 'r', services} as unknown as Route;
  for (let i = 0; i < 1000; i++)
    await search.search(route, newCandidate('relaxed'));
  t.is(asked['off'], 0);
  t.true(asked['new']! > 50 && asked['new']! < 200, JSON.stringify(asked));
});

/** A fleet of two software versions in which the first one has no free slot. */
function newDividedFleet() {
  const [first, second] = NEAR as [Target, Target];
  const {host, fleet} = newFleet(
    [first, {...second, softwareVersion: 'v2'}],
    [],
  );
  fleet.fill([host], first.id, first.slots);
  return {host, full: first.id, free: second.id};
}

function candidateWithText(urgency: Urgency): ItemCandidate {
  const candidate = newCandidate(urgency);
  const text = {texts: ['word1'], lastEventId: 1, softwareVersion: 'v1'};
  Object.assign(candidate.work, text);
  return candidate;
}

// Guards against items that lose their text at once, or that wait beside free
// slots for targets that can go on with it.
test('an item waits a second for a target that can go on with its text', async t => {
  const {host, free} = newDividedFleet();
  const relaxed = await host.findUntil(5000, candidateWithText('relaxed'));
  t.deepEqual(relaxed, {id: free, atMs: 1000});
});

test('an urgent item does not wait for a target that can go on with its text', async t => {
  const {host, free} = newDividedFleet();
  const pressed = await host.findUntil(5000, candidateWithText('pressed'));
  t.deepEqual(pressed, {id: free, atMs: 0});
});

// Guards against items that are held back by one that waits for its version.
test('a route without slots of one version has slots for other items', async t => {
  const {host, free} = newDividedFleet();
  t.is(await host.findUntil(0, candidateWithText('relaxed')), undefined);
  const other = await host.findUntil(100, newCandidate('relaxed'));
  t.deepEqual(other, {id: free, atMs: 25});
});

test('an item goes on at its software version while that has free slots', async t => {
  const {host, full, free} = newDividedFleet();
  const candidate = candidateWithText('relaxed');
  candidate.work.softwareVersion = 'v2';
  t.is((await host.findUntil(0, candidate))?.id, free);
  candidate.work.softwareVersion = 'gone';
  t.is((await host.findUntil(0, candidate))?.id, free);
  t.not(full, free);
});

// Guards against items that lie until their retention ends while their data centre
// is full and others have free slots.
for (const urgency of ['relaxed', 'late'] as const)
  test(`an item with the claim gets any free slot: ${urgency}`, async t => {
    const {fleet, host, all} = newFleet();
    for (const {id} of NEAR) fleet.fill(all, id, 8);
    const candidate = newCandidate(urgency);
    t.is(await host.findUntil(2000, candidate), undefined);
    const found = await host.findUntil(2500, {...candidate, hasClaim: true});
    t.is(found?.id, FAR[0]!.id);
  });

// Guards against the slots that are left free for online requests: only an item
// with the claim may take the last one.
test('an item with the claim gets the last free slot', async t => {
  const {fleet, host, all} = newFleet(NEAR);
  for (const {id} of NEAR) fleet.fill(all, id, 7);
  const candidate = newCandidate('late');
  t.is(await host.findUntil(500, candidate), undefined);
  t.truthy(await host.findUntil(1000, {...candidate, hasClaim: true}));
});
