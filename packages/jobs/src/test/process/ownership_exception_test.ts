/** A job whose rows throw holds up neither the process nor other jobs. */
import {success} from '@oathead/core';
import {MemoryRowStore, type RowTransaction} from '@oathead/stores';
import test from 'ava';
import type {JobReader} from '../../lib/request/job_reader.js';
import {
  EMPTY_READER,
  OPEN_JOB,
  OwnershipFleet,
} from '../fakes/ownership_fleet.js';
import {VirtualClock} from '../fakes/virtual_clock.js';

const JOBS = [...Array(6).keys()].map(i => `j${i}`);
const BAD = 'j1';
const SWEEPS_MS = 4000;

/** A store that throws at writes of one job. */
class ThrowingStore extends MemoryRowStore {
  isBad = true;

  override async transact(transaction: RowTransaction) {
    const isBad = transaction.expect.some(({key}) => key === BAD);
    if (isBad && this.isBad) throw new Error('bad row');
    return super.transact(transaction);
  }
}

// Guards against a job that ends each process that takes it over, and against
// one that is never tried again since its first attempt has thrown.
for (const owner of ['a', 'ended'])
  test(`a job of owner ${owner} whose rows throw is tried again beside others`, async t => {
    let isBad = true;
    const items = async (id: string) => {
      if (id === BAD && isBad) throw new Error('bad item');
      return success([]);
    };
    const reader = {...EMPTY_READER, items} as unknown as JobReader;
    using fleet = new OwnershipFleet();
    const host = fleet.add('a', {reader});
    for (const id of JOBS) await fleet.write({...OPEN_JOB, id, owner});
    await fleet.advance(SWEEPS_MS);
    t.deepEqual(
      [...host.jobs].sort(),
      JOBS.filter(id => id !== BAD),
    );
    const [line] = host.lines('job-adoption-failed');
    t.like(line, {job: BAD, reason: 'Error: bad item', attempt: 1});
    isBad = false;
    await fleet.advance(SWEEPS_MS);
    t.deepEqual([...host.jobs].sort(), JOBS);
  });

test('a job whose claim throws is tried again beside others', async t => {
  const store = new ThrowingStore(new VirtualClock());
  using fleet = new OwnershipFleet(store);
  const host = fleet.add('a');
  for (const id of JOBS) await fleet.write({...OPEN_JOB, id});
  await fleet.advance(SWEEPS_MS);
  t.deepEqual(
    [...host.jobs].sort(),
    JOBS.filter(id => id !== BAD),
  );
  const [line] = host.lines('job-adoption-failed');
  t.like(line, {job: BAD, how: 'claimed', reason: 'Error: bad row'});
  store.isBad = false;
  await fleet.advance(SWEEPS_MS);
  t.deepEqual([...host.jobs].sort(), JOBS);
});

// Guards against a planned stop that hands over nothing since one job throws.
test('a stopping host hands over the other jobs', async t => {
  const store = new ThrowingStore(new VirtualClock());
  store.isBad = false;
  using fleet = new OwnershipFleet(store);
  const host = fleet.add('a');
  fleet.add('b', {skips: () => true});
  for (const id of JOBS) await fleet.write({...OPEN_JOB, id, owner: 'a'});
  await fleet.advance(SWEEPS_MS);
  store.isBad = true;
  await t.notThrowsAsync(host.ownership.handOverAll());
  t.is(host.lines('job-handed-over').length, JOBS.length - 1);
  t.like(host.lines('job-hand-over-failed'), [{job: BAD}]);
});
