import test from 'ava';
import {partKeyOf} from '../../lib/process/prompt_parts.js';
import {
  CRASHED,
  EXPIRY_MS,
  STEP_MS,
  SuspectFleet,
  type SuspectHost,
} from '../fakes/suspect_fleet.js';
import {newTarget} from '../fakes/targets.js';

const BAD = {service: 's', sharedParts: ['first', 'bad']};
const WORSE = {service: 's', sharedParts: ['worse']};
const SOUND = {service: 's', sharedParts: ['first']};
const OTHER = {service: 's', sharedParts: ['first', 'other']};

/** A fleet whose hosts have seen one crash each under the bad part. */
async function newFleet(hosts: number): Promise<SuspectFleet> {
  const fleet = new SuspectFleet();
  for (let i = 0; i < hosts; i++) fleet.add();
  await fleet.run(1000);
  for (const [i, {promptSuspects: suspects}] of fleet.hosts.entries()) {
    suspects.recordBrokenRun(BAD, `t${i}`);
    await fleet.run(STEP_MS);
  }
  return fleet;
}

/** Two hosts that have seen no run yet. */
function newQuietFleet(): SuspectFleet {
  const fleet = new SuspectFleet();
  fleet.add();
  fleet.add();
  return fleet;
}

async function admissionsAt(hosts: readonly SuspectHost[]) {
  return Promise.all(
    hosts.map(({promptSuspects: suspects}) => suspects.admit(BAD)),
  );
}

// Guards against a part that is never found, because each host sees one crash.
test('hosts find a part together, and let sound requests through', async t => {
  const fleet = await newFleet(5);
  await fleet.run(3000);
  t.deepEqual(new Set(await admissionsAt(fleet.hosts)), new Set(['blocked']));
  for (const {promptSuspects: suspects} of fleet.hosts) {
    t.is(suspects.explanationOf('t0'), partKeyOf('s', 'bad'));
    t.is(suspects.explanationOf('other'), undefined);
    t.is(await suspects.admit(SOUND), 'free');
    t.is(await suspects.admit({...BAD, service: 'other'}), 'free');
  }
});

// Guards against a part that is never found because the hosts that have its
// requests have no others.
test('a part is found by hosts that have no requests with it', async t => {
  const fleet = await newFleet(3);
  const quiet = fleet.add();
  await fleet.run(3000, [quiet]);
  t.deepEqual(new Set(await admissionsAt(fleet.hosts)), new Set(['blocked']));
});

// Guards against a target that is lost for each host that tries again.
test('one request of the whole fleet tries a part again', async t => {
  const fleet = await newFleet(5);
  await fleet.run(9000);
  t.false((await admissionsAt(fleet.hosts)).includes('trial'));
  await fleet.run(5000);
  const admissions = await admissionsAt(fleet.hosts);
  t.deepEqual([...admissions].sort(), [
    'blocked',
    'blocked',
    'blocked',
    'blocked',
    'trial',
  ]);
  fleet.hosts[0]!.promptSuspects.recordBrokenRun(BAD, 't9');
  await fleet.run(30_000);
  t.deepEqual(new Set(await admissionsAt(fleet.hosts)), new Set(['blocked']));
});

test('a part that gets through again is free at all hosts', async t => {
  const fleet = await newFleet(5);
  await fleet.run(14_000);
  const admissions = await admissionsAt(fleet.hosts);
  fleet.hosts[admissions.indexOf('trial')]!.promptSuspects.recordCompletedRun(
    BAD,
  );
  await fleet.run(1000);
  t.deepEqual(new Set(await admissionsAt(fleet.hosts)), new Set(['free']));
});

// Guards against targets that crash again because all hosts were lost.
test('a host that starts knows the verdicts', async t => {
  const fleet = await newFleet(5);
  await fleet.run(3000);
  fleet.hosts.length = 0;
  const started = fleet.add();
  t.is(await started.promptSuspects.admit(BAD), 'free');
  await started.read();
  t.is(await started.promptSuspects.admit(BAD), 'blocked');
});

// Guards against a part that is held back for good because targets that live
// have lost connections.
test('targets that are still listed have not crashed', async t => {
  const fleet = await newFleet(5);
  await fleet.run(3000);
  for (const {directory} of fleet.hosts)
    for (let i = 0; i < 5; i++) directory.put(newTarget(`t${i}`));
  t.is((await admissionsAt(fleet.hosts))[0], 'blocked');
  await fleet.run(EXPIRY_MS + 3000);
  t.deepEqual(new Set(await admissionsAt(fleet.hosts)), new Set(['free']));
});

