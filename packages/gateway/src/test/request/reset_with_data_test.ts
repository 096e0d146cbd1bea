import type {Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {
  DEFAULT_CONNECTION_TIMEOUTS,
  TargetConnection,
} from '../../lib/connection/target_connection.js';
import {Exchange, type ExchangeOutcome} from '../../lib/request/exchange.js';
import {listen, PROTOCOL} from '../fakes/raw_target.js';

const HEAD = 'HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\nconnection: close\r\n';
const BODIES = {
  stream: `${HEAD}content-type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n`,
  body: `${HEAD}\r\nok`,
} as const;

const REFUSAL =
  'HTTP/1.1 503 No\r\nid: r1\r\nnot-run: 1\r\nconnection: close\r\n\r\n';
/** More than the sockets of both sides hold. */
const LONG_BODY_BYTES = 8 * 1024 * 1024;

/** Sends a request to a target that handles its socket with `respond`. */
async function outcomeOf(
  t: ExecutionContext,
  respond: (socket: Socket) => void,
  body = Buffer.from('question'),
): Promise<ExchangeOutcome> {
  const target = await listen(socket => {
    socket.on('error', () => socket.destroy());
    socket.once('data', () => respond(socket));
  });
  t.teardown(() => target[Symbol.asyncDispose]());
  const connection = new TargetConnection(
    target.address,
    DEFAULT_CONNECTION_TIMEOUTS,
  );
  t.teardown(() => connection[Symbol.dispose]());
  const req = {
    requestId: 'r1',
    method: 'POST',
    path: '/a',
    headers: {host: 'h', id: 'r1'},
    body,
    firstEventId: undefined,
  };
  const exchange = new Exchange(connection, req, {
    protocol: PROTOCOL,
    sink: {events: () => true},
    now: () => performance.now(),
    onActivity: () => {},
    onError: () => {},
  });
  exchange.start();
  return exchange.outcome$;
}

// Guards against a truncated response that is passed on as complete. The host
// reads the last bytes and the reset at the same time, for instance after it
// stood still, and the reset is then reported as an orderly end.
for (const [kind, bytes] of Object.entries(BODIES))
  test(`a ${kind} without length whose last bytes come with a reset is broken`, async t => {
    const outcome = await outcomeOf(t, socket => {
      socket.write(bytes);
      socket.resetAndDestroy();
    });
    t.is(outcome.kind, 'broken', JSON.stringify(outcome));
  });

for (const [kind, bytes] of Object.entries(BODIES))
  test(`a ${kind} without length whose last bytes come with the end is complete`, async t => {
    const outcome = await outcomeOf(t, socket => socket.end(bytes));
    t.is(outcome.kind, kind === 'stream' ? 'streamed' : 'answered');
  });

// Guards against a request that is answered with a failure of the gateway
// although its target refused it: a target that refuses a long request before
// it has read all of it resets the connection.
test('a refusal whose last bytes come with a reset is a refusal', async t => {
  const refuse = (socket: Socket) => {
    socket.pause();
    socket.write(REFUSAL);
    socket.resetAndDestroy();
  };
  const outcome = await outcomeOf(t, refuse, Buffer.alloc(LONG_BODY_BYTES));
  t.deepEqual(outcome, {kind: 'declined', status: 503});
});
