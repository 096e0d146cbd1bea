import {LinkLostError, workFingerprint} from '@oathead/core';
import type {ServeRequest} from '@oathead/core';
import test from 'ava';
import type {TargetService} from '../../lib/process/target_service.js';
import {
  CONFIG,
  follow,
  offer,
  refusalText,
  request,
  send,
  startService,
  streamedText,
} from '../service_fixture.js';

test('streams an answer; the first token goes at once', async t => {
  const {service, engine, pass} = await startService();
  const traceparent = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01';
  const caller = send(service, request({traceparent}));
  const stream = await engine.stream(0);
  t.is(stream.req.traceparent, traceparent);
  t.deepEqual(caller.got, [{kind: 'started', version: 'v1'}]);
  stream.tokens('yes');
  await pass(0);
  stream.tokens(',', ' it', ' is');
  await pass(10);
  stream.done();
  await caller.ended;
  t.deepEqual(caller.got.slice(1), [
    {kind: 'tokens', index: 0, count: 1, text: 'yes'},
    {kind: 'tokens', index: 1, count: 3, text: ', it is'},
    {
      kind: 'done',
      answer: {
        kind: 'completion',
        text: 'yes, it is',
        usage: {promptTokens: 3, completionTokens: 4},
        finishReason: 'stop',
        version: 'v1',
      },
    },
  ]);
});

test('a whole answer has no tokens; a service is called alike', async t => {
  const services = new Map([
    ['limits', {call: async () => ({status: 200, body: 'ok'})}],
  ]);
  const {service} = await startService({services});
  const caller = send(
    service,
    request({
      stream: false,
      idempotent: false,
      work: {
        kind: 'call',
        service: 'limits',
        method: 'POST',
        path: 'decide',
        body: '{}',
      },
    }),
  );
  await caller.ended;
  t.deepEqual(caller.got, [
    {kind: 'started', version: 'service'},
    {kind: 'done', answer: {kind: 'response', status: 200, body: 'ok'}},
  ]);
});

test('what cannot be served here is refused before any engine sees it', async t => {
  const {service, engine, pass} = await startService();
  const completion = request().work;
  const refusalOf = async (work: object) =>
    refusalText(
      await send(service, request({work: {...completion, ...work} as never}))
        .ended,
    );
  t.is(await refusalOf({model: 'other'}), 'no-target not-run');
  t.is(await refusalOf({adapter: 'bank-z'}), 'no-target not-run');
  const blocked = [workFingerprint(completion)];
  await service.heartbeat(offer({...CONFIG, revision: 2, blocked}));
  t.is(await refusalOf({}), 'suspect not-run');
  engine.versions = [{...engine.versions[0]!, state: 'unloading'}];
  await pass(250);
  t.is(await refusalOf({seed: 1}), 'no-target not-run');
  t.is(engine.streams.length, 0);
});

// A branch customer waits while an overnight stream holds the last slot. The
// batch stream must leave at once and lose none of its tokens: it goes on
// behind them when there is room, and its answer is whole.
test('batch work makes room and resumes behind its tokens', async t => {
  const {service, engine, pass} = await startService({capacity: 1});
  const night = send(service, request({class: 'batch', stream: false}));
  const first = await engine.stream(0);
  first.tokens('a ', 'b ');
  await pass(0);
  const branch = send(service, request());
  const online = await engine.stream(1);
  t.true(first.signal.aborted);
  online.tokens('now');
  online.done();
  t.is((await branch.ended)?.kind, 'done');
  const second = await engine.stream(2);
  t.deepEqual(second.req.resume, {text: 'a b ', tokens: 2});
  second.tokens('c');
  second.done();
  t.like(await night.ended, {answer: {text: 'a b c'}});
});

// A long prompt of an overnight item would hold up everybody's next token. The
// policy has its beginning prefilled first; nothing of that shows to its caller.
test('a piece of a prompt is prefilled and the request waits again', async t => {
  const {service, engine, pass} = await startService({firstPiece: 10});
  const input = {kind: 'prompt', prompt: 'x'.repeat(200)} as const;
  const work = {...request().work, input} as ServeRequest['work'];
  const night = send(service, request({work, promptTokens: 50}));
  const piece = await engine.stream(0);
  t.like(piece.req.completion, {
    maxTokens: 1,
    input: {prompt: 'x'.repeat(40)},
  });
  piece.tokens('dropped');
  piece.done();
  const whole = await engine.stream(1);
  t.like(whole.req, {completion: {input}, resume: undefined});
  whole.tokens('night');
  await pass(0);
  whole.done();
  t.like(await night.ended, {answer: {text: 'night'}});
  t.deepEqual(
    night.got.map(({kind}) => kind),
    ['started', 'tokens', 'done'],
  );
});

// A call-out that may run only once holds a slot when an online burst comes.
// Cancelled and resumed, the engine would be handed it twice.
test('what may run only once is not preempted', async t => {
  const {service, engine, pass} = await startService({capacity: 1});
  const once = request({class: 'batch', stream: false, idempotent: false});
  const callOut = send(service, once);
  const stream = await engine.stream(0);
  const branch = send(service, request());
  await pass(100);
  t.false(stream.signal.aborted);
  stream.tokens('done');
  stream.done();
  t.is((await callOut.ended)?.kind, 'done');
  (await engine.stream(1)).done();
  t.is((await branch.ended)?.kind, 'done');
});

