import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout} from 'node:timers/promises';
import test from 'ava';
import {NO_COUNTERS, NO_EVENT_LOG} from '@oathead/core';
import {FrontServer} from '../../lib/process/front_server.js';
import {FakeClock} from '../fakes/fake_clock.js';
import {PROTOCOL} from '../fakes/raw_target.js';

const CHUNK = '4\r\nbody\r\n';
const PAUSE_MS = 20;
const BODY_MS = 5000;

function frontServer(clock: FakeClock): FrontServer {
  return new FrontServer({
    online: {clock, counters: NO_COUNTERS, protocol: PROTOCOL, admission: {}},
    routing: {
      current: {match: () => undefined, table: {bounds: {maxBodyBytes: 100}}},
      onAdopted: () => {},
    },
    batch: {overridesRoute: () => false, accepts: () => false},
    log: NO_EVENT_LOG,
    plannedStop: () => undefined,
  } as never);
}

// Guards against a caller that keeps a host busy with a body without end: the
// request was refused by its head, and the body is read for nothing.
test('a body without end is not read long after its request was refused', async t => {
  const clock = new FakeClock();
  const {server} = frontServer(clock);
  const port = await server.listen('127.0.0.1', 0);
  t.teardown(() => server.close());
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => {});
  const closed = once(socket, 'close');
  socket.write(
    `POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n${CHUNK}`,
  );
  const [answer] = await once(socket, 'data');
  t.regex(String(answer), /^HTTP\/1\.1 404 /);
  clock.advance(BODY_MS - 1);
  socket.write(CHUNK);
  await setTimeout(PAUSE_MS);
  t.false(socket.destroyed);
  clock.advance(1);
  await closed;
  t.pass();
});
