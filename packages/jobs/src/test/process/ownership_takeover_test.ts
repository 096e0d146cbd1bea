/** Jobs of lost hosts are worked on soon, whichever host fails to claim them. */
import {rendezvous} from '@oathead/core';
import {MemoryRowStore} from '@oathead/stores';
import test from 'ava';
import {
  OPEN_JOB,
  OwnershipFleet,
  type FleetHostOptions,
} from '../fakes/ownership_fleet.js';
import {VirtualClock} from '../fakes/virtual_clock.js';

const HOSTS = [...Array(28).keys()].map(i => `host-${i}`);
const [FIRST, SECOND] = rendezvous(OPEN_JOB.id, HOSTS);
/** Time from a restart to the claim of each further host, with room. */
const ONE_STEP_MS = 5000;
const TWO_STEPS_MS = 7500;

/** A store that does not respond. */
class SilentStore extends MemoryRowStore {
  override transact() {
    return new Promise<never>(() => {});
  }
}

const LACKS_THE_HEAD: FleetHostOptions = {skips: () => true};

/** All hosts have restarted; `odd` are those that differ. */
function restartedFleet(
  odd: Readonly<Record<string, FleetHostOptions>>,
): OwnershipFleet {
  const fleet = new OwnershipFleet();
  for (const name of HOSTS) fleet.add(name, odd[name]);
  return fleet;
}

function owners(fleet: OwnershipFleet): readonly string[] {
  return fleet.hosts.filter(({jobs}) => jobs.length > 0).map(({name}) => name);
}

// An accepted job was never run after all hosts had restarted: the one host
// that was to claim it lacked its head, and no other stepped in.
test('a job is worked on although the first host lacks its head', async t => {
  using fleet = restartedFleet({[FIRST!]: LACKS_THE_HEAD});
  await fleet.write(OPEN_JOB);
  await fleet.advance(ONE_STEP_MS);
  t.deepEqual(owners(fleet), [SECOND]);
});

test('a job is worked on although the first two hosts lack its head', async t => {
  const odd = {[FIRST!]: LACKS_THE_HEAD, [SECOND!]: LACKS_THE_HEAD};
  using fleet = restartedFleet(odd);
  await fleet.write(OPEN_JOB);
  await fleet.advance(TWO_STEPS_MS);
  t.is(owners(fleet).length, 1);
});

// Guards against a job that waits for a host that is alive and whose calls to
// the store get no response.
test('a job is worked on although the first host does not get its claim through', async t => {
  const store = new SilentStore(new VirtualClock());
  using fleet = restartedFleet({[FIRST!]: {store}});
  await fleet.write(OPEN_JOB);
  await fleet.advance(ONE_STEP_MS);
  t.deepEqual(owners(fleet), [SECOND]);
});

// Guards against hosts that take a job from each other.
test('a job that the first host claims is claimed once', async t => {
  using fleet = restartedFleet({});
  await fleet.write(OPEN_JOB);
  await fleet.advance(4 * ONE_STEP_MS);
  t.deepEqual(owners(fleet), [FIRST]);
  const claims = fleet.hosts.flatMap(host => host.lines('job-claimed'));
  t.deepEqual(
    claims.map(({outcome}) => outcome),
    ['written'],
  );
});

/** Interval at which a live host writes some head, in milliseconds. */
const WRITE_MS = 2000;
const WRITES = 10;

// Guards against jobs that are taken from a live host, whose runs then end, by
// one other that takes it for dead, though all others know better.
test('a host that writes heads keeps its jobs from those that do not come first', async t => {
  const names = HOSTS.filter(name => name !== 'host-5');
  const wrong = rendezvous(OPEN_JOB.id, names)[1]!;
  using fleet = restartedFleet({[wrong]: {takesForDead: ['host-5']}});
  await fleet.write({...OPEN_JOB, owner: 'host-5'});
  for (let i = 0; i < WRITES; i++) {
    const state = i % 2 === 0 ? 'open' : 'done';
    const other = {...OPEN_JOB, id: 'other', owner: 'host-5', state} as const;
    await fleet.write(other);
    await fleet.advance(WRITE_MS);
  }
  const claims = fleet.hosts.flatMap(host => host.lines('job-claimed'));
  t.deepEqual(
    claims.filter(({job}) => job === OPEN_JOB.id),
    [],
  );
});
