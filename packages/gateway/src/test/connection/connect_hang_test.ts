import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {Worker} from 'node:worker_threads';
import {NO_COUNTERS} from '@oathead/core';
import test from 'ava';
import {ConnectionPool} from '../../lib/connection/connection_pool.js';
import {Exchange} from '../../lib/request/exchange.js';
import {PROTOCOL} from '../fakes/raw_target.js';

/**
 * Worker that listens and then never accepts a connection, because its thread
 * is blocked.
 */
const UNRESPONSIVE_LISTENER = `
  const {createServer} = require('node:net');
  const {parentPort} = require('node:worker_threads');
  const server = createServer().listen({port: 0, host: '127.0.0.1', backlog: 1}, () => {
    parentPort.postMessage(server.address().port);
    setTimeout(() => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0), 50);
  });
`;
const BACKLOG_CONNECTIONS = 8;
const SINK = {events: () => true};

// Guards against requests that wait for more than a second while other targets
// are idle. A target became unresponsive without closing its listener, and each
// request sent there waits for a connection. Nothing was sent yet, so the
// request can be moved to another target if the connect timeout is short.
test('a request ends soon if no connection is established', async t => {
  const worker = new Worker(UNRESPONSIVE_LISTENER, {eval: true});
  t.teardown(() => worker.terminate());
  const [port] = (await once(worker, 'message')) as [number];
  await new Promise(resolve => setTimeout(resolve, 150));
  const fillers: Socket[] = [];
  t.teardown(() => fillers.forEach(socket => socket.destroy()));
  for (let i = 0; i < BACKLOG_CONNECTIONS; i++) {
    const socket = connect({port, host: '127.0.0.1'});
    socket.on('error', () => {});
    fillers.push(socket);
  }
  using pool = new ConnectionPool(NO_COUNTERS);
  const req = {
    requestId: 'r1',
    method: 'POST',
    path: '/1',
    headers: {host: 'h'},
    body: Buffer.from('question'),
    firstEventId: undefined,
  };
  const now = () => performance.now();
  const startedAt = now();
  const target = {id: 't', address: `127.0.0.1:${port}`};
  const connection = pool.acquire(target, req.requestId);
  const exchange = new Exchange(connection, req, {
    protocol: PROTOCOL,
    sink: SINK,
    now,
    onActivity: () => {},
    onError: () => {},
  });
  exchange.start();
  t.is((await exchange.outcome$).kind, 'unsent');
  t.true(now() - startedAt < 700, `${now() - startedAt} ms`);
});
