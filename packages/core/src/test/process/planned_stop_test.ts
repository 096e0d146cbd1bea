import test from 'ava';
import {admitDuringStop} from '../../lib/process/planned_stop.js';

const STOP = {startedAt: 1000, endsAt: 8600};
const ROUTE_MS = 5000;
const CALLER_INTERVAL_MS = 100;

test('without a stop all work is taken', t => {
  t.is(admitDuringStop(undefined, Number.POSITIVE_INFINITY, 0).kind, 'take');
});

test('work that ends with the stop is taken, longer work is refused', t => {
  t.is(admitDuringStop(STOP, STOP.endsAt, 2000).kind, 'take');
  t.deepEqual(admitDuringStop(STOP, STOP.endsAt + 1, 2000), {
    kind: 'refuse',
    sinceStopMs: 1000,
    leftMs: 6600,
    neededMs: 6601,
  });
});

test('after the end of the stop no time is left', t => {
  const verdict = admitDuringStop(STOP, 9000, 8700);
  t.like(verdict, {kind: 'refuse', leftMs: 0, neededMs: 300});
});

// Guards against requests that a stopping process takes and cuts off when its
// time is over: a caller sends one request after the other, each of which may
// take as long as its route allows.
test('no request of a steady load outlasts the stop that takes it', t => {
  const {startedAt, endsAt} = STOP;
  for (let now = startedAt; now <= endsAt; now += CALLER_INTERVAL_MS) {
    const {kind} = admitDuringStop(STOP, now + ROUTE_MS, now);
    t.is(kind, now + ROUTE_MS <= endsAt ? 'take' : 'refuse');
  }
});
