import test from 'ava';
import {StepClock} from '../../lib/process/step_clock.js';

test('a stream that gets its next token ends a step', t => {
  const clock = new StepClock();
  clock.begin(0);
  t.is(clock.token('a', 50), 50);
  t.is(clock.token('b', 50), undefined);
  t.is(clock.token('b', 70), 20);
  t.is(clock.token('a', 70), undefined);
  t.is(clock.since, 70);
});

test('a new stream ends a step when the old ones are gone', t => {
  const clock = new StepClock();
  clock.begin(0);
  clock.token('a', 20);
  t.is(clock.token('a', 40), 20);
  t.is(clock.token('b', 61), 21);
});

test('an idle engine has no step', t => {
  const clock = new StepClock();
  clock.begin(0);
  clock.token('a', 20);
  clock.idle();
  t.is(clock.since, undefined);
  clock.begin(500);
  t.is(clock.token('c', 540), 40);
});
