import test from 'ava';
import {TargetHealth} from '../../lib/connection/target_health.js';

const QUICK_MS = 20;
const SLOW_MS = 100;

function answerAll(
  health: TargetHealth,
  from: number,
  seconds: number,
  lastMs: number,
): number {
  const end = from + seconds * 1000;
  for (let now = from; now < end; now += 100) {
    health.recordSuccess('t0', QUICK_MS, now);
    health.recordSuccess('t1', QUICK_MS, now);
    health.recordSuccess('t2', lastMs, now);
  }
  return end;
}

test('a slow target loses share gradually and regains it gradually', t => {
  const health = new TargetHealth();
  let now = answerAll(health, 0, 1, QUICK_MS);
  t.is(health.share('t2'), 1);
  now = answerAll(health, now, 1, SLOW_MS);
  const soon = health.share('t2');
  t.true(soon < 1 && soon > 0.4);
  now = answerAll(health, now, 10, SLOW_MS);
  t.true(health.share('t2') < 0.1);
  t.true(health.isOutlier('t2'));
  t.is(health.share('t0'), 1);
  now = answerAll(health, now, 5, QUICK_MS);
  t.true(health.share('t2') < 0.5);
  answerAll(health, now, 30, QUICK_MS);
  t.is(health.share('t2'), 1);
  t.false(health.isOutlier('t2'));
});

test('a failing target keeps a small share and regains more over time', t => {
  const health = new TargetHealth();
  let now = 0;
  for (; now < 10_000; now += 100) health.recordFailure('t0', now);
  const low = health.share('t0');
  t.true(low > 0 && low < 0.1);
  for (; now < 300_000; now += 1000) health.tick(now);
  t.true(health.share('t0') > 0.9);
});

// One of two targets fails all requests and still gets half of the traffic. The
// latency of a target that never answered grew from zero, so the healthy target
// looked slow in comparison and lost share as fast.
test('a target that only fails does not make the others look slow', t => {
  const health = new TargetHealth();
  for (let now = 0; now < 4000; now += 50) {
    health.recordSuccess('well', QUICK_MS, now);
    health.recordFailure('failing', now);
    if (now % 1000 === 0) health.tick(now);
  }
  t.is(health.share('well'), 1);
  t.true(health.share('failing') < 0.1);
});
