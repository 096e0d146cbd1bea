import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {NO_COUNTERS, NO_EVENT_LOG, type PlannedStop} from '@oathead/core';
import {CallerServer} from '../../lib/process/caller_server.js';
import type {OpenRequest} from '../../lib/process/open_requests.js';
import {FakeClock} from '../fakes/fake_clock.js';
import {PROTOCOL} from '../fakes/raw_target.js';

const STOP: PlannedStop = {startedAt: 0, endsAt: 8000};
const WAIT_MS = 50;
/** In which the last responses must be sent. */
const LAST_RESPONSES_MS = 250;
const HALF_SENT_REQUESTS = 100;

/** A server whose requests are answered by the test. */
async function startServer(t: ExecutionContext) {
  const requests: OpenRequest[] = [];
  const state: {stop?: PlannedStop} = {};
  const context = {
    clock: new FakeClock(),
    log: NO_EVENT_LOG,
    counters: NO_COUNTERS,
    protocol: PROTOCOL,
    plannedStop: () => state.stop,
  };
  const server = new CallerServer(context, open => requests.push(open));
  const port = await server.listen('127.0.0.1', 0);
  t.teardown(() => server.close());
  const beginStop = () => {
    state.stop = STOP;
    server.beginStop();
  };
  return {server, port, requests, beginStop};
}

async function open(port: number): Promise<Socket> {
  const socket = connect(port, '127.0.0.1');
  await once(socket, 'connect');
  socket.on('error', () => {});
  return socket;
}

function answer({res}: OpenRequest, text: string): void {
  res.writeHead(200, {'content-length': text.length}).end(text);
}

const REQUEST = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';

// Guards against a second request on a connection that runs and is never
// answered: Node closes a connection after the first response that says so.
test('both of two pipelined requests are answered in a stop', async t => {
  for (const arrivesBefore of [true, false]) {
    const {port, requests, beginStop} = await startServer(t);
    const socket = await open(port);
    let received = '';
    socket.on('data', chunk => (received += String(chunk)));
    if (!arrivesBefore) beginStop();
    socket.write(REQUEST + REQUEST);
    while (requests.length < 2) await setTimeout(1);
    if (arrivesBefore) beginStop();
    answer(requests[0]!, 'first');
    answer(requests[1]!, 'second');
    await once(socket, 'end');
    t.regex(received, /first[^]*connection: close[^]*second$/i);
  }
});

// Guards against a request that is passed on although its connection closes
// after the response before it.
test('a request behind a last response is not taken', async t => {
  const {port, requests, beginStop} = await startServer(t);
  const socket = await open(port);
  socket.resume();
  socket.write(REQUEST);
  while (requests.length < 1) await setTimeout(1);
  beginStop();
  const {res} = requests[0]!;
  res.writeHead(200, {'content-length': 2}).write('o');
  socket.write(REQUEST);
  await setTimeout(WAIT_MS);
  res.end('k');
  await once(socket, 'close');
  t.is(requests.length, 1);
});

// Guards against a stop that takes its whole time, and memory that is kept,
// because of requests whose caller left while they waited behind another one.
test('requests of a closed connection are not open', async t => {
  const {server, port, requests} = await startServer(t);
  const socket = await open(port);
  socket.write(REQUEST + REQUEST);
  while (requests.length < 2) await setTimeout(1);
  t.is(server.openRequests, 2);
  socket.destroy();
  await setTimeout(WAIT_MS);
  t.is(server.openRequests, 0);
});

test('connections without a request in progress are closed, others are not', async t => {
  const {server, port, requests} = await startServer(t);
  const [waiting, used, busy] = await Promise.all([
    open(port),
    open(port),
    open(port),
  ]);
  used.write(REQUEST);
  while (requests.length < 1) await setTimeout(1);
  answer(requests[0]!, 'ok');
  used.resume();
  busy.write(REQUEST);
  while (requests.length < 2) await setTimeout(1);
  await setTimeout(WAIT_MS);
  server.closeIdle();
  waiting.resume();
  await Promise.all([once(waiting, 'close'), once(used, 'close')]);
  t.false(busy.destroyed);
  t.is(server.openRequests, 1);
});

// Guards against a process that is killed with answers unsent, because many
// bodies were still on their way when its stop ended.
test('many half-sent requests are answered in time at the end of a stop', async t => {
  const {server, port, requests, beginStop} = await startServer(t);
  const head = 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf';
  const sockets = await Promise.all(
    Array.from({length: HALF_SENT_REQUESTS}, () => open(port)),
  );
  let refused = 0;
  for (const socket of sockets) {
    socket.write(head);
    socket.once('data', chunk => {
      if (String(chunk).startsWith('HTTP/1.1 503')) refused++;
    });
  }
  while (requests.length < HALF_SENT_REQUESTS) await setTimeout(1);
  beginStop();
  t.is(server.endOpenRequests(), HALF_SENT_REQUESTS);
  const until = Date.now() + LAST_RESPONSES_MS;
  while (server.openRequests > 0 && Date.now() < until) await setTimeout(5);
  t.is(server.openRequests, 0);
  await setTimeout(WAIT_MS);
  t.is(refused, HALF_SENT_REQUESTS);
});
