import test from 'ava';
import {loadSpacing} from '../../lib/connection/load_pace.js';

const OPTIONS = {periodMs: 60, maxDatagramsPerSecond: 150};
const MS_PER_SECOND = 1000;

test('a few hosts all hear as often as each other', t => {
  t.deepEqual(loadSpacing(2, 6, OPTIONS), {nearMs: 60, farMs: 60});
});

// Items are cut again and again on a larger fleet: each host knows the loads of
// the targets next to it as late as those of the farthest ones. With more hosts
// than the bound allows for, near ones must still hear in time.
test('with more hosts near ones hear sooner, within the bound', t => {
  for (const [near, far] of [
    [6, 22],
    [7, 28],
    [24, 75],
    [56, 283],
  ] as const) {
    const {nearMs, farMs} = loadSpacing(near, far, OPTIONS);
    const sent = near / nearMs + far / farMs;
    t.true(sent * MS_PER_SECOND <= 150.001, `${near} and ${far}`);
    t.true(nearMs < farMs, `${near} and ${far}`);
  }
  t.is(loadSpacing(6, 22, OPTIONS).nearMs, 60);
});

test('one data centre alone has the whole bound', t => {
  t.is(loadSpacing(30, 0, OPTIONS).nearMs, 200);
});
