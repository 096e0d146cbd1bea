/** A host that gets a job from another one learns of it, whatever its feed does. */
import test from 'ava';
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
