import test from 'ava';
import {PaceMeter} from '../../lib/connection/pace_meter.js';

const PACE_MS = 25;
const SLOW_PACE_MS = 125;

/** @returns When something was measured, and what, in milliseconds. */
function measure(paceAt: (now: number) => number, endMs: number) {
  const meter = new PaceMeter();
  const measured: Array<readonly [at: number, ms: number]> = [];
  for (let now = 0; now < endMs; now += paceAt(now)) {
    const ms = meter.add(1, now);
    if (ms !== undefined) measured.push([now, ms]);
  }
  return measured;
}

// Guards against one long stream that outweighs the runs of all others.
test('a steady stream is measured less and less often', t => {
  const measured = measure(() => PACE_MS, 10_000);
  t.true(measured.length <= 8, `${measured.length}`);
  t.true(measured[0]![0] <= 300);
  for (const [, ms] of measured) t.is(ms, PACE_MS);
});

// Guards against a target that is known as slow only when its long streams,
// which last longer the slower it is, have ended.
test('a change is told within a few events', t => {
  const changeMs = 5000;
  const measured = measure(
    now => (now < changeMs ? PACE_MS : SLOW_PACE_MS),
    10_000,
  );
  const [at] = measured.find(([, ms]) => ms > SLOW_PACE_MS / 2)!;
  t.true(at - changeMs < 6 * SLOW_PACE_MS, `${at}`);
});

// Guards against a pause for another request's prompt that counts as a slow
// target, and against events that come together and count as a fast one.
test('a few events tell nothing', t => {
  const meter = new PaceMeter();
  t.is(meter.add(1, 0), undefined);
  t.is(meter.add(1, 1000), undefined);
  t.is(meter.add(2, 1010), undefined);
  t.is(meter.add(8, 1020), 1020 / 11);
  t.is(meter.add(9, 1021), undefined);
});
