import test from 'ava';
import type {JudgedRequest} from '../../lib/request/run_evidence.js';
import {settlePromises, STEP_MS, SuspectFleet} from '../fakes/suspect_fleet.js';

const POISON: JudgedRequest = {
  fingerprint: 'poison',
  prompt: {service: 's', sharedParts: ['first']},
};
/** Longer than a failed write is put off, in milliseconds. */
const REPEATED_MS = 3000;

/** A fleet of hosts that have read nothing of one another yet. */
function newFleet(hosts: number): SuspectFleet {
  const fleet = new SuspectFleet();
  for (let i = 0; i < hosts; i++) fleet.add();
  return fleet;
}

/** @returns The targets that a host knows which starts now. */
async function targetsAtStart(fleet: SuspectFleet): Promise<readonly string[]> {
  const started = fleet.add();
  await started.readRows();
  const {targets = []} = started.records.get(POISON.fingerprint) ?? {};
  return [...targets].sort();
}

// Guards against a poison request that a host lets through which has started
// later: of crashes that hosts noticed at once, the store held the last one.
test('crashes that several hosts record at once are all in the store', async t => {
  const fleet = newFleet(4);
  for (const [i, host] of fleet.hosts.entries()) host.crash(POISON, `t${i}`);
  await settlePromises();
  t.deepEqual(await targetsAtStart(fleet), ['t0', 't1', 't2', 't3']);
});

// Guards against a poison request that other hosts let through, because the store
// did not take a crash when it was noticed.
test('a crash is recorded when the store answers again', async t => {
  const fleet = newFleet(2);
  fleet.isStoreUp = false;
  fleet.hosts[0]!.crash(POISON, 't0');
  await fleet.run(STEP_MS);
  t.true(fleet.logged.includes('suspects-unwritten'));
  fleet.isStoreUp = true;
  await fleet.run(REPEATED_MS);
  t.deepEqual(await targetsAtStart(fleet), ['t0']);
});

// Guards against a crash that is forgotten because an answer has cleared those
// before it, while its own write was on its way.
test('a crash outlasts the removal of those before it', async t => {
  const fleet = newFleet(2);
  const [first, second] = fleet.hosts;
  first!.crash(POISON, 't0');
  await fleet.run(STEP_MS);
  fleet.isStoreUp = false;
  second!.crash(POISON, 't1');
  await settlePromises();
  fleet.isStoreUp = true;
  first!.complete(POISON);
  await fleet.run(REPEATED_MS);
  t.deepEqual(await targetsAtStart(fleet), ['t1']);
  t.deepEqual(first!.records.get(POISON.fingerprint)?.targets, ['t1']);
});
