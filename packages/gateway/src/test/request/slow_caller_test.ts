import {once} from 'node:events';
import {
  createServer,
  get,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {text} from 'node:stream/consumers';
import {setTimeout} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import type {ExchangeOutcome} from '../../lib/request/exchange.js';
import {ResponseWriter} from '../../lib/request/response_writer.js';
import {sendToTarget} from '../../lib/request/target_send.js';
import {listen} from '../fakes/raw_target.js';
import {newSendContext} from '../fakes/send_context.js';
import {newTarget} from '../fakes/targets.js';

/** More than a response to a caller buffers before it asks for a pause. */
const EVENT_BYTES = 64 * 1024;
const EVENTS = [1, 2, 3].map(
  id => `id: ${id}\ndata: ${'x'.repeat(EVENT_BYTES)}\n\n`,
);
/** An event that is read at once, so that nothing of it waits in the socket. */
const SHORT_EVENT = `id: 1\ndata: ${'x'.repeat(20 * 1024)}\n\n`;
/** An event that is longer than what may wait for a caller. */
const LONG_EVENT = `id: 1\ndata: ${'x'.repeat(1500 * 1024)}\n\n`;
/** Many more events than a host buffers for one caller. */
const ENDLESS_EVENTS = 64;
/** Time between two pieces of a response, in milliseconds. */
const PIECE_MS = 10;
/** How long the caller accepts nothing, in milliseconds. */
const SLOW_MS = 200;

/** How a stream is sent and ends. */
interface Script {
  readonly name: string;
  readonly headers: readonly string[];
  readonly pieces: readonly string[];
  readonly then: 'end' | 'reset';
  readonly isWhole: boolean;
  /** The body that the caller gets; {@link EVENTS} by default. */
  readonly body?: string;
}

const chunk = (bytes: string) => `${bytes.length.toString(16)}\r\n${bytes}\r\n`;
const LAST_CHUNK = '0\r\n\r\n';
const CHUNKED = 'transfer-encoding: chunked';
const LENGTH = `content-length: ${EVENTS.join('').length}`;
const CLOSE = 'connection: close';

const SCRIPTS: readonly Script[] = [
  {
    name: 'a single event without length that ends',
    headers: [],
    pieces: [SHORT_EVENT],
    then: 'end',
    isWhole: true,
    body: SHORT_EVENT,
  },
  {
    name: 'a single event without length that is reset',
    headers: [],
    pieces: [SHORT_EVENT],
    then: 'reset',
    isWhole: false,
  },
  {
    name: 'a single event in chunks that is reset',
    headers: [CHUNKED, CLOSE],
    pieces: [chunk(SHORT_EVENT)],
    then: 'reset',
    isWhole: false,
  },
  {
    name: 'a single long event in chunks that ends its connection',
    headers: [CHUNKED, CLOSE],
    pieces: [chunk(LONG_EVENT), LAST_CHUNK],
    then: 'end',
    isWhole: true,
    body: LONG_EVENT,
  },
  {
    name: 'a stream without length that ends',
    headers: [],
    pieces: EVENTS,
    then: 'end',
    isWhole: true,
  },
  {
    name: 'a stream without length, with connection close, that ends',
    headers: [CLOSE],
    pieces: EVENTS,
    then: 'end',
    isWhole: true,
  },
  {
    name: 'a stream without length that is reset',
    headers: [],
    pieces: EVENTS,
    then: 'reset',
    isWhole: false,
  },
  {
    name: 'a stream in chunks that ends its connection',
    headers: [CHUNKED, CLOSE],
    pieces: [...EVENTS.map(chunk), LAST_CHUNK],
    then: 'end',
    isWhole: true,
  },
  {
    name: 'a stream in chunks that is reset',
    headers: [CHUNKED, CLOSE],
    pieces: EVENTS.map(chunk),
    then: 'reset',
    isWhole: false,
  },
  {
    name: 'a stream with a length that ends its connection',
    headers: [LENGTH],
    pieces: EVENTS,
    then: 'end',
    isWhole: true,
  },
  {
    name: 'a stream with a length that breaks off',
    headers: [LENGTH, CLOSE],
    pieces: EVENTS.slice(1),
    then: 'end',
    isWhole: false,
  },
];

async function play(socket: Socket, script: Script): Promise<void> {
  const head = [
    'HTTP/1.1 200 OK',
    'id: r1',
    'seal: s',
    'content-type: text/event-stream',
    ...script.headers,
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
  for (const piece of script.pieces) {
    socket.write(piece);
    await setTimeout(PIECE_MS);
  }
  if (script.then === 'end') socket.end();
  else socket.resetAndDestroy();
}

/**
 * Starts a target that plays a script, and a host that passes the stream on to
 * a caller who accepts nothing at first.
 */
async function serveSlowly(
  t: ExecutionContext,
  script: Script,
  slowMs: number,
) {
  const raw = await listen(socket => {
    socket.on('error', () => socket.destroy());
    socket.once('data', () => void play(socket, script));
  });
  t.teardown(() => raw[Symbol.asyncDispose]());
  const context = newSendContext();
  const target = newTarget('t', {address: raw.address});
  let onOutcome!: (outcome: ExchangeOutcome) => void;
  const outcome$ = new Promise<ExchangeOutcome>(resolve => {
    onOutcome = resolve;
  });
  const serve = async (res: ServerResponse) => {
    res.cork();
    const writer = new ResponseWriter(res, undefined, () => performance.now());
    const req = {
      requestId: 'r1',
      method: 'POST',
      path: '/a',
      headers: {host: 'h', id: 'r1'},
      body: Buffer.from('question'),
      firstEventId: undefined,
    };
    const slow = setTimeout(slowMs).then(() => res.uncork());
    const sent = sendToTarget(context, target, 'online', req, writer);
    const outcome = await sent.end;
    if (outcome.kind === 'streamed') writer.endStream(outcome.head);
    else writer.abort();
    onOutcome(outcome);
    await slow;
  };
  const server = createServer((req, res) => void serve(res));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const {port} = server.address() as AddressInfo;
  return {url: `http://127.0.0.1:${port}/`, outcome$};
}

/** @returns The body of a whole response; undefined if it was broken off. */
async function readWhole(url: string): Promise<string | undefined> {
  try {
    const [res] = (await once(get(url), 'response')) as [IncomingMessage];
    return await text(res);
  } catch {
    return undefined;
  }
}

for (const script of SCRIPTS) {
  const what = script.isWhole ? 'arrives whole' : 'never looks whole';
  // Guards against a process that ends, and cuts off all its callers, because a
  // connection to a target ends or breaks while a slow caller accepts nothing.
  test(`${script.name} ${what} at a slow caller`, async t => {
    const {url, outcome$} = await serveSlowly(t, script, SLOW_MS);
    const body = await readWhole(url);
    t.is((await outcome$).kind, script.isWhole ? 'streamed' : 'broken');
    t.is(body, script.isWhole ? (script.body ?? EVENTS.join('')) : undefined);
  });
}

// Guards against callers that take all memory of a host by reading nothing.
test('a stream ends if too much of it waits for its caller', async t => {
  const pieces = [...Array(ENDLESS_EVENTS).keys()].map(
    id => `id: ${id + 1}\ndata: ${'x'.repeat(EVENT_BYTES)}\n\n`,
  );
  const script = {...SCRIPTS[0]!, pieces};
  const never = ENDLESS_EVENTS * PIECE_MS * 10;
  const {url, outcome$} = await serveSlowly(t, script, never);
  t.is(await readWhole(url), undefined);
  t.deepEqual(await outcome$, {kind: 'ended', by: 'caller-slow'});
});
