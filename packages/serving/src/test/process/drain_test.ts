import test from 'ava';
import {NO_EVENT_LOG, sleep, type Clock} from '@oathead/core';
import {drain} from '../../lib/process/drain.js';

const STOP = {startedAt: 0, endsAt: 7600};
/** When the platform kills what is left, in milliseconds. */
const GRACE_MS = 8000;
const LINGER_MS = 3000;

/** A clock whose timers come at once and advance it. */
function hastyClock(): Clock {
  let time = 0;
  return {
    now: () => time,
    wallTime: () => time,
    after: (delayMs, callback) => {
      const immediate = setImmediate(() => {
        time += delayMs;
        callback();
      });
      return {[Symbol.dispose]: () => clearImmediate(immediate)};
    },
  };
}

/** A server for callers that records what is asked of it, and when. */
function recordingServer(clock: Clock, openAt: (now: number) => number) {
  const calls: Array<readonly [string, number]> = [];
  const record = (call: string) => calls.push([call, clock.now()]);
  return {
    calls,
    get openRequests() {
      return openAt(clock.now());
    },
    beginStop: () => void record('beginStop'),
    stopListening: () => void record('stopListening'),
    closeIdle: () => void record('closeIdle'),
    endOpenRequests: () => {
      record('endOpenRequests');
      return openAt(clock.now());
    },
  };
}

test('a stop without work ends with the time for the load balancer', async t => {
  const clock = hastyClock();
  const server = recordingServer(clock, () => 0);
  const handOver = async () => {};
  await drain(STOP, {clock, log: NO_EVENT_LOG, server, handOver});
  t.true(clock.now() >= LINGER_MS && clock.now() < LINGER_MS + 200);
  t.deepEqual(server.calls[0], ['beginStop', 0]);
  const closings = server.calls.filter(([call]) => call === 'stopListening');
  t.true(closings.every(([, at]) => at >= LINGER_MS));
});

// Guards against callers that are cut off without an answer when the time of a
// stop is over, or by the kill that follows.
test('what never ends is answered at the end of the stop, before the kill', async t => {
  const clock = hastyClock();
  const server = recordingServer(clock, () => 1);
  const handOver = async () => {};
  await drain(STOP, {clock, log: NO_EVENT_LOG, server, handOver});
  const endings = server.calls.filter(([call]) => call === 'endOpenRequests');
  t.is(endings.length, 1);
  t.true(endings[0]![1] >= STOP.endsAt);
  t.true(clock.now() < GRACE_MS - 100);
});

// Guards against a request that is cut off unread: it arrived while the process
// stood still, and the end of the stop was decided before it was read.
test('what has arrived is read before the process exits', async t => {
  const clock = hastyClock();
  const endsAt = LINGER_MS + 500;
  let hasRead = false;
  const openAt = (now: number) => {
    if (now >= LINGER_MS && !hasRead) setImmediate(() => (hasRead = true));
    return hasRead && now < endsAt ? 1 : 0;
  };
  const server = recordingServer(clock, openAt);
  const handOver = async () => {
    while (clock.now() < LINGER_MS) await sleep(clock, 1);
    openAt(clock.now());
  };
  await drain(STOP, {clock, log: NO_EVENT_LOG, server, handOver});
  t.true(clock.now() >= endsAt);
});

test('the process exits as soon as the last responses are sent', async t => {
  const clock = hastyClock();
  const server = recordingServer(clock, now =>
    now < STOP.endsAt + 50 ? 1 : 0,
  );
  const handOver = async () => {};
  await drain(STOP, {clock, log: NO_EVENT_LOG, server, handOver});
  t.true(clock.now() <= STOP.endsAt + 100);
});

// Guards against a stop that waits for a store that does not respond until its
// process is killed.
test('jobs that cannot be handed over do not hold up the end of the stop', async t => {
  const clock = hastyClock();
  const server = recordingServer(clock, () => 0);
  const handOver = () => new Promise<void>(() => {});
  await drain(STOP, {clock, log: NO_EVENT_LOG, server, handOver});
  t.true(clock.now() >= STOP.endsAt && clock.now() < STOP.endsAt + 100);
});
