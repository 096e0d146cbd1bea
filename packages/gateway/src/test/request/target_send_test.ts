import {setTimeout} from 'node:timers/promises';
import {
  NO_COUNTERS,
  NO_EVENT_LOG,
  seededRandom,
  SYSTEM_CLOCK,
} from '@oathead/core';
import test from 'ava';
import {ConnectionPool} from '../../lib/connection/connection_pool.js';
import {targetKey} from '../../lib/connection/load_message.js';
import type {Target} from '../../lib/connection/target.js';
import {LoadTable} from '../../lib/process/load_table.js';
import {ServiceHealth} from '../../lib/process/service_health.js';
import {ServiceOverload} from '../../lib/process/service_overload.js';
import {TargetDirectory} from '../../lib/process/target_directory.js';
import {TargetSuspensions} from '../../lib/process/target_suspensions.js';
import {sendToTarget} from '../../lib/request/target_send.js';
import {listen, PROTOCOL} from '../fakes/raw_target.js';
import {runOf, targetOf} from '../fakes/targets.js';

const SINK = {events: () => true, paused: () => {}};
const WHOLE =
  'HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\ncontent-length: 2\r\n\r\nok';
const DECLINED = 'HTTP/1.1 503 Busy\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n';
/** More than the system keeps of what was sent and not read. */
const LONG_BODY_BYTES = 16 * 1024 * 1024;
/** Longer than a target may say nothing. */
const LONG_MS = 1300;

function targetAt(address: string): Target {
  return targetOf('t', {address});
}

function newContext() {
  const clock = SYSTEM_CLOCK;
  const directory = new TargetDirectory({clock, log: NO_EVENT_LOG});
  const random = seededRandom(1);
  const hosts = () => 1;
  return {
    protocol: PROTOCOL,
    pool: new ConnectionPool(NO_COUNTERS),
    loads: new LoadTable(() => clock.now()),
    suspensions: new TargetSuspensions(clock, NO_EVENT_LOG),
    health: new ServiceHealth(clock),
    directory,
    overload: new ServiceOverload({clock, random, directory, hosts}),
    clock,
    counters: NO_COUNTERS,
  };
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

// Some callers wait for nothing while all looks well: a target answers most
// requests, its health check among them, and leaves others without a word. It
// must lose share, but not be taken for dead.
test('a target that leaves some requests without a word loses share', async t => {
  await using raw = await listenMute();
  const context = newContext();
  const target = targetAt(raw.address);
  const mute = sendToTarget(
    context,
    target,
    'online',
    requestTo('/mute'),
    SINK,
  );
  await setTimeout(100);
  const {end} = sendToTarget(context, target, 'online', requestTo('/a'), SINK);
  t.is((await end).kind, 'answered');
  t.is(context.health.share(target), 1);
  await setTimeout(LONG_MS);
  context.health.tick();
  t.true(context.health.share(target) < 1);
  t.false(context.suspensions.has(target.id));
  mute.control.end('timeout');
  t.is((await mute.end).kind, 'ended');
});

// A burst fills a target, and requests wait a second for their turn. That is no
// fault of the target: with less share others would be filled in its place, one
// after the other, and all of them would look failing.
test('a full target does not lose share for those that wait', async t => {
  await using raw = await listenMute();
  const context = newContext();
  const target = targetAt(raw.address);
  const waiting = [...Array(target.slots + 1).keys()].map(() =>
    sendToTarget(context, target, 'online', requestTo('/mute'), SINK),
  );
  await setTimeout(100);
  const {end} = sendToTarget(context, target, 'online', requestTo('/a'), SINK);
  t.is((await end).kind, 'answered');
  await setTimeout(LONG_MS);
  context.health.tick();
  t.is(context.health.share(target), 1);
  for (const {control} of waiting) control.end('timeout');
  await Promise.all(waiting.map(one => one.end));
});

// A caller gets a timeout although targets are idle: one refused a long request
// before it had read it, and reads the rest of it slowly. The next request was
// sent on the same connection, behind that rest.
test('no request waits behind the rest of one that was answered early', async t => {
  await using raw = await listenEarly();
  const context = newContext();
  const target = targetAt(raw.address);
  const long = {...requestTo('/long'), body: Buffer.alloc(LONG_BODY_BYTES)};
  const early = sendToTarget(context, target, 'online', long, SINK);
  t.is((await early.end).kind, 'declined');
  await setTimeout(20);
  const next = sendToTarget(context, target, 'online', requestTo('/a'), SINK);
  const end = await Promise.race([next.end, setTimeout(LONG_MS)]);
  t.is(end?.kind, 'answered');
  next.control.end('timeout');
});

/** @returns A target that refuses long requests and reads on no more. */
function listenEarly() {
  return listen(socket => {
    socket.on('error', () => socket.destroy());
    socket.on('data', bytes => {
      if (!bytes.includes('/long')) socket.write(WHOLE);
      else socket.pause().write(DECLINED);
    });
  });
}

/** @returns A target that answers nothing at one path. */
function listenMute() {
  return listen(socket => {
    socket.on('error', () => socket.destroy());
    socket.on('data', bytes => {
      if (!bytes.includes('/mute')) socket.write(WHOLE);
    });
  });
}

// A caller waits until its time is over: its request was sent to a server that
// lost its power, which closes no connection, and is back under the id it had.
// What was sent to the run before is over as soon as the list tells of the new one.
test('what was sent to a run that is over does not wait for it', async t => {
  await using raw = await listenMute();
  const context = newContext();
  const before = runOf('i-1', 1000, {address: raw.address});
  context.directory.put(before);
  const {end} = sendToTarget(context, before, 'online', requestTo('/1'), SINK);
  context.directory.put(runOf('i-1', 2000, {address: raw.address}));
  t.deepEqual(await end, {kind: 'ended', by: 'restarted'});
  t.is(context.loads.at(targetKey(before.id)).online, 0);
});

// A sound answer is lost: the list tells once more of the run that makes it, or,
// late, of the run before.
test('a run goes on when the list repeats it or tells of an older one', async t => {
  await using raw = await listen(socket => {
    void setTimeout(100).then(() => socket.write(WHOLE));
  });
  const context = newContext();
  const now = runOf('i-1', 2000, {address: raw.address});
  context.directory.put(now);
  const {end} = sendToTarget(context, now, 'online', requestTo('/1'), SINK);
  context.directory.put({...now, leaving: true});
  context.directory.put(runOf('i-1', 1000, {address: raw.address}));
  t.is((await end).kind, 'answered');
});
