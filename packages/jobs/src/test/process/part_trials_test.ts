import test from 'ava';
import {crashPauseMs} from '../../lib/process/crash_pause.js';
import {PartTrials} from '../../lib/process/part_trials.js';
import {VirtualClock} from '../fakes/virtual_clock.js';

const PARTS = ['shared'];
/** An item that no target has had for so long counts as forgotten. */
const FORGOTTEN_MS = 5000;

// Guards against an item that is held for good because targets crashed under it.
test('no number of crashes holds an item until it counts as forgotten', t => {
  for (let crashes = 0; crashes < 100; crashes++)
    t.true(crashPauseMs(crashes) < FORGOTTEN_MS / 2);
});

test('the pauses of an item grow from the third crash on', t => {
  const pauses = [0, 1, 2, 3, 4, 5, 6].map(crashPauseMs);
  t.deepEqual(pauses, [0, 0, 0, 500, 1000, 2000, 2000]);
});

// Guards against a job that takes all targets down if a part of its items crashes
// them all the same.
test('items with a blocked part run one at a time', t => {
  const clock = new VirtualClock();
  const trials = new PartTrials(() => clock.now());
  t.true(trials.mayStart(PARTS));
  const trial = trials.start(PARTS);
  t.false(trials.mayStart(PARTS));
  t.true(trials.mayStart(['other']));
  trial.end(false);
  t.true(trials.mayStart(PARTS), 'a run that was ended early uses up nothing');
});

test('the pauses between items with a blocked part grow with each crash', async t => {
  const clock = new VirtualClock();
  const trials = new PartTrials(() => clock.now());
  for (let crashes = 1; crashes < 10; crashes++) {
    t.true(trials.mayStart(PARTS));
    trials.start(PARTS).end(true);
    t.is(trials.mayStart(PARTS), crashPauseMs(crashes) === 0);
    await clock.advance(crashPauseMs(crashes));
  }
});

test('an item without blocked parts starts at once', t => {
  const trials = new PartTrials(() => 0);
  trials.start(PARTS);
  t.true(trials.mayStart([]));
});
