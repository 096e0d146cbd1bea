import test from 'ava';
import {earliestArrival} from '../../lib/process/signal_arrival.js';

const longestGapMs = 250;

// Guards against a stop that gives up time for nothing: the process did not
// stand still, so the signal came since the last check.
test('a signal came since the last check if the process ran on', t => {
  const checks = {previousAt: 1000, lastAt: 1250, longestGapMs};
  t.is(earliestArrival(checks), 1250);
});

// Guards against a stop that ends after the kill: its signal came while the
// process stood still, and the check that ended the stall was ahead of it.
test('a signal that is handled after a stall may have come at its begin', t => {
  const checks = {previousAt: 1000, lastAt: 3500, longestGapMs};
  t.is(earliestArrival(checks), 1000);
});
