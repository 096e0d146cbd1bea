import {setImmediate} from 'node:timers/promises';
import test from 'ava';
import {ItemStarter} from '../../lib/process/item_starter.js';
import {preemptionPauseMs} from '../../lib/process/preemption_pause.js';
import {
  ItemRunFixture,
  newCandidate,
  ROUTE,
} from '../fakes/item_run_fixture.js';

/** For as long as the item of an overload is kept, in milliseconds. */
const RETENTION_MS = 60_000;
/** How long a slot is free in such an overload, in milliseconds. */
const FREE_MS = 57;
/** An item that no target has had for so long counts as forgotten. */
const FORGOTTEN_MS = 5000;

/** Runs an item whenever it may, and preempts each run. */
async function runsInOverload(): Promise<number> {
  const host = new ItemRunFixture();
  const starter = new ItemStarter(host.context);
  const candidate = newCandidate('i');
  const {work} = candidate;
  while (host.nowMs < RETENTION_MS) {
    await starter.start(candidate, ROUTE);
    host.nowMs += FREE_MS;
    if (work.stage.kind === 'running') work.stage.control.end('yield');
    await setImmediate();
    if (work.stage.kind === 'waiting')
      host.nowMs = Math.max(host.nowMs, work.stage.notBefore);
  }
  return work.runs;
}

// Guards against an item that is started and preempted about three times a
// second until it is given up.
test('an item whose runs are fruitless is started less and less often', async t => {
  const runs = await runsInOverload();
  t.true(runs > RETENTION_MS / FORGOTTEN_MS, `${runs}`);
  t.true(runs < RETENTION_MS / 1000, `${runs}`);
});

test('the pauses after preemptions grow up to a bound', t => {
  const pauses = [0, 1, 4, 5, 6, 7, 8, 60].map(preemptionPauseMs);
  t.deepEqual(pauses, [250, 250, 250, 500, 1000, 2000, 2000, 2000]);
});
