import test from 'ava';
import {
  planLoadReports,
  loadIntervals,
} from '../../lib/connection/load_intervals.js';

const OPTIONS = {periodMs: 60, maxDatagramsPerSecond: 150};
const MS_PER_SECOND = 1000;

test('in a small fleet all hosts get reports at the same interval', t => {
  t.deepEqual(loadIntervals(2, 6, OPTIONS), {nearMs: 60, farMs: 60});
});

// Guards against batch items that are preempted over and over on a larger
// fleet, because reports about local targets arrive as late as those about the
// most distant ones. With more hosts than the rate limit allows to reach at the
// minimum interval, local hosts must still be updated in time.
test('in a larger fleet local hosts get more reports, within the limit', t => {
  for (const [near, far] of [
    [6, 22],
    [7, 28],
    [24, 75],
    [56, 283],
  ] as const) {
    const {nearMs, farMs} = loadIntervals(near, far, OPTIONS);
    const sent = near / nearMs + far / farMs;
    t.true(sent * MS_PER_SECOND <= 150.001, `${near} and ${far}`);
    t.true(nearMs < farMs, `${near} and ${far}`);
  }
  t.is(loadIntervals(6, 22, OPTIONS).nearMs, 60);
});

test('a single data centre uses the whole rate limit', t => {
  t.is(loadIntervals(30, 0, OPTIONS).nearMs, 200);
});

// Guards against requests that queue in each burst on a large fleet, because
// the loads of other data centres are as old as the burst is long. Regardless
// of the number of hosts, the loads must arrive within the burst.
test('loads of other data centres arrive within a burst and the limit', t => {
  const options = {...OPTIONS, directFarMs: 333, relayMs: 500};
  for (const [near, far, dataCentres] of [
    [7, 28, 4],
    [14, 73, 5],
    [56, 283, 5],
  ] as const) {
    const plan = planLoadReports(near, far, dataCentres, options);
    if (plan.kind !== 'relayed') return t.fail(`${near} and ${far}`);
    t.true(plan.relayMs + plan.nearMs < 1000, `${near} and ${far}`);
    const sent = near / plan.nearMs + dataCentres / plan.relayMs;
    t.true(sent * MS_PER_SECOND <= 150.001, `${near} and ${far}`);
  }
});

test('hosts of a small fleet report to each other directly', t => {
  const options = {...OPTIONS, directFarMs: 333, relayMs: 500};
  t.is(planLoadReports(2, 6, 3, options).kind, 'direct');
  t.is(planLoadReports(30, 0, 0, options).kind, 'direct');
});
