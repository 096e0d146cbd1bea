import type {Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {ConnectionPool} from '../../lib/connection/connection_pool.js';
import {
  Exchange,
  mayHaveCrashed,
  type ExchangeOutcome,
} from '../../lib/request/exchange.js';
import type {StreamEvent} from '../../lib/request/stream_events.js';
import {NO_COUNTERS} from '@oathead/core';
import {listen, PROTOCOL} from '../fakes/raw_target.js';

const HEAD = 'HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n';
const STREAM = `${HEAD}content-type: text/event-stream\r\n`;
const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';

/** The bytes that a target sends, and how the connection continues. */
interface Script {
  readonly name: string;
  readonly bytes: string;
  readonly then?: 'end' | 'reset';
  readonly expected: ExchangeOutcome['kind'];
}

/**
 * Valid and faulty responses of targets. Only responses that are complete,
 * sealed and belong to the request may reach a caller.
 */
const SCRIPTS: readonly Script[] = [
  {
    name: 'a complete response',
    bytes: `${HEAD}content-length: 2\r\n\r\nok`,
    expected: 'answered',
  },
  {
    name: 'the response to another request',
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
    name: 'a body in an encoding that was not requested',
    bytes: `${HEAD}content-encoding: gzip\r\ncontent-length: 2\r\n\r\nok`,
    expected: 'broken',
  },
  {
    name: 'a truncated response',
    bytes: `${HEAD}content-length: 20\r\n\r\nok`,
    then: 'end',
    expected: 'broken',
  },
  {
    name: 'a response without length that ends with its connection',
    bytes: `${HEAD}connection: close\r\n\r\nok`,
    then: 'end',
    expected: 'answered',
  },
  {
    name: 'a response without length whose connection is reset',
    bytes: `${HEAD}connection: close\r\n\r\nok`,
    then: 'reset',
    expected: 'broken',
  },
  {
    name: 'bytes that are not HTTP',
    bytes: 'I am not HTTP\r\n\r\n',
    expected: 'broken',
  },
  {
    name: 'a head that is too long',
    bytes: `${HEAD}${'name: value\r\n'.repeat(4000)}content-length: 2\r\n\r\nok`,
    expected: 'broken',
  },
  {
    name: 'a head that names its content type twice',
    bytes: `${HEAD}content-type: a/b\r\ncontent-type: a/b\r\ncontent-length: 2\r\n\r\nok`,
    expected: 'broken',
  },
  {
    name: 'a refusal that states the request did not run',
    bytes: 'HTTP/1.1 503 X\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n',
    expected: 'declined',
  },
  {
    name: 'an error response of the target',
    bytes: 'HTTP/1.1 500 X\r\nid: r1\r\ncontent-length: 0\r\n\r\n',
    expected: 'answered',
  },
  {
    name: 'a complete stream',
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
    name: 'a closed connection without a response',
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

/**
 * Responses that a crash of the target can cause. All others prove that the
 * target is alive.
 */
const POSSIBLE_CRASHES: ReadonlySet<string> = new Set([
  'a truncated response',
  'a response without length whose connection is reset',
  'a stream that ends inside an event',
  'a closed connection without a response',
]);

// Guards against a request that is blocked for a minute as the cause of a crash
// although its targets are alive: they sent bytes that are not a valid
// response.
for (const script of SCRIPTS) {
  const crashed = POSSIBLE_CRASHES.has(script.name);
  const what = crashed ? 'may be a crash' : 'is not a crash';
  test(`${script.name} ${what}`, async t => {
    await using target = await listen(socket => answer(socket, script));
    const {end} = await exchangeWith(t, target.address);
    t.is(mayHaveCrashed(end), crashed, JSON.stringify(end));
  });
}

const BUG = new Error('a bug in the handling');

/** Handlers of a response that throw, by what they handle. */
const THROWING: Readonly<Record<string, Overrides>> = {
  head: {
    protocol: {
      ...PROTOCOL,
      readResponse: () => {
        throw BUG;
      },
    },
  },
  events: {
    sink: {
      events: () => {
        throw BUG;
      },
    },
  },
};

// Guards against a process that ends, with all its requests, because of one
// response: its exchange never settles, and throws when it is given up.
for (const [part, overrides] of Object.entries(THROWING)) {
  test(`a response whose ${part} cannot be handled ends its exchange only`, async t => {
    const bytes = `${STREAM}content-length: ${EVENTS.length}\r\n\r\n${EVENTS}`;
    const script = {name: '', bytes, expected: 'broken'} as const;
    await using target = await listen(socket => answer(socket, script));
    using pool = new ConnectionPool(NO_COUNTERS);
    const connection = pool.acquire({id: 't', address: target.address}, 'r1');
    const thrown: unknown[] = [];
    const onError = (err: unknown) => void thrown.push(err);
    const exchange = newExchange(connection, [], {...overrides, onError});
    exchange.start();
    const outcome = await exchange.outcome$;
    t.is(outcome.kind, 'broken');
    t.false(mayHaveCrashed(outcome));
    t.deepEqual(thrown, [BUG]);
    t.notThrows(() => exchange.end('timeout'));
    t.false(exchange.isConnectionReusable);
  });
}

test('a failed connection attempt leaves the request unsent', async t => {
  const target = await listen(() => {});
  await target[Symbol.asyncDispose]();
  const {end} = await exchangeWith(t, target.address);
  t.is(end.kind, 'unsent');
});

// Guards against a caller that receives the response to another request. A
// faulty target sends an extra response in the same packet, right after a
// complete one, and the next request on the pooled connection would receive it.
// The connection must not be reused.
test('a connection with an extra response is not reused', async t => {
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
  pool.release('t', connection);
  await new Promise(resolve => setTimeout(resolve, 20));
  t.not(pool.acquire({id: 't', address: target.address}, 'r2'), connection);
});

test('a connection is reused after a complete response', async t => {
  const whole = `${HEAD}content-length: 2\r\n\r\nok`;
  const script = {name: '', bytes: whole, expected: 'answered'} as const;
  await using target = await listen(socket => answer(socket, script));
  using pool = new ConnectionPool(NO_COUNTERS);
  const {connection} = await exchangeWith(t, target.address, pool);
  pool.release('t', connection);
  await new Promise(resolve => setTimeout(resolve, 20));
  t.is(pool.acquire({id: 't', address: target.address}, 'r2'), connection);
});

// Guards against a target that continues to work for a caller that has
// disconnected. The caller disconnects before the first event; the connection
// to the target must be closed immediately.
test('aborting an exchange closes its connection', async t => {
  let onClosed = () => {};
  const closed = new Promise<void>(resolve => {
    onClosed = resolve;
  });
  await using target = await listen(socket =>
    socket.on('close', onClosed).resume(),
  );
  using pool = new ConnectionPool(NO_COUNTERS);
  const connection = pool.acquire({id: 't', address: target.address}, 'r1');
  const exchange = newExchange(connection, []);
  exchange.start();
  await new Promise(resolve => setTimeout(resolve, 50));
  exchange.end('caller-left');
  t.deepEqual(await exchange.outcome$, {kind: 'ended', by: 'caller-left'});
  await closed;
  t.pass();
});

/** What a test replaces in the context of an exchange. */
type Overrides = Partial<ConstructorParameters<typeof Exchange>[2]>;

function newExchange(
  connection: ReturnType<ConnectionPool['acquire']>,
  events: StreamEvent[],
  overrides: Overrides = {},
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
    events: (newEvents: readonly StreamEvent[]) => {
      events.push(...newEvents);
      return true;
    },
  };
  return new Exchange(connection, req, {
    protocol: PROTOCOL,
    sink,
    now: () => performance.now(),
    onActivity: () => {},
    onError: err => {
      throw err;
    },
    ...overrides,
  });
}

async function exchangeWith(
  t: ExecutionContext,
  address: string,
  pool = new ConnectionPool(NO_COUNTERS),
) {
  const connection = pool.acquire({id: 't', address}, 'r1');
  t.teardown(() => connection[Symbol.dispose]());
  const exchange = newExchange(connection, []);
  exchange.start();
  return {end: await exchange.outcome$, connection};
}

function answer(socket: Socket, {bytes, then}: Script): void {
  socket.on('error', () => socket.destroy());
  socket.once('data', () => {
    socket.write(bytes, () => {
      // After the bytes, so that they are read before the connection ends.
      setTimeout(() => {
        if (then === 'end') socket.end();
        if (then === 'reset') socket.resetAndDestroy();
      }, 20);
    });
  });
}

/** More than the operating system buffers of unread data, in bytes. */
const LONG_BODY_BYTES = 16 * 1024 * 1024;
/** Pause before a target reads a request, in milliseconds. */
const READ_DELAY_MS = 600;

// Guards against a request that is taken from a target which was still reading
// it, and runs twice: its silence was counted from the first byte sent.
test('a target that reads a long request slowly is not silent', async t => {
  await using target = await listen(socket => {
    socket.pause();
    socket.on('data', () => {});
    setTimeout(() => socket.resume(), READ_DELAY_MS);
  });
  const pool = new ConnectionPool(NO_COUNTERS);
  t.teardown(() => pool[Symbol.dispose]());
  const {address} = target;
  let activities = 0;
  const exchange = new Exchange(
    pool.acquire({id: 't', address}, 'r1'),
    {
      requestId: 'r1',
      method: 'POST',
      path: '/',
      headers: {host: 'h'},
      body: Buffer.alloc(LONG_BODY_BYTES),
      firstEventId: undefined,
    },
    {
      protocol: PROTOCOL,
      sink: {events: () => true},
      now: () => performance.now(),
      onActivity: () => activities++,
      onError: err => t.fail(String(err)),
    },
  );
  exchange.start();
  const startedAt = performance.now();
  while (activities === 0 && performance.now() < startedAt + 8 * READ_DELAY_MS)
    await new Promise(resolve => setTimeout(resolve, READ_DELAY_MS / 20));
  t.true(activities > 0);
  t.true(exchange.silentMs(performance.now()) < READ_DELAY_MS);
  exchange.end('stop');
});
