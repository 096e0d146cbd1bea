/** What a host learns from a conflict with a row that its feed has skipped. */
import {failure} from '@oathead/core';
import {encodeJson, MemoryRowStore, type RowTransaction} from '@oathead/stores';
import test from 'ava';
import {headRef} from '../../lib/request/job_rows.js';
import {
  ONE_ITEM_READER,
  OPEN_JOB,
  OwnershipFleet,
} from '../fakes/ownership_fleet.js';
import {VirtualClock} from '../fakes/virtual_clock.js';

/** Time of some sweeps, in milliseconds. */
const SWEEPS_MS = 4000;

/** A store whose response to the first claim is lost. */
class LosesFirstAnswerStore extends MemoryRowStore {
  isLossy = false;

  override async transact(transaction: RowTransaction) {
    const done = await super.transact(transaction);
    if (!this.isLossy) return done;
    this.isLossy = false;
    return failure({kind: 'unknown', message: 'lost'} as const);
  }
}

// Guards against a job that nobody runs for up to a minute: its claim was
// written, the response was lost and the feed skipped the row, so that the
// owner claimed its own job in vain at each sweep.
test('a host learns from a conflict that its own claim was written', async t => {
  const store = new LosesFirstAnswerStore(new VirtualClock());
  using fleet = new OwnershipFleet(store);
  const found = await fleet.write(OPEN_JOB);
  const host = fleet.add('a', {skips: version => version > found.version});
  await host.follow();
  store.isLossy = true;
  await fleet.advance(SWEEPS_MS);
  t.deepEqual(host.jobs, ['j']);
  t.deepEqual(
    host.lines('job-claimed').map(({outcome}) => outcome),
    ['unknown', 'conflict'],
  );
});

// Guards against calls to the store that can't succeed: a host whose copy of a
// head was too old conflicted at each sweep.
test('a host learns from a conflict that another host owns the job', async t => {
  using fleet = new OwnershipFleet();
  const found = await fleet.write(OPEN_JOB);
  const host = fleet.add('a', {skips: version => version > found.version});
  await host.follow();
  fleet.add('b', {skips: () => true});
  await fleet.write({...OPEN_JOB, owner: 'b', nonce: 'claim'});
  await fleet.advance(SWEEPS_MS);
  t.deepEqual(host.jobs, []);
  t.deepEqual(
    host.lines('job-claimed').map(({outcome}) => outcome),
    ['conflict'],
  );
});

// Guards against work on a cancelled job, and claims of it at each sweep.
test('a host learns from a conflict that a job is closed', async t => {
  using fleet = new OwnershipFleet();
  const found = await fleet.write(OPEN_JOB);
  const host = fleet.add('a', {skips: version => version > found.version});
  await host.follow();
  await fleet.write({...OPEN_JOB, state: 'ended', nonce: 'end'});
  await fleet.advance(SWEEPS_MS);
  t.is(host.lines('job-claimed').length, 1);
});

// Guards against a job that rests until its host has ended: the host was
// stopping and passed it on under a head that was not the newest.
test('a host that stops passes a job on under its newest head', async t => {
  using fleet = new OwnershipFleet();
  const found = await fleet.write({...OPEN_JOB, owner: 'a'});
  const host = fleet.add('a');
  fleet.add('b');
  await host.ownership.handOverAll();
  await fleet.write({...OPEN_JOB, owner: 'a', nonce: 'newer'});
  host.ownership.adoptAccepted(found);
  await fleet.clock.advance(SWEEPS_MS);
  t.deepEqual(
    host.lines('job-passed-on').map(({outcome}) => outcome),
    ['conflict', 'written'],
  );
});

// Guards against a job that two hosts work on: a host whose feed had skipped the
// row of the new owner lost the job at its next write, and adopted it again
// under its old copy of the head, up to a minute.
test('a host that loses a job does not adopt it again', async t => {
  using fleet = new OwnershipFleet();
  const found = await fleet.write({...OPEN_JOB, owner: 'a'});
  const host = fleet.add('a', {
    reader: ONE_ITEM_READER,
    skips: version => version > found.version,
  });
  fleet.add('b', {skips: () => true});
  await fleet.advance(SWEEPS_MS);
  await fleet.write({...OPEN_JOB, owner: 'b', nonce: 'claim'});
  const [job] = [...host.ownership.jobs()];
  job!.succeed(job!.work[0]!);
  await fleet.advance(SWEEPS_MS);
  t.is(host.lines('job-lost').length, 1);
  t.is(host.lines('job-adopted').length, 1);
});

// Guards against a job that rests although its caller submits it again to its
// owner, whose feed had skipped it.
test('a host adopts its own job when it is submitted again', async t => {
  using fleet = new OwnershipFleet();
  const found = await fleet.write({...OPEN_JOB, owner: 'a'});
  const host = fleet.add('a', {skips: () => true});
  host.ownership.learnSubmitted(found);
  host.ownership.learnSubmitted(found);
  await fleet.advance(SWEEPS_MS);
  t.like(host.lines('job-adopted'), [{job: 'j', how: 'submitted again'}]);
});

// Guards against a job that its former owner tries to adopt again and again: the
// feed told of the removal of its rows before a write of the owner found them gone.
test('a host that finds a job gone forgets it', async t => {
  using fleet = new OwnershipFleet();
  const found = await fleet.write({...OPEN_JOB, owner: 'a'});
  const host = fleet.add('a', {reader: ONE_ITEM_READER});
  await fleet.advance(SWEEPS_MS);
  const [job] = [...host.ownership.jobs()];
  const ref = headRef('j');
  await fleet.store.transact({expect: [], puts: [], removes: [ref]});
  const row = {...ref, value: encodeJson(found.head), version: found.version};
  host.ownership.update({put: [], removed: [row], storeTimeMs: 0});
  job!.succeed(job!.work[0]!);
  await fleet.advance(SWEEPS_MS);
  t.is(host.lines('job-lost').length, 1);
  t.is(host.lines('job-adopted').length, 1);
  t.deepEqual(host.jobs, []);
});
