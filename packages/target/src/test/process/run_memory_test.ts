import {LinkLostError} from '@oathead/core';
import type {HeldAnswer} from '@oathead/wire';
import test from 'ava';
import {
  SETTINGS,
  refusalText,
  request,
  send,
  startService,
  streamedText,
} from '../service_fixture.js';

const LIMIT = {dedupeKey: 'bank-a/k1', idempotent: false};

// A clerk's browser resends a limit decision while the first is still being
// made. Both must get the same, whole answer from one run.
test('a resend of a running request gets its whole answer', async t => {
  const {service, engine, pass} = await startService();
  const first = send(service, request(LIMIT));
  const stream = await engine.stream(0);
  stream.tokens('yes', ', fair');
  await pass(10);
  const resent = send(service, request(LIMIT));
  await pass(10);
  stream.tokens(' enough');
  stream.done();
  const answers = [await first.ended, await resent.ended];
  t.deepEqual(answers[0], answers[1]);
  t.is(streamedText(resent.got), 'yes, fair enough');
  const later = send(service, request({...LIMIT, stream: false}));
  t.deepEqual(await later.ended, answers[0]);
  t.is(engine.streams.length, 1);
});

// The first caller of a key hangs up while a second one follows the same run.
test('a run goes on while anyone follows it', async t => {
  const {service, engine, pass} = await startService();
  const first = send(service, request(LIMIT));
  const stream = await engine.stream(0);
  const second = send(service, request(LIMIT));
  await pass(0);
  first.leave();
  await pass(0);
  t.false(stream.signal.aborted);
  stream.done();
  t.is((await second.ended)?.kind, 'done');
});

// The engine dies under a call-out. The dispatcher resends it, by its key or by
// its id, even declared idempotent by mistake: the crew may have been called,
// so it must not be run again while this process lives.
test('a non-idempotent request is never started twice', async t => {
  const {service, engine, pass} = await startService();
  const callOut = request({...LIMIT, id: 'call-out'});
  const caller = send(service, callOut);
  (await engine.stream(0)).fail();
  t.is(refusalText(await caller.ended), 'engine-failed may-have-run');
  await pass(1_000);
  for (const over of [
    {...callOut, attempt: 2},
    {...callOut, id: 'other'},
    {...callOut, id: 'other', idempotent: true},
    {...callOut, attempt: 3, dedupeKey: undefined},
  ]) {
    const resent = send(service, over);
    t.is(refusalText(await resent.ended), 'outcome-unknown may-have-run');
  }
  t.is(engine.streams.length, 1);
});

test('an idempotent request runs again after a failure', async t => {
  const {service, engine, pass} = await startService();
  const req = request({dedupeKey: 'bank-a/k2'});
  const first = send(service, req);
  (await engine.stream(0)).fail();
  await first.ended;
  await pass(1_000);
  const second = send(service, {...req, attempt: 2});
  (await engine.stream(1)).done();
  t.is((await second.ended)?.kind, 'done');
});

// The entry loses its connection for good under a limit decision. Cancelled, its
// outcome would be unknown for ever; so it runs on, and the resend has it.
test('what may run only once outlives its connection', async t => {
  const {service, engine, pass} = await startService();
  const first = send(service, request(LIMIT));
  const stream = await engine.stream(0);
  first.leave(new LinkLostError('cut'));
  await pass(10_000);
  stream.tokens('no');
  stream.done();
  await pass(10);
  const resent = send(service, request(LIMIT));
  t.like(await resent.ended, {kind: 'done', answer: {text: 'no'}});
});

test('a key names one request', async t => {
  const {service} = await startService();
  const req = request(LIMIT);
  void send(service, req);
  const work = {...req.work, seed: 7} as typeof req.work;
  const other = send(service, {...req, id: 'other', work});
  t.is(refusalText(await other.ended), 'key-conflict not-run');
});

async function held(all: AsyncIterable<HeldAnswer>): Promise<string[]> {
  const keys: string[] = [];
  for await (const {dedupeKey} of all) keys.push(dedupeKey);
  return keys;
}

// An entry dies before it has written an answer that its caller already has.
// The target holds it until whoever takes over has written it.
test('an answer is held until it is released, or for a bounded time', async t => {
  const {service, engine, pass} = await startService();
  for (const [nth, dedupeKey] of ['bank-a/1', 'bank-a/2'].entries()) {
    const caller = send(service, request({dedupeKey}));
    (await engine.stream(nth)).done();
    await caller.ended;
  }
  t.deepEqual(await held(service.held('e1')), ['bank-a/1', 'bank-a/2']);
  t.deepEqual(await held(service.held('e2')), []);
  await service.release(['bank-a/1']);
  t.deepEqual(await held(service.held('e1')), ['bank-a/2']);
  const resent = send(service, request({dedupeKey: 'bank-a/1'}));
  t.is((await resent.ended)?.kind, 'done');
  await pass(SETTINGS.memory.heldMs);
  const next = send(service, request({dedupeKey: 'bank-a/3'}));
  (await engine.stream(2)).done();
  await next.ended;
  t.deepEqual(await held(service.held('e1')), ['bank-a/3']);
});

// The store is down for hours and nothing is released. Rather than forget an
// answer or a mark, the target takes no more of the kind; other work goes on.
test('memory that is full refuses instead of forgetting', async t => {
  const memory = {...SETTINGS.memory, heldBytes: 1, startedCount: 4};
  const {service, engine} = await startService({settings: {memory}});
  const first = send(service, request({dedupeKey: 'bank-a/1'}));
  (await engine.stream(0)).done();
  await first.ended;
  const keyed = send(service, request({dedupeKey: 'bank-a/2'}));
  t.is(refusalText(await keyed.ended), 'overloaded not-run');
  for (const nth of [1, 2, 3, 4]) {
    const once = send(service, request({idempotent: false}));
    (await engine.stream(nth)).done();
    await once.ended;
  }
  const oneMore = send(service, request({idempotent: false}));
  t.is(refusalText(await oneMore.ended), 'overloaded not-run');
  const plain = send(service, request());
  (await engine.stream(5)).done();
  t.is((await plain.ended)?.kind, 'done');
});

// So many requests end, or so large ones, that some are forgotten before their
// time. Asked about one, the target must not say that it never came.
for (const millions of [[12, 12], [17]]) {
  const name = `${millions.join(' and ')} million characters`;
  test(`what may be forgotten is not called "not run": ${name}`, async t => {
    const {service, engine} = await startService();
    for (const [nth, size] of millions.entries()) {
      const caller = send(service, request({id: `big${nth}`}));
      const stream = await engine.stream(nth);
      stream.tokens('x'.repeat(size << 20));
      stream.done();
      await caller.ended;
    }
    const attachment = {
      id: 'big0',
      attempt: 1,
      bootId: service.bootId,
      sentAgoMs: 10,
      startedSeen: false,
      tokensSeen: 0,
    };
    const {signal} = new AbortController();
    const {value} = await service.attach(attachment, signal).next();
    t.is(refusalText(value as never), 'outcome-unknown may-have-run');
  });
}
