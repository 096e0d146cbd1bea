import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {Worker} from 'node:worker_threads';
import {NO_COUNTERS} from '@oathead/core';
import test from 'ava';
import {ConnectionPool} from '../../lib/connection/connection_pool.js';
import {Exchange} from '../../lib/request/exchange.js';
import {PROTOCOL} from '../fakes/raw_target.js';

/** Listens, and then never takes a connection: its thread stands still. */
const DEAF = `
  const {createServer} = require('node:net');
  const {parentPort} = require('node:worker_threads');
  const server = createServer().listen({port: 0, host: '127.0.0.1', backlog: 1}, () => {
    parentPort.postMessage(server.address().port);
    setTimeout(() => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0), 50);
  });
`;
const PARTLY = 8;
const SINK = {events: () => true, paused: () => {}};

// Buyers wait for more than a second while other targets are idle: a target went
// dark without a word, and each request that is sent there waits for a connection.
// Nothing was sent yet, so that it can go elsewhere while it is still in time.
test('a request soon knows that no connection is made', async t => {
  const worker = new Worker(DEAF, {eval: true});
  t.teardown(() => worker.terminate());
  const [port] = (await once(worker, 'message')) as [number];
  await new Promise(resolve => setTimeout(resolve, 150));
  const fillers: Socket[] = [];
  t.teardown(() => fillers.forEach(socket => socket.destroy()));
  for (let i = 0; i < PARTLY; i++) {
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
  const exchange = new Exchange(pool.take('t', `127.0.0.1:${port}`), req, {
    protocol: PROTOCOL,
    sink: SINK,
    now,
    onHeard: () => {},
  });
  exchange.start();
  t.is((await exchange.end$).kind, 'unsent');
  t.true(now() - startedAt < 700, `${now() - startedAt} ms`);
});
