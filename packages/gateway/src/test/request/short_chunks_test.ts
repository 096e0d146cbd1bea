import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {NO_COUNTERS} from '@oathead/core';
import test, {type ExecutionContext} from 'ava';
import {ConnectionPool} from '../../lib/connection/connection_pool.js';
import {Exchange} from '../../lib/request/exchange.js';
import {readBody} from '../../lib/request/read_body.js';
import {listen, PROTOCOL} from '../fakes/raw_target.js';

const CHUNK = '1\r\nx\r\n';
const CHUNKS_PER_BLOCK = 10_000;
const BLOCK = Buffer.from(CHUNK.repeat(CHUNKS_PER_BLOCK));
const CHUNKED = 'transfer-encoding: chunked\r\n\r\n';
const MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Of the 370 MB of a host, which holds many requests at once. */
const MAX_GROWTH_BYTES = 64 * 1024 * 1024;
const SAMPLE_MS = 20;
const TIMEOUT_MS = 20_000;

function sendShortChunks(socket: Socket, head: string): void {
  socket.on('error', () => socket.destroy());
  const send = () => {
    if (!socket.destroyed) socket.write(BLOCK, () => setImmediate(send));
  };
  socket.write(head, send);
}

/** Samples the memory of this process until it is told to stop. */
function watchMemory(): () => number {
  const used = () => {
    const {heapUsed, external} = process.memoryUsage();
    return heapUsed + external;
  };
  const before = used();
  let peak = before;
  const timer = setInterval(() => (peak = Math.max(peak, used())), SAMPLE_MS);
  return () => {
    clearInterval(timer);
    return Math.max(peak, used()) - before;
  };
}

function checkGrowth(t: ExecutionContext, growth: number): void {
  t.log(`${Math.round(growth / 1024 / 1024)} MB`);
  t.true(growth < MAX_GROWTH_BYTES, `${growth} bytes`);
}

const HEAD = 'HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n';
const RESPONSES = {
  'a body': `${HEAD}${CHUNKED}`,
  'an event of a stream': `${HEAD}content-type: text/event-stream\r\n${CHUNKED}`,
} as const;

// Guards against a host that runs out of memory: a response comes in chunks of one
// byte, and what is kept for each chunk is many times its length.
for (const [name, head] of Object.entries(RESPONSES))
  test.serial(
    `${name} in chunks of one byte takes little more memory than its bytes`,
    async t => {
      await using target = await listen(socket => {
        socket.once('data', () => sendShortChunks(socket, head));
      });
      using pool = new ConnectionPool(NO_COUNTERS);
      const connection = pool.acquire({id: 't', address: target.address}, 'r1');
      const exchange = new Exchange(
        connection,
        {
          requestId: 'r1',
          method: 'POST',
          path: '/',
          headers: {host: 'h'},
          body: Buffer.from('question'),
          firstEventId: undefined,
        },
        {
          protocol: PROTOCOL,
          sink: {events: () => true},
          now: () => performance.now(),
          onActivity: () => {},
          onError: err => t.fail(String(err)),
        },
      );
      const growth = watchMemory();
      const timer = setTimeout(() => exchange.end('timeout'), TIMEOUT_MS);
      exchange.start();
      const outcome = await exchange.outcome$;
      clearTimeout(timer);
      t.is(outcome.kind, 'broken', JSON.stringify(outcome));
      checkGrowth(t, growth());
    },
  );

// Guards against the same with the request of a caller.
test.serial(
  'a request in chunks of one byte takes little more memory than its bytes',
  async t => {
    const server = createServer();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    const growth = watchMemory();
    sendShortChunks(socket, `POST / HTTP/1.1\r\nhost: h\r\n${CHUNKED}`);
    const [req] = await once(server, 'request');
    const body = await readBody(req, MAX_BODY_BYTES);
    t.deepEqual(body, {ok: false, err: 'too-large'});
    checkGrowth(t, growth());
    socket.destroy();
    server.close();
  },
);
