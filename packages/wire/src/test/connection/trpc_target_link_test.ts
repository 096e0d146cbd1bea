import {LinkLostError} from '@oathead/core';
import type {ServeEvent} from '@oathead/core';
import test from 'ava';
import {getEventListeners, once} from 'node:events';
import {
  ANSWER,
  LOAD,
  REQUEST,
  collect,
  startWire,
  virtualClock,
} from '../wire_fixture.js';

const NEVER = new AbortController().signal;
const STARTED = {kind: 'started', version: 'v1'} as const;
const DONE: ServeEvent = {kind: 'done', answer: ANSWER};

test('transmits a request and its complete answer', async t => {
  const {handler, link} = await startWire(t);
  const caller = collect(link.serve(REQUEST, NEVER));
  const call = await handler.nextCall();
  t.deepEqual(call.req, REQUEST);
  const tokens = {kind: 'tokens', index: 0, count: 1, text: 'yes'} as const;
  call.answer.push(STARTED);
  call.answer.push(tokens);
  call.answer.push(DONE);
  call.answer.end();
  await caller.ended;
  t.deepEqual(caller.got, [STARTED, tokens, DONE]);
});

test('aborting a call cancels the request at the target', async t => {
  const {handler, link} = await startWire(t);
  const controller = new AbortController();
  const caller = collect(link.serve(REQUEST, controller.signal));
  const call = await handler.nextCall();
  controller.abort();
  await caller.ended;
  await once(call.signal, 'abort');
  t.false(call.signal.reason instanceof LinkLostError);
});

test('an invalid request is refused by the target as not run', async t => {
  const {handler, link} = await startWire(t);
  const broken = {...REQUEST, timeoutMs: -1};
  const caller = collect(link.serve(broken, NEVER));
  await caller.ended;
  const [event] = caller.got;
  t.like(event, {
    kind: 'refused',
    refusal: {kind: 'invalid-request', ran: 'not-run'},
  });
  t.like(event, {refusal: {problems: [{path: 'timeoutMs'}]}});
  t.is(handler.calls.length, 0);
});

// Guards against a memory leak: all heartbeats of a connection share one signal
// for the life of the process, and each of them left a listener on it.
test('a heartbeat leaves no listener on its signal', async t => {
  const {link} = await startWire(t);
  const {signal} = new AbortController();
  for (let nth = 0; nth < 3; nth++) {
    await link.heartbeat({entryId: 'e1', cfgRevision: nth}, signal);
  }
  t.is(getEventListeners(signal, 'abort').length, 0);
});

test('transmits all other messages', async t => {
  const {handler, link} = await startWire(t);
  const heartbeat = {entryId: 'e1', cfgRevision: 3};
  t.deepEqual(await link.heartbeat(heartbeat, NEVER), {
    bootId: 'boot-1',
    load: LOAD,
  });
  const order = {
    id: 'o1',
    fence: {token: 1, holder: 'e1'},
    action: {kind: 'set-role', role: 'mixed'},
  } as const;
  t.deepEqual(await link.order(order, NEVER), {kind: 'taken'});
  await link.release(['bank-a/k1']);
  t.deepEqual(handler.released, ['bank-a/k1']);
  t.deepEqual(await link.cachedPrefixes(NEVER), ['p1', 'p2']);
  const {value} = await link.held('e1', NEVER).next();
  t.like(value, {dedupeKey: 'e1/k1', answer: ANSWER});
});

test('transmits load reports as changes', async t => {
  const {handler, link} = await startWire(t);
  const reports = link.reports(NEVER);
  handler.loads.push(LOAD);
  t.deepEqual((await reports.next()).value, LOAD);
  const next = {...LOAD, sequence: 2, leaving: true};
  handler.loads.push(next);
  t.deepEqual((await reports.next()).value, next);
});

test('a request to an unreachable target is refused as not run', async t => {
  const {link, proxy} = await startWire(t);
  proxy.refusing = true;
  const caller = collect(link.serve(REQUEST, NEVER));
  await caller.ended;
  t.like(caller.got[0], {
    kind: 'refused',
    refusal: {kind: 'target-lost', ran: 'not-run'},
  });
  t.is(link.state, 'lost');
});

// Guards against a stream that hangs indefinitely. A device between entry and
// target loses the state of the connection: no data and no error arrives, while
// new connections work. The link must resume the stream on a new connection
// after the last token received, and the target must not run the request again.
test('a silent connection is replaced and its stream resumes', async t => {
  const {clock, advance} = virtualClock();
  const {handler, link, proxy} = await startWire(t, {clock, silenceMs: 500});
  const caller = collect(link.serve(REQUEST, NEVER));
  const first = await handler.nextCall();
  first.answer.push(STARTED);
  first.answer.push({kind: 'tokens', index: 0, count: 2, text: 'it '});
  while (caller.got.length < 2) await new Promise(setImmediate);
  proxy.silence();
  advance(500);
  t.is(link.state, 'silent');
  advance(500);
  t.is(link.state, 'replacing');
  const second = await handler.nextCall();
  t.like(second.attachment, {
    id: 'r1',
    attempt: 1,
    bootId: 'boot-1',
    startedSeen: true,
    tokensSeen: 2,
  });
  t.is(link.state, 'open');
  const rest = {kind: 'tokens', index: 2, count: 1, text: 'is'} as const;
  second.answer.push(rest);
  second.answer.push(DONE);
  await caller.ended;
  t.deepEqual(caller.got.slice(2), [rest, DONE]);
});

// Guards against requests that run twice, or are cancelled, because their
// connection breaks. The link must reattach without an error to the caller, and
// the target must be able to tell a broken connection from a cancelled request.
test('a request is reattached to, not resent, on a new connection', async t => {
  const {handler, link, proxy} = await startWire(t);
  const caller = collect(link.serve(REQUEST, NEVER));
  const first = await handler.nextCall();
  proxy.cut();
  await once(first.signal, 'abort');
  t.true(first.signal.reason instanceof LinkLostError);
  const second = await handler.nextCall();
  t.like(second.attachment, {startedSeen: false, tokensSeen: 0});
  second.answer.push(STARTED);
  second.answer.push(DONE);
  await caller.ended;
  t.deepEqual(caller.got, [STARTED, DONE]);
  t.is(handler.calls.filter(({req}) => req).length, 1);
});

// Guards against a request that waits forever for a failed target: its
// connection is silent and a new connection fails too. Only then must the link
// report the target as lost, with an error that means the request may have run.
test('a target is lost when the replacement connection fails too', async t => {
  const {clock, advance} = virtualClock();
  const {handler, link, proxy} = await startWire(t, {clock, silenceMs: 500});
  const caller = collect(link.serve(REQUEST, NEVER));
  await handler.nextCall();
  proxy.refusing = true;
  proxy.silence();
  advance(500);
  advance(500);
  await t.throwsAsync(caller.ended, {instanceOf: LinkLostError});
  t.is(link.state, 'lost');
  proxy.refusing = false;
  await link.heartbeat({entryId: 'e1', cfgRevision: 3}, NEVER);
  t.is(link.state, 'open');
});

// Guards against a truncated answer that looks complete, when a faulty target
// process ends a stream without a final event.
test('a stream that ends without a final event is lost', async t => {
  const {handler, link} = await startWire(t);
  const caller = collect(link.serve(REQUEST, NEVER));
  const call = await handler.nextCall();
  call.answer.push(STARTED);
  call.answer.end();
  await t.throwsAsync(caller.ended, {instanceOf: LinkLostError});
});
