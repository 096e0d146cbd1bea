import test from 'ava';
import {trace} from '@opentelemetry/api';
import {NO_COUNTERS, RetryPolicy, mayHaveRun} from '@oathead/core';
import type {ServeEvent} from '@oathead/core';
import {VirtualClock} from '@oathead/stand-ins';
import {LocalSuspects} from '../../lib/process/suspect_registry.js';
import {Dispatcher} from '../../lib/request/dispatcher.js';
import type {ServeCall} from '../../lib/request/online_call.js';
import {
  DONE,
  ScriptedFleet,
  allOf,
  endText,
  overloaded,
  serveCall,
  tokens,
} from '../fakes.js';
import type {Script} from '../fakes.js';

const STARTED: ServeEvent = {kind: 'started', version: 'v1'};
const DIED: ServeEvent = {
  kind: 'refused',
  refusal: mayHaveRun('engine-failed', 'the engine broke'),
};

function setUp(...scripts: readonly Script[]) {
  const clock = new VirtualClock();
  const fleet = new ScriptedFleet(scripts);
  const suspects = new LocalSuspects(NO_COUNTERS);
  const dispatcher = new Dispatcher({
    clock,
    counters: NO_COUNTERS,
    tracer: trace.getTracer('test'),
    entryId: 'e1',
    fleet,
    retries: new RetryPolicy(),
    suspects,
  });
  const send = (fields: Partial<ServeCall> = {}) =>
    allOf(dispatcher.serve(serveCall(fields), new AbortController().signal));
  return {clock, fleet, suspects, send};
}

test('passes on what a target tells', async t => {
  const {send} = setUp([STARTED, tokens(0, 'a'), tokens(1, 'b'), DONE]);
  t.deepEqual(await send(), [STARTED, tokens(0, 'a'), tokens(1, 'b'), DONE]);
});

test('goes to another target when one is full', async t => {
  const {fleet, send} = setUp([overloaded()], [STARTED, DONE]);
  t.is(endText(await send()), 'done');
  t.deepEqual([...fleet.queries[1]!.tried], ['t1']);
});

test('when all are full says so, not run, with the time to come back', async t => {
  const {send} = setUp([overloaded()], [overloaded()], [overloaded()]);
  const events = await send();
  t.is(endText(events), 'overloaded not-run');
  const last = events.at(-1)!;
  t.is(last.kind === 'refused' && last.refusal.retryAfterMs, 100);
});

// A dispatcher sees half an answer when its target is lost. The other half
// comes from another target, which goes on behind the tokens it has seen: the
// connection broke, the request is idempotent and may run again.
test('goes on with a stream behind what was passed on', async t => {
  const {fleet, send} = setUp(
    [STARTED, tokens(0, 'a'), 'lost'],
    [STARTED, tokens(1, 'b'), DONE],
  );
  const events = await send();
  t.deepEqual(events, [STARTED, tokens(0, 'a'), tokens(1, 'b'), DONE]);
  t.deepEqual(fleet.requests[1]!.resume, {text: 'a', tokens: 1});
});

// A call-out is on its way when the link to its target is lost. The pilot must
// not be called twice: it is not sent again, and its caller is told that it may
// have run.
test('what may run only once is not sent again once it may have run', async t => {
  const {fleet, send} = setUp(['lost'], [STARTED, DONE]);
  t.is(endText(await send({idempotent: false})), 'target-lost may-have-run');
  t.is(fleet.requests.length, 1);
});

// The first target is lost with the request, the second refuses it as not run.
// That is true of the second alone: the caller must not hear "not run".
test('"not run" is said only if no target may have run it', async t => {
  const {send} = setUp(['lost'], [overloaded()]);
  t.is(endText(await send()), 'overloaded may-have-run');
});

// A frame is lost on the way and the next one arrives. A caller would not see
// that its answer has a hole, so the stream counts as broken.
test('a gap in the tokens breaks the stream', async t => {
  const {send} = setUp([STARTED, tokens(0, 'a'), tokens(2, 'c'), DONE]);
  const events = await send();
  t.is(endText(events), 'target-lost may-have-run');
  t.false(events.some(event => event.kind === 'done'));
});

// One request takes every engine down that runs it, and its caller sends it
// again and again. It runs alone the second time, and is refused after that,
// before a third engine is lost.
test('work that kills targets runs alone, then no more', async t => {
  const {fleet, suspects, send} = setUp([STARTED, DIED], [STARTED, DIED]);
  t.is(endText(await send()), 'engine-failed may-have-run');
  t.deepEqual(
    fleet.requests.map(req => req.suspect ?? false),
    [false, true],
  );
  t.is(endText(await send()), 'suspect not-run');
  t.is(fleet.requests.length, 2);
  t.false(suspects.empty);
});

test('an innocent beside it is cleared by running alone', async t => {
  const {suspects, send} = setUp([STARTED, DIED], [STARTED, DONE]);
  t.is(endText(await send()), 'done');
  t.true(suspects.empty);
});

// A target takes a request and never answers. The caller has named a deadline
// and must have its final answer then.
test('the deadline ends a request that nobody answers', async t => {
  const {clock, send} = setUp([STARTED, 'hang']);
  const ended = send({deadline: 1000});
  await clock.advance(2000);
  t.is(endText(await ended), 'deadline-exceeded may-have-run');
});

test('a batch item is attempted once', async t => {
  const {fleet, send} = setUp([overloaded()], [STARTED, DONE]);
  t.is(endText(await send({class: 'batch'})), 'overloaded not-run');
  t.is(fleet.requests.length, 1);
});
