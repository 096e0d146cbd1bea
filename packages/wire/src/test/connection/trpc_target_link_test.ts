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

test('carries a request and its whole answer', async t => {
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

test('a caller that leaves cancels the request at the target', async t => {
  const {handler, link} = await startWire(t);
  const gone = new AbortController();
  const caller = collect(link.serve(REQUEST, gone.signal));
  const call = await handler.nextCall();
  gone.abort();
  await caller.ended;
  await once(call.signal, 'abort');
  t.false(call.signal.reason instanceof LinkLostError);
});

test('a request that the target does not understand has not run', async t => {
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

// Heartbeats go on for months under one signal. Each one left a listener on it,
// and the process grew until it was restarted.
test('a heartbeat leaves nothing behind on its signal', async t => {
  const {link} = await startWire(t);
  const {signal} = new AbortController();
  for (let nth = 0; nth < 3; nth++) {
    await link.heartbeat({entryId: 'e1', cfgRevision: nth}, signal);
  }
  t.is(getEventListeners(signal, 'abort').length, 0);
});

test('carries all other messages', async t => {
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

test('carries load reports as changes', async t => {
  const {handler, link} = await startWire(t);
  const reports = link.reports(NEVER);
  handler.loads.push(LOAD);
  t.deepEqual((await reports.next()).value, LOAD);
  const next = {...LOAD, sequence: 2, leaving: true};
  handler.loads.push(next);
  t.deepEqual((await reports.next()).value, next);
});

test('a request whose target cannot be reached has not run', async t => {
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

// A caller's stream stalls in mid-sentence and would hang for good. Something
// between entry and target has forgotten the connection: nothing comes and no
// error either, while new connections work. The link must go on over a new one
// from the token it had, and the target must not run the request again.
test('a silent connection is replaced and its stream goes on', async t => {
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

// The same with a connection that breaks: the caller must not notice, and the
// target must be able to tell it from a caller that has gone.
test('a request is attached to again, never sent twice', async t => {
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

// The target itself is dead: its connection is silent and a new one fails too.
// Only now is it given up, and the caller told that its request may have run.
test('a target is given up when a new connection fails too', async t => {
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

// A target process has a fault and ends a stream without an outcome. It must
// not look like a finished answer.
test('a stream that ends without an outcome is lost', async t => {
  const {handler, link} = await startWire(t);
  const caller = collect(link.serve(REQUEST, NEVER));
  const call = await handler.nextCall();
  call.answer.push(STARTED);
  call.answer.end();
  await t.throwsAsync(caller.ended, {instanceOf: LinkLostError});
});
