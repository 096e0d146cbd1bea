import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout} from 'node:timers/promises';
import test from 'ava';
import {NO_COUNTERS, NO_EVENT_LOG} from '@oathead/core';
import {
  FrontServer,
  type RoutedRequest,
} from '../../lib/process/front_server.js';
import {FakeClock} from '../fakes/fake_clock.js';
import {PROTOCOL} from '../fakes/raw_target.js';

/** More than the buffers of a connection take at once. */
const RESPONSE_BYTES = 30 * 1024 * 1024;
const STAND_STILL_MS = 100;

function frontServer(): FrontServer {
  const context = {
    online: {
      clock: new FakeClock(),
      counters: NO_COUNTERS,
      protocol: PROTOCOL,
      admission: {admit: () => ({kind: 'admitted', account: undefined})},
    },
    routing: {
      current: {match: () => undefined, table: {bounds: {maxBodyBytes: 100}}},
      onAdopted: () => {},
    },
    batch: {
      overridesRoute: () => false,
      accepts: () => true,
      handle: async ({res}: RoutedRequest) => {
        res.writeHead(200, {'content-length': RESPONSE_BYTES});
        res.end(Buffer.alloc(RESPONSE_BYTES));
      },
    },
    log: NO_EVENT_LOG,
    plannedStop: () => undefined,
  };
  return new FrontServer(context as never);
}

// Guards against responses that a planned stop cuts off although they have
// ended: on a slow link they are not sent yet, and Node takes their connections
// for idle, also when it stops listening.
test('a response that has ended is sent to its end before its connection closes', async t => {
  const front = frontServer();
  const port = await front.server.listen('127.0.0.1', 0);
  t.teardown(() => front.server.close());
  const socket = connect(port, '127.0.0.1');
  await once(socket, 'connect');
  socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  await setTimeout(STAND_STILL_MS);
  front.server.stopListening();
  front.server.closeIdle();
  await setTimeout(STAND_STILL_MS);
  t.is(front.server.openRequests, 1);
  let bytes = 0;
  socket.on('error', () => {});
  socket.on('data', (chunk: Buffer) => (bytes += chunk.length));
  while (!socket.destroyed && bytes <= RESPONSE_BYTES)
    await setTimeout(STAND_STILL_MS);
  t.true(bytes > RESPONSE_BYTES);
});
