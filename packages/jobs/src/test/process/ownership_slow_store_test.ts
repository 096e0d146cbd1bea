/** Jobs do not wait for others whose calls to the store get no response. */
import {failure, sleep, success} from '@oathead/core';
import {MemoryRowStore, type RowTransaction} from '@oathead/stores';
import test from 'ava';
import type {JobReader} from '../../lib/request/job_reader.js';
import {
  EMPTY_READER,
  OPEN_JOB,
  OwnershipFleet,
} from '../fakes/ownership_fleet.js';
import {VirtualClock} from '../fakes/virtual_clock.js';

const SLOW_JOBS = 40;
/** A call without a response, directly and through another host. */
const CALL_MS = 2100;
/** Time until all slow jobs have been tried once, four at a time. */
const ROUND_MS = (SLOW_JOBS / 4) * CALL_MS + CALL_MS;
const SWEEP_MS = 500;

/** A store that gives no response to claims of slow jobs. */
class SlowStore extends MemoryRowStore {
  fleet: OwnershipFleet | undefined;

  override async transact(transaction: RowTransaction) {
    const isSlow = transaction.expect.some(({key}) => key.startsWith('slow'));
    if (!isSlow) return super.transact(transaction);
    await sleep(this.fleet!.clock, CALL_MS);
    return failure({kind: 'unknown', message: 'no response'} as const);
  }
}

async function fleetWithSlowJobs() {
  const store = new SlowStore(new VirtualClock());
  const fleet = new OwnershipFleet(store);
  store.fleet = fleet;
  for (let i = 0; i < SLOW_JOBS; i++)
    await fleet.write({...OPEN_JOB, id: `slow-${i}`});
  return fleet;
}

// Guards against a job of a lost host that waits until all others have been
// tried again, while their claims get no response.
test('a job does not wait for claims that are repeated', async t => {
  using fleet = await fleetWithSlowJobs();
  const host = fleet.add('a');
  await fleet.advance(ROUND_MS);
  await fleet.write({...OPEN_JOB, id: 'quick'});
  await fleet.advance(2 * SWEEP_MS + CALL_MS);
  t.deepEqual(host.jobs, ['quick']);
});

// Guards against a host's own job that rests since it could not be read at
// first and then waits for the claims of other jobs.
test("a host's own job does not wait for claims", async t => {
  using fleet = await fleetWithSlowJobs();
  let failed = 0;
  const items = async () => {
    if (failed++ === 0) return failure({kind: 'unsure', reason: 'x'} as const);
    return success([]);
  };
  const reader = {...EMPTY_READER, items} as unknown as JobReader;
  const host = fleet.add('a', {reader});
  await fleet.advance(CALL_MS);
  await fleet.write({...OPEN_JOB, id: 'own', owner: 'a'});
  await fleet.advance(3 * SWEEP_MS);
  t.deepEqual(host.jobs, ['own']);
});

// Guards against a store that is kept busy by the claims of one host.
test('at most four jobs are claimed at a time', async t => {
  using fleet = await fleetWithSlowJobs();
  const host = fleet.add('a');
  await fleet.advance(SWEEP_MS + ROUND_MS);
  const claims = host.lines('job-claimed');
  t.true(claims.length <= SLOW_JOBS + 4);
  t.is(new Set(claims.map(({job}) => job)).size, SLOW_JOBS);
});

// Guards against jobs that a host claims while it shuts down.
test('a host that stops claims nothing more', async t => {
  using fleet = await fleetWithSlowJobs();
  const host = fleet.add('a');
  await fleet.advance(2 * SWEEP_MS);
  await host.ownership.handOverAll();
  await fleet.advance(2 * CALL_MS);
  const before = host.lines('job-claimed').length;
  await fleet.advance(2 * CALL_MS);
  t.is(host.lines('job-claimed').length, before);
});

const MANY_JOBS = 400;
const STORE_MS = 100;
/** Time for all claims and reads by four hosts, with room, in milliseconds. */
const ALL_CLAIMED_MS = 12_000;

/** A store whose transactions take a while. */
class BusyStore extends MemoryRowStore {
  fleet: OwnershipFleet | undefined;

  override async transact(transaction: RowTransaction) {
    if (this.fleet) await sleep(this.fleet.clock, STORE_MS);
    return super.transact(transaction);
  }
}

// Guards against a store that is kept busy by hosts that step in for each other
// when all have more jobs to claim than they can in a turn: most claims were in
// vain, since the hosts went through the jobs in the same order.
test('hosts with many jobs to claim make few claims in vain', async t => {
  const store = new BusyStore(new VirtualClock());
  using fleet = new OwnershipFleet(store);
  for (let i = 0; i < MANY_JOBS; i++)
    await fleet.write({...OPEN_JOB, id: `job-${i}`});
  store.fleet = fleet;
  const pause = () => sleep(fleet.clock, STORE_MS);
  const read = async () => pause().then(() => success([]));
  const reader = {items: read, allResults: read} as unknown as JobReader;
  for (const name of ['a', 'b', 'c', 'd']) fleet.add(name, {reader});
  await fleet.advance(ALL_CLAIMED_MS);
  const jobs = fleet.hosts.flatMap(host => host.jobs);
  t.is(jobs.length, MANY_JOBS);
  t.is(new Set(jobs).size, MANY_JOBS);
  const claims = fleet.hosts.flatMap(host => host.lines('job-claimed'));
  const inVain = claims.filter(({outcome}) => outcome !== 'written');
  t.true(inVain.length <= MANY_JOBS / 4, `${inVain.length} claims in vain`);
});