// The engine dies under three requests. Each caller must learn that its request
// may have run, and entries must stay away until the engine answers again;
// "not run" would have a limit decision made twice.
test('the death of the engine is told to all it had, and reported', async t => {
  const {service, engine, pass} = await startService({capacity: 3});
  const callers = [1, 2, 3].map(() => send(service, request()));
  await engine.stream(2);
  engine.loadError = true;
  for (const stream of engine.streams) stream.fail();
  for (const caller of callers) {
    t.is(refusalText(await caller.ended), 'engine-failed may-have-run');
  }
  const report = async () =>
    (await service.heartbeat({entryId: 'e1', cfgRevision: 1})).load;
  t.true((await report()).engineDown);
  const late = send(service, request());
  t.is(refusalText(await late.ended), 'no-target not-run');
  engine.loadError = false;
  await pass(250);
  t.false((await report()).engineDown);
});

// The engine's stream loses a token. The text would read on as if nothing were
// missing; it must end as a failure, never as an answer.
test('a hole in the stream is a failure', async t => {
  const {service, engine} = await startService();
  const caller = send(service, request());
  const stream = await engine.stream(0);
  stream.tokens('not ');
  stream.skip();
  stream.tokens('fair');
  stream.done();
  t.is(refusalText(await caller.ended), 'engine-failed may-have-run');
});

// The host is lost just after the engine got a call-out. Had nobody been told
// that it started, it would be taken for not run, and made again elsewhere.
test('the engine sees a request only after `started` was handed over', async t => {
  const {service, engine, pass} = await startService();
  const {signal} = new AbortController();
  const events = service.serve(request(), signal);
  t.is((await events.next()).value?.kind, 'started');
  await pass(100);
  t.is(engine.streams.length, 0);
  void events.next();
  await engine.stream(0);
  t.is(engine.streams.length, 1);
});

test('a failure that is the request own fault is told apart', async t => {
  const {service, engine} = await startService();
  const caller = send(service, request());
  (await engine.stream(0)).fail('failed');
  t.is(refusalText(await caller.ended), 'invalid-request may-have-run');
});

test('a deadline ends what waits as not run, and cancels what runs', async t => {
  const {service, engine, pass} = await startService({capacity: 1});
  const running = send(service, request({timeoutMs: 200}));
  const waiting = send(service, request({timeoutMs: 100}));
  const stream = await engine.stream(0);
  await pass(100);
  t.is(refusalText(await waiting.ended), 'deadline-exceeded not-run');
  await pass(100);
  t.is(refusalText(await running.ended), 'deadline-exceeded may-have-run');
  t.true(stream.signal.aborted);
});

// A stream breaks in mid-sentence because something between the two processes
// has cut the connection. The target must not drop the request: its link comes
// back over another connection, and the caller sees no gap and no repetition.
test('a request outlives its connection for a grace', async t => {
  const {service, engine, pass} = await startService();
  const req = request({id: 'cut'});
  const before = send(service, req);
  const stream = await engine.stream(0);
  stream.tokens('a ', 'b ');
  await pass(10);
  before.leave(new LinkLostError('cut'));
  await before.ended;
  await pass(1_999);
  stream.tokens('c ');
  const after = attach(service, 'cut', 2);
  stream.tokens('d');
  stream.done();
  t.is((await after.ended)?.kind, 'done');
  t.is(streamedText(before.got), 'a b ');
  t.is(streamedText(after.got, 2), 'c d');
  t.is(engine.streams.length, 1);
});

test('a request is cancelled when its caller goes, or does not come back', async t => {
  const {service, engine, pass} = await startService();
  const gone = send(service, request());
  const lost = send(service, request());
  const [first, second] = [await engine.stream(0), await engine.stream(1)];
  gone.leave();
  lost.leave(new LinkLostError('cut'));
  await pass(0);
  t.true(first.signal.aborted);
  t.false(second.signal.aborted);
  await pass(2_000);
  t.true(second.signal.aborted);
});

// The connection goes silent while a request is on its way, so the link asks
// about it over a new one, and hears that it has not run. The old connection's
// bytes come after all: run now, it would run twice.
test('a request called "not run" is not started when it arrives late', async t => {
  const {service, engine} = await startService();
  const asked = attach(service, 'late', 0);
  t.is(refusalText(await asked.ended), 'target-lost not-run');
  const late = send(service, request({id: 'late'}));
  t.is(refusalText(await late.ended), 'target-lost not-run');
  t.is(engine.streams.length, 0);
});

test('what an earlier boot had, or is too old, may have run', async t => {
  const {service} = await startService();
  const other = attach(service, 'r', 0, {bootId: 'earlier'});
  t.is(refusalText(await other.ended), 'target-lost may-have-run');
  const old = attach(service, 'r', 0, {sentAgoMs: 60_000});
  t.is(refusalText(await old.ended), 'outcome-unknown may-have-run');
});

function attach(
  service: TargetService,
  id: string,
  tokensSeen: number,
  over: object = {},
) {
  const attachment = {
    id,
    attempt: 1,
    bootId: service.bootId,
    sentAgoMs: 2_100,
    startedSeen: tokensSeen > 0,
    tokensSeen,
    ...over,
  };
  return follow(signal => service.attach(attachment, signal));
}