// Guards against hosts that refuse a part for minutes on the evidence that they
// had while they could not reach the store.
test('without the store a host decides for itself, and for a short time', async t => {
  const fleet = new SuspectFleet();
  const host = fleet.add();
  const other = fleet.add();
  await fleet.run(1000);
  fleet.isStoreUp = false;
  for (let i = 0; i < 4; i++) host.promptSuspects.recordBrokenRun(BAD, `t${i}`);
  await fleet.run(3000);
  t.deepEqual(await admissionsAt([host, other]), ['blocked', 'free']);
  await fleet.run(40_000);
  t.deepEqual(await admissionsAt([host, other]), ['free', 'free']);
  fleet.isStoreUp = true;
  await fleet.run(1000);
  t.deepEqual(await admissionsAt([host, other]), ['free', 'free']);
});

// Guards against a part that is never tried again: the only requests that have it
// also have another blocked part, whose next trial is due at another time.
test('a request with two blocked parts uses up no trial of one alone', async t => {
  const fleet = await newFleet(5);
  await fleet.run(3000);
  const both = {...BAD, sharedParts: ['bad', 'worse']};
  for (let i = 0; i < 5; i++) {
    fleet.hosts[i]!.promptSuspects.recordBrokenRun(WORSE, `w${i}`);
    await fleet.run(STEP_MS);
  }
  await fleet.run(9000);
  const early = await fleet.hosts[0]!.promptSuspects.admit(both);
  t.is(early, 'blocked', 'the second verdict is younger');
  t.is(await fleet.hosts[0]!.promptSuspects.admit(BAD), 'trial');
});

// Guards against a trial that costs a target for each target that its request may
// be sent to.
test('a request that tries a part again is not sent a second time', async t => {
  const fleet = await newFleet(5);
  await fleet.run(14_000);
  const check = fleet.hosts[0]!.checkOf({fingerprint: 'f', prompt: BAD});
  t.is(await check.refusal(), undefined);
  t.is(check.recheck(), undefined);
  check.beginRun().recordOutcome(CRASHED, {id: 't9'});
  t.is(await check.refusal(), 'prompt part blocked');
});

// Guards against a part that is not found, because the store did not take the
// crashes that hosts noticed, one each.
test('evidence is written when the store answers again', async t => {
  const fleet = new SuspectFleet();
  for (let i = 0; i < 5; i++) fleet.add();
  await fleet.run(1000);
  fleet.isStoreUp = false;
  for (const [i, {promptSuspects}] of fleet.hosts.entries()) {
    promptSuspects.recordBrokenRun(BAD, `t${i}`);
    await fleet.run(STEP_MS);
  }
  fleet.isStoreUp = true;
  await fleet.run(3000);
  t.deepEqual(new Set(await admissionsAt(fleet.hosts)), new Set(['blocked']));
});

/**
 * Lets targets crash under the bad part, two hosts seeing each second one. A
 * sound run breaks off with most of them.
 */
async function crashWhileDown(fleet: SuspectFleet): Promise<void> {
  for (let i = 0; i < 6; i++) {
    const {promptSuspects: suspects} = fleet.hosts[i % 2]!;
    suspects.recordBrokenRun(BAD, `down ${i}`);
    if (i < 4) suspects.recordBrokenRun(OTHER, `down ${i}`);
    await fleet.run(400, []);
  }
}

// Guards against a service that stays down for good, because nothing gets through
// that could show which part crashes its targets.
test('a part is held for a moment while nothing gets through', async t => {
  const fleet = newQuietFleet();
  await crashWhileDown(fleet);
  t.deepEqual(await admissionsAt(fleet.hosts), ['blocked', 'blocked']);
  for (const {promptSuspects: suspects} of fleet.hosts)
    t.is(await suspects.admit(OTHER), 'free');
  await fleet.run(3000);
  const admissions = await admissionsAt(fleet.hosts);
  t.deepEqual([...admissions].sort(), ['blocked', 'trial']);
  fleet.hosts[0]!.promptSuspects.recordBrokenRun(BAD, 'tried');
  await fleet.run(9000);
  t.deepEqual(await admissionsAt(fleet.hosts), ['blocked', 'blocked']);
  await fleet.run(2000);
  t.true((await admissionsAt(fleet.hosts)).includes('trial'));
});

// Guards against sound requests that are refused after an outage with another
// cause.
test('a part is not held any more if targets go on crashing', async t => {
  const fleet = newQuietFleet();
  await crashWhileDown(fleet);
  t.deepEqual(await admissionsAt(fleet.hosts), ['blocked', 'blocked']);
  await fleet.run(1000, []);
  for (let i = 0; i < 3; i++) {
    fleet.hosts[0]!.promptSuspects.recordBrokenRun(OTHER, `more ${i}`);
    await fleet.run(200, []);
  }
  await fleet.run(300, []);
  t.deepEqual(await admissionsAt(fleet.hosts), ['free', 'free']);
});
