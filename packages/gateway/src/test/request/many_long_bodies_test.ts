import {NO_COUNTERS} from '@oathead/core';
import test from 'ava';
import {ConnectionPool} from '../../lib/connection/connection_pool.js';
import {Exchange} from '../../lib/request/exchange.js';
import {listen, PROTOCOL} from '../fakes/raw_target.js';

/** Requests that a host has under way at a faulty target and its like. */
const REQUESTS = 64;
/** Just under what one response may have. */
const SENT_BYTES = 8 * 1024 * 1024 - 1024;
/** Of the 370 MB of a host. */
const MAX_GROWTH_BYTES = 192 * 1024 * 1024;
const SEND_MS = 3000;

function usedBytes(): number {
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

// Guards against a host that runs out of memory: many responses without end at once,
// each within what one may have.
test('bodies that do not end take a bounded part of the memory together', async t => {
  const body = Buffer.alloc(SENT_BYTES, 'x');
  await using target = await listen(socket => {
    socket.on('error', () => socket.destroy());
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n\r\n');
      socket.write(body);
    });
  });
  using pool = new ConnectionPool(NO_COUNTERS);
  const before = usedBytes();
  const exchanges = [...Array(REQUESTS).keys()].map(() => {
    const connection = pool.acquire({id: 't', address: target.address}, 'r1');
    return new Exchange(
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
  });
  for (const exchange of exchanges) exchange.start();
  await new Promise(resolve => setTimeout(resolve, SEND_MS));
  const growth = usedBytes() - before;
  for (const exchange of exchanges) exchange.end('stop');
  t.true(growth < MAX_GROWTH_BYTES, `${growth} bytes`);
});
