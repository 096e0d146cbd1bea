import type {Socket} from 'node:net';
import {NO_COUNTERS} from '@oathead/core';
import test from 'ava';
import {ConnectionPool} from '../../lib/connection/connection_pool.js';
import {
  Exchange,
  mayHaveCrashed,
  type ExchangeOutcome,
} from '../../lib/request/exchange.js';
import {EventSplitter} from '../../lib/request/stream_events.js';
import {listen, PROTOCOL} from '../fakes/raw_target.js';

const HEAD = 'HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n';
const STREAM = `${HEAD}content-type: text/event-stream\r\n`;
const CHUNKED = 'transfer-encoding: chunked\r\n\r\n';
const BLOCK_BYTES = 16 * 1024;
/** What the operating system buffers, and twice the longest event. */
const MAX_SENT_BYTES = 12 * 1024 * 1024;
/** More than any of them takes, less than callers of these routes wait. */
const AT_ONCE_MS = 1200;

/** Bytes that go on until the caller closes. */
interface Endless {
  readonly name: string;
  readonly start: string;
  readonly repeated: string;
  readonly expected: ExchangeOutcome['kind'];
}

const ENDLESS: readonly Endless[] = [
  {
    name: 'a stream without the end of an event',
    start: `${STREAM}\r\n`,
    repeated: 'data: x',
    expected: 'broken',
  },
  {
    name: 'a chunked stream without the end of an event',
    start: `${STREAM}${CHUNKED}`,
    repeated: '7\r\ndata: x\r\n',
    expected: 'broken',
  },
  {
    name: 'comment lines without an empty line',
    start: `${STREAM}\r\n`,
    repeated: ': comment\n',
    expected: 'broken',
  },
  {
    name: 'a reason phrase',
    start: 'HTTP/1.1 200 ',
    repeated: 'O',
    expected: 'broken',
  },
  {
    name: 'heads that announce another one',
    start: '',
    repeated: 'HTTP/1.1 103 Early Hints\r\n\r\n',
    expected: 'broken',
  },
  {
    name: 'a chunk extension',
    start: `${HEAD}${CHUNKED}5;`,
    repeated: 'x',
    expected: 'broken',
  },
  {
    name: 'a chunk size',
    start: `${HEAD}${CHUNKED}`,
    repeated: '0',
    expected: 'broken',
  },
  {
    name: 'line ends before the head',
    start: '',
    repeated: '\r\n',
    expected: 'broken',
  },
  {
    name: 'a header line',
    start: `${HEAD}long: `,
    repeated: 'x',
    expected: 'broken',
  },
  {
    name: 'header lines',
    start: HEAD,
    repeated: 'name: value\r\n',
    expected: 'broken',
  },
  {
    name: 'trailer lines',
    start: `${HEAD}${CHUNKED}2\r\nok\r\n0\r\n`,
    repeated: 'name: value\r\n',
    expected: 'broken',
  },
  {
    name: 'a body',
    start: `${HEAD}\r\n`,
    repeated: 'x',
    expected: 'broken',
  },
  {
    name: 'no HTTP',
    start: 'I am not HTTP',
    repeated: 'x',
    expected: 'broken',
  },
  {
    name: 'the body of a refusal',
    start: 'HTTP/1.1 503 X\r\nnot-run: 1\r\n\r\n',
    repeated: 'x',
    expected: 'declined',
  },
];

/** Sends without end, and counts what the caller has taken. */
function sendWithoutEnd(socket: Socket, {start, repeated}: Endless): void {
  const count = Math.ceil(BLOCK_BYTES / repeated.length);
  const block = Buffer.from(repeated.repeat(count));
  socket.on('error', () => socket.destroy());
  const send = () => {
    if (!socket.destroyed) socket.write(block, () => setImmediate(send));
  };
  socket.once('data', () => socket.write(start, send));
}

// Guards against a process that is kept busy, or runs out of memory, by a response
// without end, while its caller waits until the deadline.
for (const endless of ENDLESS)
  test.serial(`${endless.name} without end is cut off`, async t => {
    const sockets: Socket[] = [];
    await using target = await listen(socket => {
      sockets.push(socket);
      sendWithoutEnd(socket, endless);
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
    const startedAt = performance.now();
    const timer = setTimeout(() => exchange.end('timeout'), 2 * AT_ONCE_MS);
    exchange.start();
    const outcome = await exchange.outcome$;
    clearTimeout(timer);
    t.is(outcome.kind, endless.expected, JSON.stringify(outcome));
    t.false(mayHaveCrashed(outcome));
    t.true(performance.now() - startedAt < AT_ONCE_MS);
    t.false(exchange.isConnectionReusable);
    const sent = sockets[0]!.bytesWritten;
    t.true(sent < MAX_SENT_BYTES, `${sent}`);
  });

// Guards against a stream that counts as getting on while it brings no event.
test('bytes that complete no event are no progress', async t => {
  const endless = {...ENDLESS[0]!, repeated: 'data: x'};
  await using target = await listen(socket => {
    socket.on('error', () => socket.destroy());
    socket.once('data', () => {
      socket.write(endless.start);
      const timer = setInterval(() => socket.write(endless.repeated), 20);
      socket.on('close', () => clearInterval(timer));
    });
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
  exchange.start();
  await new Promise(resolve => setTimeout(resolve, 600));
  t.true(exchange.silentMs(performance.now()) > 400);
  exchange.end('stop');
});

// Guards against work that grows with the square of the length of an event.
test('an event in many chunks is read in time that grows with its length', t => {
  const timeFor = (chunks: number) => {
    const splitter = new EventSplitter();
    const chunk = Buffer.alloc(1024, 'x');
    const startedAt = performance.now();
    for (let i = 0; i < chunks; i++) splitter.push(chunk);
    t.is(splitter.push(Buffer.from('\n\n')).length, 1);
    return performance.now() - startedAt;
  };
  timeFor(1000);
  const short = timeFor(1000);
  const long = timeFor(8000);
  t.true(long < 24 * Math.max(short, 1), `${short} ms, ${long} ms`);
});

test('an end that is split between two chunks ends its event', t => {
  const splitter = new EventSplitter();
  t.deepEqual(splitter.push(Buffer.from('id: 1\ndata: a\n')), []);
  const [first, second] = splitter.push(Buffer.from('\nid: 2\ndata: b\n\n'));
  t.is(first?.id, 1);
  t.is(second?.id, 2);
  t.false(splitter.hasPartialEvent);
});
