import test from 'ava';
import {partKeyOf} from '../../lib/process/prompt_parts.js';
import {crashRef, verdictRef} from '../../lib/process/prompt_suspect_rows.js';
import type {JudgedRequest} from '../../lib/request/run_evidence.js';
import {SOUND, STEP_MS, SuspectFleet} from '../fakes/suspect_fleet.js';
import {newTarget} from '../fakes/targets.js';

const SUSPECT = 'suspect';
const PART_BLOCKED = 'prompt part blocked';
/** Longer than any evidence against a part is waited for, in milliseconds. */
const DECIDED_MS = 4000;
/** Time after which crashes do not count against a part, in milliseconds. */
const FORGOTTEN_MS = 36_000;

/** Time after which a blocked part is tried again, in milliseconds. */
const TRIAL_MS = 10_000;

function requestOf(fingerprint: string): JudgedRequest {
  const prompt = {service: 's', sharedParts: ['first', 'middle']};
  return {fingerprint, prompt};
}

/** Crashes each target that runs it. */
const POISON = requestOf('poison');
/** Shares all parts of its prompt with the poison request. */
const NEIGHBOUR = requestOf('neighbour');
const OTHERS = [requestOf('other-1'), requestOf('other-2')] as const;

async function newFleet(hosts = 3): Promise<SuspectFleet> {
  const fleet = new SuspectFleet();
  for (let i = 0; i < hosts; i++) fleet.add();
  await fleet.run(1000);
  return fleet;
}

/** One target after another crashes under the poison request. */
async function crashUnderPoison(fleet: SuspectFleet): Promise<void> {
  for (const [i, host] of fleet.hosts.entries()) {
    host.crash(POISON, `t${i}`);
    await fleet.run(STEP_MS);
  }
}

/**
 * The same, and two more crash under two others with the same part, so that the
 * part is blocked.
 */
async function newFleetWithVerdict(): Promise<SuspectFleet> {
  const fleet = await newFleet();
  await crashUnderPoison(fleet);
  for (const [i, other] of OTHERS.entries()) {
    fleet.hosts[i]!.crash(other, `u${i}`);
    await fleet.run(STEP_MS);
  }
  await fleet.run(DECIDED_MS);
  return fleet;
}

function all(fleet: SuspectFleet, refusal: string): readonly string[] {
  return fleet.hosts.map(() => refusal);
}

// Guards against sound requests that are refused because one request, with which
// they share a part of their prompts, crashes targets.
test('crashes under one request are not put down to a part of its prompt', async t => {
  const fleet = await newFleet();
  await crashUnderPoison(fleet);
  await fleet.run(DECIDED_MS);
  t.deepEqual(await fleet.refusals(POISON), all(fleet, SUSPECT));
  t.deepEqual(await fleet.refusals(NEIGHBOUR), all(fleet, 'none'));
});

// Guards against a part that crashes targets and is not blocked, since requests
// that are sent again crash several targets each.
test('a part is blocked when several requests with it crash targets', async t => {
  const fleet = await newFleetWithVerdict();
  t.deepEqual(await fleet.refusals(NEIGHBOUR), all(fleet, PART_BLOCKED));
  t.deepEqual(await fleet.refusals(SOUND), all(fleet, 'none'));
});

// Guards against a poison request that is let through again once the part to
// which its crashes were put down has got through.
test('a request stays blocked when the verdict on its part ends: got through', async t => {
  const fleet = await newFleetWithVerdict();
  fleet.hosts[0]!.complete(NEIGHBOUR);
  await fleet.run(1000);
  t.deepEqual(await fleet.refusals(NEIGHBOUR), all(fleet, 'none'));
  t.deepEqual(await fleet.refusals(POISON), all(fleet, SUSPECT));
});

// The same for a verdict that its host could not write.
test('a request stays blocked when the verdict on its part ends: unwritten', async t => {
  const fleet = await newFleet(1);
  const [host] = fleet.hosts;
  fleet.isStoreUp = false;
  for (let i = 0; i < 4; i++) host!.crash(POISON, `t${i}`);
  for (const [i, other] of OTHERS.entries()) host!.crash(other, `u${i}`);
  await fleet.run(DECIDED_MS);
  t.is(await host!.refusal(NEIGHBOUR), PART_BLOCKED);
  await fleet.run(FORGOTTEN_MS);
  t.is(await host!.refusal(NEIGHBOUR), 'none');
  t.is(await host!.refusal(POISON), SUSPECT);
});

