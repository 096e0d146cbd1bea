import test from 'ava';
import {
  CONFIG,
  ATTACH_GRACE_MS,
  offer,
  refusalText,
  request,
  send,
  startService,
} from '../service_fixture.js';

// A host is to be replaced under load. Its online streams must end whole, batch
// work goes back with its tokens, and nothing new is taken from that moment.
test('a planned stop cuts off nothing within the grace', async t => {
  const {service, engine, pass} = await startService({capacity: 2});
  const branch = send(service, request());
  const night = send(service, request({class: 'batch', stream: false}));
  const queued = send(service, request({class: 'batch', stream: false}));
  const [online, batch] = [await engine.stream(0), await engine.stream(1)];
  online.tokens('a ');
  batch.tokens('x ', 'y ');
  await pass(0);
  let drained = false;
  const drain = service.drain(32_000).then(() => (drained = true));
  t.deepEqual(await night.ended, {
    kind: 'yielded',
    partial: {text: 'x y ', tokens: 2},
  });
  t.deepEqual(await queued.ended, {
    kind: 'yielded',
    partial: {text: '', tokens: 0},
  });
  const late = send(service, request());
  t.is(refusalText(await late.ended), 'leaving not-run');
  await pass(29_000);
  t.false(drained);
  online.tokens('b');
  online.done();
  t.like(await branch.ended, {kind: 'done', answer: {text: 'a b'}});
  await pass(ATTACH_GRACE_MS - 20);
  t.false(drained);
  await pass(40);
  await drain;
  t.true(drained);
});

// A host is to be replaced; its target has nothing to do. An entry that has not
// heard of it sends a request. Had the process ended, the entry could not tell
// whether it ran, and a call that may run only once would be unknown for good.
test('an idle target that is told to stop stays to refuse what comes', async t => {
  const {service, pass} = await startService({capacity: 1});
  let drained = false;
  const drain = service.drain(30_000).then(() => (drained = true));
  await pass(ATTACH_GRACE_MS - 20);
  t.false(drained);
  const late = send(service, request({idempotent: false}));
  t.is(refusalText(await late.ended), 'leaving not-run');
  await pass(40);
  await drain;
  t.true(drained);
});

test('what is left when the grace is over is told that it may have run', async t => {
  const {service, engine, pass} = await startService({capacity: 1});
  const running = send(service, request({timeoutMs: 90_000}));
  const waiting = send(service, request({timeoutMs: 90_000}));
  const stream = await engine.stream(0);
  const drain = service.drain(30_000);
  await pass(30_010);
  // What has its outcome is not told to wait for the process to end.
  t.is(refusalText(await running.ended), 'leaving may-have-run');
  await pass(ATTACH_GRACE_MS);
  await drain;
  t.is(refusalText(await waiting.ended), 'leaving not-run');
  t.true(stream.signal.aborted);
});

// A call that may run only once waits when its target is told to stop. It is
// started in the last second and cut off, and nobody knows whether it ran.
test('a stop starts nothing that may run only once and not end in time', async t => {
  const {service, engine, pass} = await startService({capacity: 1});
  const running = send(service, request());
  const once = {idempotent: false, stream: false};
  const long = send(service, request({...once, timeoutMs: 90_000}));
  const short = send(service, request({...once, timeoutMs: 20_000}));
  const stream = await engine.stream(0);
  const drain = service.drain(30_000);
  await pass(10);
  t.deepEqual(long.got.map(refusalText), ['leaving not-run']);
  t.deepEqual(short.got, []);
  await pass(10_000);
  stream.done();
  t.is((await running.ended)?.kind, 'done');
  (await engine.stream(1)).done();
  t.is((await short.ended)?.kind, 'done');
  await pass(ATTACH_GRACE_MS + 20);
  await drain;
});

// The platform kills a target that stops for longer than its grace period, as its
// entries are being told what was cut off.
test('what a stop cuts off is told within the grace period', async t => {
  const {service, engine, pass} = await startService({capacity: 1});
  const running = send(service, request({timeoutMs: 90_000}));
  await engine.stream(0);
  let drained = false;
  void service.drain(30_000).then(() => (drained = true));
  await pass(29_000);
  t.deepEqual(running.got.slice(-1).map(refusalText), ['leaving may-have-run']);
  await pass(1_010);
  t.true(drained);
});

// An operator declares a target out and, an hour later, back in; an entry that
// lags offers the earlier declaration once more.
test('a target declared out and back in serves again, and stays in', async t => {
  const {service, engine, pass} = await startService({capacity: 1});
  const branch = send(service, request());
  const stream = await engine.stream(0);
  const out = offer({...CONFIG, revision: 2, leaving: true});
  t.true((await service.heartbeat(out)).load.leaving);
  const back = offer({...CONFIG, revision: 3});
  t.true((await service.heartbeat(back)).load.leaving);
  stream.done();
  t.is((await branch.ended)?.kind, 'done');
  await pass(0);
  const reply = await service.heartbeat(out);
  t.false(reply.load.leaving);
  t.is(reply.load.cfgRevision, 3);
  const next = send(service, request());
  (await engine.stream(1)).done();
  t.is((await next.ended)?.kind, 'done');
});
