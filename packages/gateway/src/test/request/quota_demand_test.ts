import test from 'ava';
import {quotaDemand, quotaKey} from '../../lib/request/quota_demand.js';
import {FakeClock} from '../fakes/fake_clock.js';
import {PROTOCOL} from '../fakes/raw_target.js';

/** Callers wait no more than a quarter of the time that they have left. */
const MAX_WAIT_SHARE = 0.25;
const RETURNING = {returning: true, key: quotaKey('request')};

function demandOf(deadlineMs: number | undefined) {
  const clock = new FakeClock();
  clock.advance(1500);
  const metadata = {...PROTOCOL.readRequest({}), deadlineMs};
  const protocol = {
    ...PROTOCOL,
    readRequest: () => metadata,
    maxRetryAfterMs: (leftMs: number) => leftMs * MAX_WAIT_SHARE,
  };
  const request = {
    req: {headers: {}},
    route: {timeoutMs: 5000},
    startedAt: 1200,
    returning: true,
    fingerprint: 'request',
  };
  return quotaDemand(request as never, {clock, protocol});
}

// A caller that is told to return later than it waits comes too soon, and is
// refused again.
test('room is asked for within the time that the caller waits', t => {
  t.deepEqual(demandOf(3300), {...RETURNING, maxWaitMs: 750});
  t.deepEqual(demandOf(60_000), {...RETURNING, maxWaitMs: 1175});
  t.deepEqual(demandOf(200), {...RETURNING, maxWaitMs: 0});
});

// Room that is reserved for a caller that is not recognized is lost.
test('no room is asked for if the caller states no deadline', t => {
  t.deepEqual(demandOf(undefined), RETURNING);
});
