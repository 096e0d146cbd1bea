/** A host that gets a job from another one learns of it, whatever its feed does. */
import {NO_EVENT_LOG, seededRandom, success} from '@oathead/core';
import test from 'ava';
import {cancelJob} from '../../lib/request/job_cancellation.js';
import type {JobReader} from '../../lib/request/job_reader.js';
import {
  OPEN_JOB,
  OwnershipFleet,
  type FleetHostOptions,
} from '../fakes/ownership_fleet.js';

/** The feed of the host skips the rows of all jobs. */
const HEARS_NOTHING: FleetHostOptions = {skips: () => true};
/** Time in which an item must not lie beside free slots, in milliseconds. */
const FORGOTTEN_MS = 5000;

/** Two hosts; the feed of the second one brings it no job. */
function newFleet() {
  const fleet = new OwnershipFleet();
  const leaving = fleet.add('leaving');
  const staying = fleet.add('staying', HEARS_NOTHING);
  return {fleet, leaving, staying};
}

// Guards against a job whose owner is alive and doesn't know it: nobody claims
// it, and it lies until its owner reads all heads again.
test('a job that is handed over is taken up though no feed tells of it', async t => {
  const {fleet, leaving, staying} = newFleet();
  using all = fleet;
  await all.write({...OPEN_JOB, owner: 'leaving'});
  await all.advance(1000);
  t.deepEqual(leaving.jobs, [OPEN_JOB.id]);
  await leaving.ownership.handOverAll();
  await all.advance(FORGOTTEN_MS);
  t.deepEqual(staying.jobs, [OPEN_JOB.id]);
});

// Guards against the same with a job that a stopping host accepts in the name
// of another one.
test('a job that is accepted for another host is taken up though no feed tells of it', async t => {
  const {fleet, leaving, staying} = newFleet();
  using all = fleet;
  await leaving.ownership.handOverAll();
  const owner = leaving.ownership.ownerForNewJob();
  t.is(owner, 'staying');
  leaving.ownership.adoptAccepted(await all.write({...OPEN_JOB, owner}));
  await all.advance(FORGOTTEN_MS);
  t.deepEqual(staying.jobs, [OPEN_JOB.id]);
});

// Guards against the same with a job that a host gets while it stops.
test('a job that is passed on is taken up though no feed tells of it', async t => {
  const {fleet, leaving, staying} = newFleet();
  using all = fleet;
  await leaving.ownership.handOverAll();
  await all.write({...OPEN_JOB, owner: 'leaving'});
  await all.advance(FORGOTTEN_MS);
  t.deepEqual(staying.jobs, [OPEN_JOB.id]);
});

// Guards against items of an ended job that run on, since the feed of the owner
// skips the row.
test('the owner of a job that is ended lets it go though no feed tells of it', async t => {
  using fleet = new OwnershipFleet();
  const owner = fleet.add('owner', {skips: version => version > 1});
  const open = await fleet.write({...OPEN_JOB, owner: 'owner'});
  await fleet.advance(1000);
  t.deepEqual(owner.jobs, [OPEN_JOB.id]);
  const reader = {head: async () => success(open)} as unknown as JobReader;
  const context = {
    store: fleet.store,
    reader,
    clock: fleet.clock,
    random: seededRandom(1),
    log: NO_EVENT_LOG,
    tellOwner: fleet.tellOwner,
  };
  t.is(await cancelJob(context, OPEN_JOB.id), 'ended');
  await fleet.advance(FORGOTTEN_MS);
  t.deepEqual(owner.jobs, []);
});
