import test from 'ava';
import {
  planLoadReports,
  loadIntervals,
} from '../../lib/connection/load_intervals.js';

const OPTIONS = {periodMs: 60, maxDatagramsPerSecond: 150};
const MS_PER_SECOND = 1000;

test('in a small fleet all hosts get reports at the same interval', t => {
  t.deepEqual(loadIntervals(2, 6, OPTIONS), {localMs: 60, remoteMs: 60});
});

// Guards against batch items that are preempted over and over on a larger
// fleet, because reports about local targets arrive as late as those about the
// most distant ones. With more hosts than the rate limit allows to reach at the
// minimum interval, local hosts must still be updated in time.
test('in a larger fleet local hosts get more reports, within the limit', t => {
  for (const [localHosts, remoteHosts] of [
    [6, 22],
    [7, 28],
    [24, 75],
    [56, 283],
  ] as const) {
    const {localMs, remoteMs} = loadIntervals(localHosts, remoteHosts, OPTIONS);
    const sent = localHosts / localMs + remoteHosts / remoteMs;
    t.true(sent * MS_PER_SECOND <= 150.001, `${localHosts} and ${remoteHosts}`);
    t.true(localMs < remoteMs, `${localHosts} and ${remoteHosts}`);
  }
  t.is(loadIntervals(6, 22, OPTIONS).localMs, 60);
});

test('a single data centre uses the whole rate limit', t => {
  t.is(loadIntervals(30, 0, OPTIONS).localMs, 200);
});

// Guards against requests that queue in each burst on a large fleet, because
// the loads of other data centres are as old as the burst is long. Regardless
// of the number of hosts, the loads must arrive within the burst.
test('loads of other data centres arrive within a burst and the limit', t => {
  const options = {...OPTIONS, maxDirectRemoteMs: 333, relayMs: 500};
  for (const [localHosts, remoteHosts, dataCentres] of [
    [7, 28, 4],
    [14, 73, 5],
    [56, 283, 5],
  ] as const) {
    const plan = planLoadReports(localHosts, remoteHosts, dataCentres, options);
    if (plan.kind !== 'relayed')
      return t.fail(`${localHosts} and ${remoteHosts}`);
    t.true(
      plan.relayMs + plan.localMs < 1000,
      `${localHosts} and ${remoteHosts}`,
    );
    const sent = localHosts / plan.localMs + dataCentres / plan.relayMs;
    t.true(sent * MS_PER_SECOND <= 150.001, `${localHosts} and ${remoteHosts}`);
  }
});

test('hosts of a small fleet report to each other directly', t => {
  const options = {...OPTIONS, maxDirectRemoteMs: 333, relayMs: 500};
  t.is(planLoadReports(2, 6, 3, options).kind, 'direct');
  t.is(planLoadReports(30, 0, 0, options).kind, 'direct');
});
