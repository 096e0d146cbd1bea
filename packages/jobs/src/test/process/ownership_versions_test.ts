/** A host's copy of a head only goes forward, by version. */
import {encodeJson, type VersionedRow} from '@oathead/stores';
import test from 'ava';
import {headRef, type JobHead} from '../../lib/request/job_rows.js';
import {OPEN_JOB, OwnershipFleet} from '../fakes/ownership_fleet.js';

/** Time of some sweeps, in milliseconds. */
const SWEEPS_MS = 2000;

const OWN: JobHead = {...OPEN_JOB, owner: 'a'};
const ENDED: JobHead = {...OPEN_JOB, state: 'ended', nonce: 'end'};

function rowOf(head: JobHead, version: number): VersionedRow {
  return {...headRef(head.id), value: encodeJson(head), version};
}

function updateOf(
  put: readonly VersionedRow[],
  removed: readonly VersionedRow[] = [],
) {
  return {put, removed, storeTimeMs: 1};
}

/** A host beside a live one, whose feed brings nothing by itself. */
function hostOf(fleet: OwnershipFleet) {
  const host = fleet.add('a', {skips: () => true});
  fleet.add('b', {skips: () => true});
  return host;
}

// Guards against a job that no host knows: it was handed in again under the ID
// of a job whose rows had been removed, and one response of the feed told both.
test('a head that is written after its removal stays known', async t => {
  using fleet = new OwnershipFleet();
  const host = hostOf(fleet);
  const orphan = rowOf(OPEN_JOB, 3);
  host.ownership.update(updateOf([orphan], [rowOf(ENDED, 1)]));
  await fleet.advance(SWEEPS_MS);
  t.is(host.lines('job-orphaned').length, 1);
});

test('a head whose removal comes after it is forgotten', async t => {
  using fleet = new OwnershipFleet();
  const host = hostOf(fleet);
  const orphan = rowOf(OPEN_JOB, 3);
  host.ownership.update(updateOf([orphan], [orphan]));
  await fleet.advance(SWEEPS_MS);
  t.is(host.lines('job-orphaned').length, 0);
});

// Guards against two hosts that work on a job: a row of before came after the
// one that names its new owner.
test('an older head does not replace a newer one', async t => {
  using fleet = new OwnershipFleet();
  const host = hostOf(fleet);
  host.ownership.update(updateOf([rowOf({...OWN, owner: 'b'}, 3)]));
  host.ownership.update(updateOf([rowOf(OWN, 2)]));
  await fleet.advance(SWEEPS_MS);
  t.deepEqual(host.jobs, []);
});

test('an older head does not open a closed job', async t => {
  using fleet = new OwnershipFleet();
  const host = hostOf(fleet);
  host.ownership.update(updateOf([rowOf(ENDED, 3)]));
  host.ownership.update(updateOf([rowOf(OWN, 2)]));
  await fleet.advance(SWEEPS_MS);
  t.deepEqual(host.jobs, []);
});

// Guards against a job that is never run at hosts that remember a closed job of
// its ID.
test('a job that is handed in again under the ID of a closed one is adopted', async t => {
  using fleet = new OwnershipFleet();
  const host = hostOf(fleet);
  host.ownership.update(updateOf([rowOf(ENDED, 2)]));
  host.ownership.update(updateOf([rowOf(OWN, 3)]));
  await fleet.advance(SWEEPS_MS);
  t.deepEqual(host.jobs, ['j']);
});
