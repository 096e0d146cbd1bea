/** What callers of a stopping entry get: a small fleet with real sockets. */
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {SYSTEM_CLOCK, sleep} from '@oathead/core';
import {DEMO_POOLS, startLocalFleet} from '../../lib/process/local_fleet.js';
import {RawCaller} from '../raw_caller.js';

const STREAM_HEAD = 'data: {';
/** More than a minute of the engine's work. */
const LONG = {prompt: '[[slow]]', max_tokens: 4000};
const SHORT = {stream: true, max_tokens: 16};
const ITEM = {
  id: 'file-1',
  completion: {model: DEMO_POOLS.model, prompt: 'Review.', max_tokens: 4},
};
const SOON = {'oathead-deadline-ms': '2000'};
/** Grace period of the entries of a local fleet. */
const GRACE_MS = 5000;
const SOME_MS = 300;

async function start(t: ExecutionContext) {
  const fleet = await startLocalFleet({
    entries: 1,
    modelTargets: 1,
    serviceTargets: 1,
  });
  const url = fleet.urls[0]!;
  const callers: RawCaller[] = [];
  t.teardown(() => {
    for (const caller of callers) caller[Symbol.dispose]();
  });
  let stopped: Promise<void> | undefined;
  const stop = () => (stopped ??= fleet.stop());
  t.teardown(stop);
  return {
    stop,
    connect: async () => {
      const caller = await RawCaller.connect(url);
      callers.push(caller);
      return caller;
    },
  };
}

function assertRefused(t: ExecutionContext, {received}: RawCaller): void {
  t.regex(received, /^HTTP\/1\.1 503 /);
  t.regex(received, /\r\nconnection: close\r\n/i);
  t.regex(received, /\r\noathead-ran: not-run\r\n/);
  t.true(received.includes('"kind":"leaving"'));
}

// A stopping entry takes requests on the connections of streams that ran when the
// signal came, and on those that carried none yet, and cuts them at its own end.
test('a request that may outlast a stopping entry is refused unrun', async t => {
  const {connect, stop} = await start(t);
  const [kept, unused] = [await connect(), await connect()];
  kept.complete({stream: true, max_tokens: 60});
  await kept.until(STREAM_HEAD);
  const stopped = stop();
  await kept.until('[DONE]');
  kept.complete(SHORT);
  unused.complete(SHORT);
  await Promise.all([kept.untilClosed(), unused.untilClosed()]);
  assertRefused(t, kept);
  assertRefused(t, unused);
  await stopped;
});

// A job that a stopping entry accepts may be cut before its caller is told.
test('a job that comes to a stopping entry is refused, not accepted', async t => {
  const {connect, stop} = await start(t);
  const [running, late] = [await connect(), await connect()];
  running.complete({stream: true, max_tokens: 60});
  await running.until(STREAM_HEAD);
  const stopped = stop();
  await sleep(SYSTEM_CLOCK, SOME_MS / 10);
  late.send('/v1/batch-jobs', {id: 'night', items: [ITEM]});
  await late.untilClosed();
  assertRefused(t, late);
  await stopped;
});

test('a request that ends before the stop does is served', async t => {
  const {connect, stop} = await start(t);
  const [running, late] = [await connect(), await connect()];
  running.complete({stream: true, max_tokens: 60});
  await running.until(STREAM_HEAD);
  const stopped = stop();
  await sleep(SYSTEM_CLOCK, SOME_MS / 10);
  late.complete({max_tokens: 4}, SOON);
  await late.untilClosed();
  t.regex(late.received, /^HTTP\/1\.1 200 /);
  t.regex(late.received, /\r\nconnection: close\r\n/i);
  await stopped;
});

// Requests that run at the end of the grace period get no answer: their
// connections are left open until the process is killed.
test('what a stopping entry has not answered at its end is told so', async t => {
  const {connect, stop} = await start(t);
  const [stream, whole, unused] = [
    await connect(),
    await connect(),
    await connect(),
  ];
  stream.complete({...LONG, stream: true});
  await stream.until(STREAM_HEAD);
  whole.complete(LONG);
  await sleep(SYSTEM_CLOCK, SOME_MS);
  const startedAt = performance.now();
  const stopped = stop();
  const ended = Promise.all(
    [stream, whole, unused].map(caller => caller.untilClosed()),
  );
  await Promise.race([ended, sleep(SYSTEM_CLOCK, GRACE_MS + 2 * SOME_MS)]);
  t.true(performance.now() - startedAt < GRACE_MS + SOME_MS);
  t.deepEqual([stream.closed, whole.closed, unused.closed], [true, true, true]);
  t.false(stream.received.includes('[DONE]'));
  t.regex(stream.received, /event: error\ndata: .*"leaving".*"may-have-run"/);
  t.regex(whole.received, /^HTTP\/1\.1 503 /);
  t.regex(whole.received, /\r\noathead-ran: may-have-run\r\n/);
  await stopped;
});