// Guards against hosts that disagree on what holds a request: one has started
// anew, and reads crashes and verdicts from the store.
test('a host that starts holds the same requests as the others', async t => {
  const fleet = await newFleetWithVerdict();
  const started = fleet.add();
  await started.read();
  t.is(await started.refusal(NEIGHBOUR), PART_BLOCKED);
  fleet.hosts[0]!.complete(NEIGHBOUR);
  await fleet.run(1000);
  t.deepEqual(await fleet.refusals(POISON), all(fleet, SUSPECT));
  const last = fleet.add();
  await last.read();
  t.is(await last.refusal(POISON), SUSPECT);
  t.is(await last.refusal(NEIGHBOUR), 'none');
});

// Guards against a poison request that reaches a target although it is blocked: it
// was admitted before the third crash and has waited for a slot since.
test('a request that waits is held when it comes to be blocked', async t => {
  const fleet = await newFleet();
  const waiting = fleet.hosts[0]!.checkOf(POISON);
  t.is(await waiting.refusal(), undefined);
  t.is(waiting.recheck(), undefined);
  await crashUnderPoison(fleet);
  t.is(waiting.recheck(), SUSPECT);
});

// Guards against a part that is never blocked: a host of an earlier build has put
// crashes of one request down to it, and others with it crash targets since then.
test('a part is blocked in spite of an earlier verdict that one request explains', async t => {
  const fleet = await newFleet();
  await crashUnderPoison(fleet);
  const key = partKeyOf('s', 'middle');
  const targets = ['t0', 't1', 't2'];
  const at = fleet.clock.now();
  const verdict = {service: 's', targets, at, trials: 0};
  const value = Buffer.from(JSON.stringify(verdict));
  const puts = [{...verdictRef(key), value}];
  await fleet.store.transact({expect: [], puts, removes: []});
  await fleet.run(STEP_MS);
  t.deepEqual(await fleet.refusals(NEIGHBOUR), all(fleet, 'none'));
  for (const [i, other] of OTHERS.entries()) {
    fleet.hosts[i]!.crash(other, `u${i}`);
    await fleet.run(STEP_MS);
  }
  await fleet.run(DECIDED_MS);
  t.deepEqual(await fleet.refusals(NEIGHBOUR), all(fleet, PART_BLOCKED));
  await fleet.run(TRIAL_MS);
  t.is(await fleet.hosts[0]!.refusal(NEIGHBOUR), 'none', 'it is tried again');
});

/** Time from the last crash to the first request that tries again. */
const FIRST_TRIAL_MS = 60_000;

/** What becomes of copies of a request that come to all hosts at once. */
async function copiesAtAll(fleet: SuspectFleet): Promise<readonly string[]> {
  const refusals = await fleet.refusals(POISON);
  return [...refusals].sort();
}

// Guards against a poison request that all hosts let through at once when its last
// crash is old.
test('one host of the whole fleet tries a blocked request again', async t => {
  const fleet = await newFleet();
  await crashUnderPoison(fleet);
  await fleet.run(FIRST_TRIAL_MS / 2);
  t.deepEqual(await fleet.refusals(POISON), all(fleet, SUSPECT));
  await fleet.run(FIRST_TRIAL_MS / 2);
  const [tried, ...others] = await copiesAtAll(fleet);
  t.is(tried, 'none');
  t.deepEqual(new Set(others), new Set([SUSPECT]));
  t.deepEqual(await fleet.refusals(POISON), all(fleet, SUSPECT));
});

test('a trial that crashes a target delays the next one for longer', async t => {
  const fleet = await newFleet();
  await crashUnderPoison(fleet);
  await fleet.run(FIRST_TRIAL_MS);
  await copiesAtAll(fleet);
  fleet.hosts[1]!.crash(POISON, 'tried');
  await fleet.run(2 * FIRST_TRIAL_MS);
  t.deepEqual(await fleet.refusals(POISON), all(fleet, SUSPECT));
});

// Guards against a harmless request that is held for minutes because the caller of
// its trial has left.
test('a trial that shows nothing is followed by another one', async t => {
  const fleet = await newFleet();
  await crashUnderPoison(fleet);
  await fleet.run(FIRST_TRIAL_MS);
  await copiesAtAll(fleet);
  await fleet.run(TRIAL_MS + STEP_MS);
  t.true((await copiesAtAll(fleet)).includes('none'));
});

test('a trial that gets through frees the request on all hosts', async t => {
  const fleet = await newFleet();
  await crashUnderPoison(fleet);
  await fleet.run(FIRST_TRIAL_MS);
  await copiesAtAll(fleet);
  fleet.hosts[0]!.complete(POISON);
  await fleet.run(STEP_MS);
  t.deepEqual(await fleet.refusals(POISON), all(fleet, 'none'));
});

