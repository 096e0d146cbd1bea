import {setImmediate} from 'node:timers/promises';
import test from 'ava';
import type {ItemCandidate} from '../../lib/process/item_candidate.js';
import {idleTimeoutMs} from '../../lib/process/item_idle_timeout.js';
import {ItemStarter} from '../../lib/process/item_starter.js';
import {
  ItemRunFixture,
  newCandidate,
  ROUTE,
  TARGET_ID,
} from '../fakes/item_run_fixture.js';

/** An item that no target has for so long counts as forgotten. */
const FORGOTTEN_MS = 5000;
/** Between two runs, in milliseconds. */
const PAUSE_MS = 1000;

/** How long after the start of a run its target last responded to others. */
type LastResponseMs = number | undefined;

/** Runs an item until its idle timeout. */
async function runUntilSilent(
  host: ItemRunFixture,
  candidate: ItemCandidate,
  lastResponseMs: LastResponseMs,
): Promise<void> {
  await new ItemStarter(host.context).start(candidate, ROUTE);
  const {stage, idleTimeouts} = candidate.work;
  const startedAtMs = host.nowMs;
  if (lastResponseMs !== undefined) {
    host.nowMs += lastResponseMs;
    host.suspensions.recordActivity(TARGET_ID);
  }
  host.nowMs = startedAtMs + idleTimeoutMs(idleTimeouts);
  if (stage.kind === 'running') stage.control.end('silent');
  await setImmediate();
  host.nowMs += PAUSE_MS;
}

async function timeoutAfter(lastResponsesMs: readonly LastResponseMs[]) {
  const host = new ItemRunFixture();
  const candidate = newCandidate('i');
  for (const lastResponseMs of lastResponsesMs)
    await runUntilSilent(host, candidate, lastResponseMs);
  return idleTimeoutMs(candidate.work.idleTimeouts);
}

// Guards against an item that is left at a target that has lost it, since other
// targets have fallen silent under it before.
test('targets that are silent for all leave the idle timeout as it is', async t => {
  t.true((await timeoutAfter([undefined, undefined])) < FORGOTTEN_MS);
  t.true((await timeoutAfter([100, 100, 100])) < FORGOTTEN_MS);
});

// Guards against an item that never comes to its end at engines that are slow
// for all.
test('each silence of a target that responds to others lengthens the timeout', async t => {
  const first = idleTimeoutMs(0);
  const last = await timeoutAfter([first - 1, 2 * first - 1, 4 * first - 1]);
  t.is(last, idleTimeoutMs(3));
});

// Guards against an item that a target to which no connection can be opened
// holds up, and against a run of it that never ends: the target must count as
// one that refuses connections, and the item as not sent.
test('an item waits for another target if no connection can be opened', async t => {
  const host = new ItemRunFixture();
  const starter = new ItemStarter(host.context);
  const candidate = newCandidate('i');
  host.connectFailure = new Error('Invalid URL');
  t.is(await starter.start(candidate, ROUTE), 'placed');
  await setImmediate();
  const {work} = candidate;
  t.is(work.stage.kind, 'waiting');
  t.is(work.failures, 0);
  t.deepEqual(work.failedTargets, []);
  t.true(host.suspensions.isFailing(TARGET_ID));
  const ended = host.recorded.events.find(
    ({name}) => name === 'item-run-ended',
  );
  t.like(ended, {end: 'unsent', target: TARGET_ID});
  host.connectFailure = undefined;
  t.is(await starter.start(candidate, ROUTE), 'placed');
  t.is(work.stage.kind, 'running');
});
