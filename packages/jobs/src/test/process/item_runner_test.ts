import {setImmediate} from 'node:timers/promises';
import type {AbortReason} from '@oathead/gateway';
import test from 'ava';
import type {ItemCandidate} from '../../lib/process/item_candidate.js';
import {idleTimeoutMs} from '../../lib/process/item_idle_timeout.js';
import {ItemStarter} from '../../lib/process/item_starter.js';
import {
  ItemRunFixture,
  newCandidate,
  ROUTE,
} from '../fakes/item_run_fixture.js';

/** An item that no target has for so long counts as forgotten. */
const FORGOTTEN_MS = 5000;

/** Runs an item on a host, which ends the run without a response. */
async function runOnce(
  host: ItemRunFixture,
  candidate: ItemCandidate,
  by: AbortReason,
): Promise<void> {
  await new ItemStarter(host.context).start(candidate, ROUTE);
  const {stage} = candidate.work;
  if (stage.kind === 'running') stage.control.end(by);
  await setImmediate();
}

// Guards against an item that is left at a target that has lost it, since other
// targets have fallen silent under it before.
test('targets that are silent for all leave the idle timeout as it is', async t => {
  const host = new ItemRunFixture();
  const candidate = newCandidate('i');
  host.isTargetActive = false;
  for (let run = 0; run < 3; run++) await runOnce(host, candidate, 'silent');
  t.is(candidate.work.runs, 3);
  t.true(idleTimeoutMs(candidate.work.idleTimeouts) < FORGOTTEN_MS);
});

// Guards against an item that never comes to its end at engines that are slow
// for all.
test('each silence of a target that responds to others lengthens the timeout', async t => {
  const host = new ItemRunFixture();
  const candidate = newCandidate('i');
  for (let run = 0; run < 3; run++) await runOnce(host, candidate, 'silent');
  t.is(candidate.work.idleTimeouts, 3);
});
