import test from 'ava';
import {StepDetector} from '../../lib/process/step_detector.js';

test('the next token of a stream ends a step', t => {
  const clock = new StepDetector();
  clock.begin(0);
  t.is(clock.token('a', 50), 50);
  t.is(clock.token('b', 50), undefined);
  t.is(clock.token('b', 70), 20);
  t.is(clock.token('a', 70), undefined);
  t.is(clock.since, 70);
});

test('a token of a new stream ends a step if the old ones have ended', t => {
  const clock = new StepDetector();
  clock.begin(0);
  clock.token('a', 20);
  t.is(clock.token('a', 40), 20);
  t.is(clock.token('b', 61), 21);
});

test('an idle engine has no step in progress', t => {
  const clock = new StepDetector();
  clock.begin(0);
  clock.token('a', 20);
  clock.idle();
  t.is(clock.since, undefined);
  clock.begin(500);
  t.is(clock.token('c', 540), 40);
});
