import test from 'ava';
import {allowedMs, plannedHarm} from '../../lib/process/harm_guard.js';

const QUANTILES = [20, 50, 90];
const policy = (throughputWeight: number) => ({throughputWeight, maxHarm: 1.1});

test('at weight 0 nothing crosses a quantile', t => {
  const allowed = [5, 20, 21, 60, 120].map(ms =>
    allowedMs(policy(0), ms, QUANTILES),
  );
  t.deepEqual(allowed, [20, 20, 50, 90, 120]);
  t.is(plannedHarm(policy(0), 0.4), 1);
});

test('at weight 1 all up to the tail is allowed, and what is above stays', t => {
  const allowed = [5, 60, 120].map(ms => allowedMs(policy(1), ms, QUANTILES));
  t.deepEqual(allowed, [90, 90, 120]);
  t.is(plannedHarm(policy(1), 1), 1.1);
});

test('every step of the weight allows a little more', t => {
  const weights = Array.from({length: 101}, (unused, i) => i / 100);
  const allowed = weights.map(weight =>
    allowedMs(policy(weight), 5, QUANTILES),
  );
  const harm = weights.map(weight => plannedHarm(policy(weight), 0.4));
  for (let i = 1; i < weights.length; i++) {
    const more = allowed[i]! - allowed[i - 1]!;
    t.true(more > 0 && more < 2);
    t.true(harm[i]! > harm[i - 1]!);
  }
});
