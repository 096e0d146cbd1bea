import type {Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {ConnectionPool} from '../../lib/connection/connection_pool.js';
import {
  Exchange,
  mayHaveCrashed,
  type ExchangeEnd,
} from '../../lib/request/exchange.js';
import type {StreamEvent} from '../../lib/request/stream_events.js';
import {NO_COUNTERS} from '@oathead/core';
import {listen, PROTOCOL} from '../fakes/raw_target.js';

const HEAD = 'HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n';
const STREAM = `${HEAD}content-type: text/event-stream\r\n`;
const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';

/** What a target writes, and how it goes on. */
interface Script {
  readonly name: string;
  readonly bytes: string;
  readonly then?: 'end' | 'reset';
  readonly expected: ExchangeEnd['kind'];
}

/** Answers as targets give them, faulty ones among them. Only those that are
 * whole, signed and of this very request may reach a caller. */
const SCRIPTS: readonly Script[] = [
  {
    name: 'a whole answer',
    bytes: `${HEAD}content-length: 2\r\n\r\nok`,
    expected: 'answered',
  },
  {
    name: 'the answer to another request',
    bytes:
      'HTTP/1.1 200 OK\r\nid: r0\r\nseal: s\r\ncontent-length: 2\r\n\r\nok',
    expected: 'broken',
  },
  {
    name: 'a success without a request id',
    bytes: 'HTTP/1.1 200 OK\r\nseal: s\r\ncontent-length: 2\r\n\r\nok',
    expected: 'broken',
  },
  {
    name: 'a success without a seal',
    bytes: 'HTTP/1.1 200 OK\r\nid: r1\r\ncontent-length: 2\r\n\r\nok',
    expected: 'broken',
  },
  {
    name: 'a body in a coding that nobody asked for',
    bytes: `${HEAD}content-encoding: gzip\r\ncontent-length: 2\r\n\r\nok`,
    expected: 'broken',
  },
  {
    name: 'an answer that is cut short',
    bytes: `${HEAD}content-length: 20\r\n\r\nok`,
    then: 'end',
    expected: 'broken',
  },
  {
    name: 'an answer without length that ends with its connection',
    bytes: `${HEAD}connection: close\r\n\r\nok`,
    then: 'end',
    expected: 'answered',
  },
  {
    name: 'an answer without length whose connection is reset',
    bytes: `${HEAD}connection: close\r\n\r\nok`,
    then: 'reset',
    expected: 'broken',
  },
  {
    name: 'bytes that are no answer',
    bytes: 'I am not HTTP\r\n\r\n',
    expected: 'broken',
  },
  {
    name: 'a refusal that says it has not run',
    bytes: 'HTTP/1.1 503 X\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n',
    expected: 'declined',
  },
  {
    name: 'a failure of the target',
    bytes: 'HTTP/1.1 500 X\r\nid: r1\r\ncontent-length: 0\r\n\r\n',
    expected: 'answered',
  },
  {
    name: 'a whole stream',
    bytes: `${STREAM}content-length: ${EVENTS.length}\r\n\r\n${EVENTS}`,
    expected: 'streamed',
  },
  {
    name: 'a stream that ends inside an event',
    bytes: `${STREAM}content-length: 20\r\n\r\n${EVENTS.slice(0, 20)}`,
    expected: 'broken',
  },
  {
    name: 'a stream that leaves out an event',
    bytes: `${STREAM}content-length: 30\r\n\r\nid: 1\ndata: a\n\nid: 3\ndata: c\n\n`,
    expected: 'broken',
  },
  {
    name: 'no answer at all',
    bytes: '',
    then: 'end',
    expected: 'broken',
  },
];

for (const script of SCRIPTS) {
  test(`${script.name} counts as ${script.expected}`, async t => {
    await using target = await listen(socket => answer(socket, script));
    const {end} = await exchangeWith(t, target.address);
    t.is(end.kind, script.expected, JSON.stringify(end));
  });
}

/** What a target that crashes can look like; anything else was sent by a target
 * that lives. */
const LIKE_A_CRASH: ReadonlySet<string> = new Set([
  'an answer that is cut short',
  'an answer without length whose connection is reset',
  'a stream that ends inside an event',
  'no answer at all',
]);

// A request that may be repeated is held for a minute as one that crashes servers,
// although they live: they sent bytes that are not its answer.
for (const script of SCRIPTS) {
  const crashed = LIKE_A_CRASH.has(script.name);
  const what = crashed ? 'may be a crash' : 'is no crash';
  test(`${script.name} ${what}`, async t => {
    await using target = await listen(socket => answer(socket, script));
    const {end} = await exchangeWith(t, target.address);
    t.is(mayHaveCrashed(end), crashed, JSON.stringify(end));
  });
}

test('a connection that can not be made leaves the request unsent', async t => {
  const target = await listen(() => {});
  await target[Symbol.asyncDispose]();
  const {end} = await exchangeWith(t, target.address);
  t.is(end.kind, 'unsent');
});

// A caller gets the answer to somebody else's request. A faulty target sends a
// further answer right behind a whole one, in the same packet, and the next
// request that takes the kept connection would get it. The connection must not
// be used again.
test('a connection with an extra answer is not kept', async t => {
  const whole = `${HEAD}content-length: 2\r\n\r\nok`;
  const script = {
    name: '',
    bytes: whole + whole,
    expected: 'answered',
  } as const;
  await using target = await listen(socket => answer(socket, script));
  using pool = new ConnectionPool(NO_COUNTERS);
  const {end, connection} = await exchangeWith(t, target.address, pool);
  t.is(end.kind, 'answered');
  pool.keep('t', connection);
  await new Promise(resolve => setTimeout(resolve, 20));
  t.not(pool.take('t', target.address), connection);
});

test('a whole answer leaves a connection that is used again', async t => {
  const whole = `${HEAD}content-length: 2\r\n\r\nok`;
  const script = {name: '', bytes: whole, expected: 'answered'} as const;
  await using target = await listen(socket => answer(socket, script));
  using pool = new ConnectionPool(NO_COUNTERS);
  const {connection} = await exchangeWith(t, target.address, pool);
  pool.keep('t', connection);
  await new Promise(resolve => setTimeout(resolve, 20));
  t.is(pool.take('t', target.address), connection);
});

// A target goes on working for a caller who has left. The caller closes before
// the first event; the target must see its connection closed at once.
test('ending an exchange closes its connection', async t => {
  let onClosed = () => {};
  const closed = new Promise<void>(resolve => {
    onClosed = resolve;
  });
  await using target = await listen(socket =>
    socket.on('close', onClosed).resume(),
  );
  using pool = new ConnectionPool(NO_COUNTERS);
  const connection = pool.take('t', target.address);
  const exchange = newExchange(connection, []);
  exchange.start();
  await new Promise(resolve => setTimeout(resolve, 50));
  exchange.end('caller-left');
  t.deepEqual(await exchange.end$, {kind: 'ended', by: 'caller-left'});
  await closed;
  t.pass();
});

function newExchange(
  connection: ReturnType<ConnectionPool['take']>,
  events: StreamEvent[],
): Exchange {
  const req = {
    requestId: 'r1',
    method: 'POST',
    path: '/a',
    headers: {host: 'h', id: 'r1'},
    body: Buffer.from('question'),
    firstEventId: undefined,
  };
  const sink = {
    events: (more: readonly StreamEvent[]) => {
      events.push(...more);
      return true;
    },
    paused: () => {},
  };
  return new Exchange(connection, req, {
    protocol: PROTOCOL,
    sink,
    now: () => performance.now(),
    onHeard: () => {},
  });
}

async function exchangeWith(
  t: ExecutionContext,
  address: string,
  pool = new ConnectionPool(NO_COUNTERS),
) {
  const connection = pool.take('t', address);
  t.teardown(() => connection[Symbol.dispose]());
  const exchange = newExchange(connection, []);
  exchange.start();
  return {end: await exchange.end$, connection};
}

function answer(socket: Socket, {bytes, then}: Script): void {
  socket.on('error', () => socket.destroy());
  socket.once('data', () => {
    socket.write(bytes, () => {
      // Later than the bytes, so that they are read before the connection ends.
      setTimeout(() => {
        if (then === 'end') socket.end();
        if (then === 'reset') socket.resetAndDestroy();
      }, 20);
    });
  });
}
