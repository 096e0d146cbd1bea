import test from 'ava';
import {
  allowedDurationMs,
  plannedSlowdown,
} from '../../lib/process/latency_allowance.js';

const QUANTILES = [20, 50, 90];
const policy = (throughputWeight: number) => ({throughputWeight, maxHarm: 1.1});

test('at weight 0 no duration crosses a quantile', t => {
  const allowed = [5, 20, 21, 60, 120].map(ms =>
    allowedDurationMs(policy(0), ms, QUANTILES),
  );
  t.deepEqual(allowed, [20, 20, 50, 90, 120]);
  t.is(plannedSlowdown(policy(0), 0.4), 1);
});

test('at weight 1 durations grow to the tail, and those above it stay', t => {
  const allowed = [5, 60, 120].map(ms =>
    allowedDurationMs(policy(1), ms, QUANTILES),
  );
  t.deepEqual(allowed, [90, 90, 120]);
  t.is(plannedSlowdown(policy(1), 1), 1.1);
});

test('each increase of the weight allows slightly longer durations', t => {
  const weights = Array.from({length: 101}, (unused, i) => i / 100);
  const allowed = weights.map(weight =>
    allowedDurationMs(policy(weight), 5, QUANTILES),
  );
  const slowdowns = weights.map(weight => plannedSlowdown(policy(weight), 0.4));
  for (let i = 1; i < weights.length; i++) {
    const more = allowed[i]! - allowed[i - 1]!;
    t.true(more > 0 && more < 2);
    t.true(slowdowns[i]! > slowdowns[i - 1]!);
  }
});
