import test from 'ava';
import {LatencyLimit} from '../../lib/process/latency_limit.js';

const MOST = 100;
const PLACES = 40;

/** A service that answers in 10 ms until its places are full. */
function serve(limit: LatencyLimit, calls: number): void {
  for (let i = 0; i < calls; i++) {
    const running = limit.capacity(MOST);
    const latencyMs = 10 * Math.max(1, running / PLACES);
    limit.ended(latencyMs, running, MOST);
  }
}

test('grows while calls are quick, and stops where they queue', t => {
  const limit = new LatencyLimit();
  serve(limit, 20_000);
  const settled = limit.capacity(MOST);
  t.true(settled >= PLACES && settled < 2.5 * PLACES, `${settled}`);
});

test('shrinks when the service turns slow and grows again after', t => {
  const limit = new LatencyLimit();
  serve(limit, 5_000);
  const before = limit.capacity(MOST);
  for (let i = 0; i < 300; i++) limit.ended(200, limit.capacity(MOST), MOST);
  t.true(limit.capacity(MOST) < before / 2);
  serve(limit, 5_000);
  t.true(limit.capacity(MOST) >= PLACES / 2);
});

test('stays within what is declared', t => {
  const limit = new LatencyLimit();
  t.is(limit.capacity(3), 3);
});
