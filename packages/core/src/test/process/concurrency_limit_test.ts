import test from 'ava';
import {ConcurrencyLimit} from '../../lib/process/concurrency_limit.js';

const MAX_CALLS = 100;
const SLOTS = 40;

/**
 * Simulates a service with 40 slots that answers in 10 ms until they are full.
 */
function serve(limit: ConcurrencyLimit, calls: number): void {
  for (let i = 0; i < calls; i++) {
    const running = limit.capacity(MAX_CALLS);
    const latencyMs = 10 * Math.max(1, running / SLOTS);
    limit.ended(latencyMs, running, MAX_CALLS);
  }
}

test('grows while calls are fast, and stops when they are queued', t => {
  const limit = new ConcurrencyLimit();
  serve(limit, 20_000);
  const settled = limit.capacity(MAX_CALLS);
  t.true(settled >= SLOTS && settled < 2.5 * SLOTS, `${settled}`);
});

test('shrinks when the service becomes slow and grows again afterwards', t => {
  const limit = new ConcurrencyLimit();
  serve(limit, 5_000);
  const before = limit.capacity(MAX_CALLS);
  for (let i = 0; i < 300; i++)
    limit.ended(200, limit.capacity(MAX_CALLS), MAX_CALLS);
  t.true(limit.capacity(MAX_CALLS) < before / 2);
  serve(limit, 5_000);
  t.true(limit.capacity(MAX_CALLS) >= SLOTS / 2);
});

test('does not exceed the configured maximum', t => {
  const limit = new ConcurrencyLimit();
  t.is(limit.capacity(3), 3);
});
