import {setTimeout} from 'node:timers/promises';
import test from 'ava';
import {targetKey} from '../../lib/connection/load_message.js';
import type {Target} from '../../lib/connection/target.js';
import {sendToTarget} from '../../lib/request/target_send.js';
import {listen} from '../fakes/raw_target.js';
import {newSendContext} from '../fakes/send_context.js';
import {newIncarnation, newTarget} from '../fakes/targets.js';

const SINK = {events: () => true};
const NO_LOAD = {online: 0, batch: 0};
const COMPLETE_RESPONSE =
  'HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\ncontent-length: 2\r\n\r\nok';
const DECLINED_RESPONSE =
  'HTTP/1.1 503 Busy\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n';
/** More than the operating system buffers of unread data, in bytes. */
const LONG_BODY_BYTES = 16 * 1024 * 1024;
/**
 * Longer than the time after which a silent target is suspended, in
 * milliseconds.
 */
const SILENCE_WAIT_MS = 1300;

function targetAt(address: string): Target {
  return newTarget('t', {address});
}

function requestTo(path: string) {
  return {
    requestId: 'r1',
    method: 'POST',
    path,
    headers: {host: 'h'},
    body: Buffer.from('question'),
    firstEventId: undefined,
  };
}

// Guards against callers that wait in vain although the target looks healthy:
// it responds to most requests, including health checks, but never to some. It
// must lose traffic share without being suspended.
test('a target that ignores some requests loses traffic share', async t => {
  await using raw = await listenUnresponsive();
  const context = newSendContext();
  const target = targetAt(raw.address);
  const unanswered = sendToTarget(
    context,
    target,
    'online',
    requestTo('/mute'),
    SINK,
  );
  await setTimeout(100);
  const {end} = sendToTarget(context, target, 'online', requestTo('/a'), SINK);
  t.is((await end).kind, 'answered');
  t.is(context.health.trafficShare(target), 1);
  await setTimeout(SILENCE_WAIT_MS);
  context.health.tick();
  t.true(context.health.trafficShare(target) < 1);
  t.false(context.suspensions.isSuspended(target.id));
  unanswered.control.end('timeout');
  t.is((await unanswered.end).kind, 'ended');
});

// Guards against healthy targets that lose traffic share under a burst.
// Requests wait a second for a slot at a full target, which is not a fault of
// the target. With a smaller share, other targets would fill up one after the
// other, and all of them would look faulty.
test('a full target keeps its share while requests are queued', async t => {
  await using raw = await listenUnresponsive();
  const context = newSendContext();
  const target = targetAt(raw.address);
  const waiting = [...Array(target.slots + 1).keys()].map(() =>
    sendToTarget(context, target, 'online', requestTo('/mute'), SINK),
  );
  await setTimeout(100);
  const {end} = sendToTarget(context, target, 'online', requestTo('/a'), SINK);
  t.is((await end).kind, 'answered');
  await setTimeout(SILENCE_WAIT_MS);
  context.health.tick();
  t.is(context.health.trafficShare(target), 1);
  for (const {control} of waiting) control.end('timeout');
  await Promise.all(waiting.map(one => one.end));
});

// Guards against a timeout of a caller while targets are idle. A target
// declines a long request before it has read it, and reads the rest slowly or
// not at all. The next request must not be sent on the same connection, behind
// the rest.
test('no request waits behind the unread body of a declined one', async t => {
  await using raw = await listenEarlyDecline();
  const context = newSendContext();
  const target = targetAt(raw.address);
  const long = {...requestTo('/long'), body: Buffer.alloc(LONG_BODY_BYTES)};
  const early = sendToTarget(context, target, 'online', long, SINK);
  t.is((await early.end).kind, 'declined');
  await setTimeout(20);
  const next = sendToTarget(context, target, 'online', requestTo('/a'), SINK);
  const end = await Promise.race([next.end, setTimeout(SILENCE_WAIT_MS)]);
  t.is(end?.kind, 'answered');
  next.control.end('timeout');
});

/** @returns A target that declines long requests and then stops reading. */
function listenEarlyDecline() {
  return listen(socket => {
    socket.on('error', () => socket.destroy());
    socket.on('data', bytes => {
      if (!bytes.includes('/long')) socket.write(COMPLETE_RESPONSE);
      else socket.pause().write(DECLINED_RESPONSE);
    });
  });
}

/** @returns A target that never responds to requests for `/mute`. */
function listenUnresponsive() {
  return listen(socket => {
    socket.on('error', () => socket.destroy());
    socket.on('data', bytes => {
      if (!bytes.includes('/mute')) socket.write(COMPLETE_RESPONSE);
    });
  });
}

// Guards against a caller that waits until its deadline for a server that was
// restarted. The server lost power, which closes no connection, and is back
// under the same ID. Requests sent to the earlier incarnation must end as soon
// as the list of targets contains the new one.
test('a request ends when the target server is restarted', async t => {
  await using raw = await listenUnresponsive();
  const context = newSendContext();
  const before = newIncarnation('i-1', 1000, {address: raw.address});
  context.directory.put(before);
  const {end} = sendToTarget(context, before, 'online', requestTo('/1'), SINK);
  context.directory.put(newIncarnation('i-1', 2000, {address: raw.address}));
  t.deepEqual(await end, {kind: 'ended', by: 'restarted'});
  t.is(context.loads.totalAt(targetKey(before.id)).online, 0);
});

// Guards against the loss of a valid response: the list of targets repeats the
// current incarnation or, out of date, an earlier one. Neither may end the
// request.
test('a request outlives a repeated or outdated list entry', async t => {
  await using raw = await listen(socket => {
    void setTimeout(100).then(() => socket.write(COMPLETE_RESPONSE));
  });
  const context = newSendContext();
  const now = newIncarnation('i-1', 2000, {address: raw.address});
  context.directory.put(now);
  const {end} = sendToTarget(context, now, 'online', requestTo('/1'), SINK);
  context.directory.put({...now, leaving: true});
  context.directory.put(newIncarnation('i-1', 1000, {address: raw.address}));
  t.is((await end).kind, 'answered');
});

// Guards against a target that makes each request which is sent to it throw,
// while others could serve it: no URL can hold its address. It must be suspended
// like one that refuses connections, and no load may stay behind.
for (const lane of ['online', 'batch'] as const)
  test(`a target that no connection can be opened to fails a request as unsent (${lane})`, async t => {
    const context = newSendContext();
    const target = targetAt('[fe80::1%eth0]:80');
    const {control, end} = sendToTarget(
      context,
      target,
      lane,
      requestTo('/a'),
      SINK,
    );
    control.end('timeout');
    t.like(await end, {kind: 'unsent', reason: 'ERR_INVALID_URL'});
    t.true(context.suspensions.isFailing(target.id));
    t.deepEqual(context.loads.totalAt(targetKey(target.id)), NO_LOAD);
  });