/** Pause between two requests with the part, longer than a trial is waited for. */
const SLOW_PACE_MS = 31_000;
/** How often a request is sent until its caller gives up. */
const SENDS = 3;
const CRASHES = 5;
/** Bounds of the users: three requests later than that after the fifth crash. */
const STABILITY_MS = 3000;
const MAX_LATER = 3;

/**
 * Requests come at a slow pace to all hosts in turn, each sent again until it is
 * refused; those that run crash their target.
 *
 * @returns When they reached targets.
 */
async function comeSlowly(
  fleet: SuspectFleet,
  requests: readonly JudgedRequest[],
): Promise<readonly number[]> {
  const reachedAt: number[] = [];
  for (const request of requests) {
    for (let i = 0; i < SENDS; i++) {
      const host = fleet.hosts[reachedAt.length % fleet.hosts.length]!;
      if ((await host.refusal(request)) !== 'none') break;
      host.crash(request, `slow ${reachedAt.length}`);
      reachedAt.push(fleet.clock.now());
      await fleet.run(STEP_MS);
    }
    await fleet.run(SLOW_PACE_MS);
  }
  return reachedAt;
}

function isWithinBounds(reachedAt: readonly number[]): boolean {
  const fifthAt = reachedAt[CRASHES - 1] ?? Infinity;
  const later = reachedAt.filter(at => at > fifthAt + STABILITY_MS);
  return later.length <= MAX_LATER;
}

// Guards against a part that is never held, since its requests come so seldom, and
// each of them accounts for the crashes under it.
test('a part is blocked when requests with it come at a slow pace', async t => {
  const fleet = await newFleet();
  await fleet.run(TRIAL_MS);
  const requests = [...Array(30).keys()].map(i => requestOf(`slow-${i}`));
  const reachedAt = await comeSlowly(fleet, requests);
  t.true(isWithinBounds(reachedAt), reachedAt.join(' '));
  t.deepEqual(await fleet.refusals(SOUND), all(fleet, 'none'));
});

// Guards against the same by a request that comes again and again.
test('a poison request at a slow pace stays blocked, and its parts free', async t => {
  const fleet = await newFleet();
  await fleet.run(TRIAL_MS);
  const reachedAt = await comeSlowly(fleet, Array(30).fill(POISON));
  const thirdAt = reachedAt[2]!;
  const retries = reachedAt.filter(at => at > thirdAt + STABILITY_MS);
  t.true(retries.length <= MAX_LATER, reachedAt.join(' '));
  t.deepEqual(await fleet.refusals(NEIGHBOUR), all(fleet, 'none'));
});

// Guards against verdicts that end while the part still crashes targets: they
// lasted for ten minutes.
test('verdicts outlast a long pause of their requests', async t => {
  const fleet = await newFleetWithVerdict();
  await fleet.run(TRIAL_MS);
  t.is(await fleet.hosts[0]!.refusal(NEIGHBOUR), 'none');
  fleet.hosts[0]!.crash(NEIGHBOUR, 'tried');
  await fleet.run(650_000);
  const [first, ...others] = await fleet.refusals(NEIGHBOUR);
  t.deepEqual([first, ...others].sort(), ['none', PART_BLOCKED, PART_BLOCKED]);
  t.false((await fleet.refusals(POISON)).includes('none'));
});

// Guards against sound requests that are held because targets that had lost
// connections left as planned, long after.
test('a connection that a live target lost is no crash when the target leaves', async t => {
  const fleet = await newFleet();
  const [host] = fleet.hosts;
  const targets = [...Array(6).keys()].map(i => `lossy-${i}`);
  for (const {directory} of fleet.hosts)
    for (const id of targets) directory.put(newTarget(id));
  for (const [i, id] of targets.entries()) {
    host!.crash(requestOf(`sound-${i}`), id);
    await fleet.run(TRIAL_MS);
  }
  for (const {directory} of fleet.hosts)
    for (const id of targets) directory.remove(id, 0);
  await fleet.run(TRIAL_MS);
  t.deepEqual(await fleet.refusals(NEIGHBOUR), all(fleet, 'none'));
});

// Guards against the same at a host that starts while the rows are there.
test('rows of crashes that were none are removed', async t => {
  const fleet = await newFleet();
  for (const {directory} of fleet.hosts) directory.put(newTarget('lossy'));
  fleet.hosts[0]!.crash(NEIGHBOUR, 'lossy');
  await fleet.run(TRIAL_MS);
  const key = partKeyOf('s', 'middle');
  const {table, partition, key: crash} = crashRef(key, 'lossy');
  const page = await fleet.store.read({table, partition, from: crash});
  t.false(page.ok && page.value.rows.some(row => row.key === crash));
});
