import {once} from 'node:events';
import type {Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {
  DEFAULT_CONNECTION_TIMEOUTS,
  TargetConnection,
} from '../../lib/connection/target_connection.js';
import {Exchange, type ExchangeOutcome} from '../../lib/request/exchange.js';
import {endsWithConnection} from '../../lib/request/response_framing.js';
import {listen, PROTOCOL} from '../fakes/raw_target.js';

const HEAD = 'HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n';
const STREAM = `${HEAD}content-type: text/event-stream\r\n`;
const BODY = 'a whole body';
const EVENTS = 'id: 7\ndata: a\n\nid: 8\ndata: b\n\n';
const FIRST =
  'HTTP/1.1 200 OK\r\nid: r0\r\nseal: s\r\ncontent-length: 2\r\n\r\nok';
/** Exchanges that are cut at the same time. */
const CONCURRENT = 16;
const LAST_EVENT_BEFORE = 6;

interface Shape {
  readonly head: string;
  readonly body: string;
  /** What a response is that has come whole. */
  readonly whole: ExchangeOutcome['kind'];
  /** Whether only the end of the connection ends the body. */
  readonly endsWithConnection?: true;
  readonly resumed?: true;
}

const chunks = (...texts: readonly string[]) =>
  `${texts.map(text => `${text.length.toString(16)}\r\n${text}\r\n`).join('')}0\r\n\r\n`;
const CHUNKED = 'transfer-encoding: chunked\r\n\r\n';
const LENGTH = (text: string) => `content-length: ${text.length}\r\n\r\n`;
const EVENT_CHUNKS = chunks(EVENTS.slice(0, 20), EVENTS.slice(20));

const SHAPES = {
  'a body with a length': {
    head: HEAD + LENGTH(BODY),
    body: BODY,
    whole: 'answered',
  },
  'a body in chunks': {
    head: HEAD + CHUNKED,
    body: chunks(BODY.slice(0, 5), BODY.slice(5)),
    whole: 'answered',
  },
  'a body that ends with its connection': {
    head: `${HEAD}connection: close\r\n\r\n`,
    body: BODY,
    whole: 'answered',
    endsWithConnection: true,
  },
  'an empty body': {head: HEAD + LENGTH(''), body: '', whole: 'answered'},
  'a failure': {
    head: `${HEAD.replace('200 OK', '500 Error')}${LENGTH(BODY)}`,
    body: BODY,
    whole: 'answered',
  },
  'a refusal': {
    head: `HTTP/1.1 503 Busy\r\nid: r1\r\nnot-run: 1\r\n${LENGTH('')}`,
    body: '',
    whole: 'declined',
  },
  'a head behind an interim one': {
    head: `HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n${HEAD}${LENGTH(BODY)}`,
    body: BODY,
    whole: 'answered',
  },
  'a stream in chunks': {
    head: STREAM + CHUNKED,
    body: EVENT_CHUNKS,
    whole: 'streamed',
  },
  'a resumed stream in chunks': {
    head: STREAM + CHUNKED,
    body: EVENT_CHUNKS,
    whole: 'streamed',
    resumed: true,
  },
  'a stream with a length': {
    head: STREAM + LENGTH(EVENTS),
    body: EVENTS,
    whole: 'streamed',
  },
  'a stream that ends with its connection': {
    head: `${STREAM}\r\n`,
    body: EVENTS,
    whole: 'streamed',
    endsWithConnection: true,
  },
} as const satisfies Readonly<Record<string, Shape>>;

/** Where and how a response is cut off. */
interface Cut {
  readonly shape: keyof typeof SHAPES;
  /** Number of bytes that are sent, from the first of the head. */
  readonly bytes: number;
  /** An orderly end or a reset of the connection. */
  readonly end: 'end' | 'reset';
  /** Whether the last byte is sent by itself. */
  readonly isSplit: boolean;
  /** Whether the connection has carried a request before. */
  readonly isKept: boolean;
}

function allCuts(shape: Cut['shape']): readonly Cut[] {
  const {head, body} = SHAPES[shape];
  const cuts: Cut[] = [];
  for (const end of ['end', 'reset'] as const)
    for (const isSplit of [false, true])
      for (const isKept of [false, true])
        for (let bytes = 0; bytes <= head.length + body.length; bytes++)
          cuts.push({shape, bytes, end, isSplit, isKept});
  return cuts;
}

async function play(socket: Socket, cut: Cut): Promise<void> {
  const {head, body} = SHAPES[cut.shape];
  const sent = (head + body).slice(0, cut.bytes);
  const first = cut.isSplit ? sent.slice(0, -1) : sent;
  if (first !== '') socket.write(first);
  // Gives the other end time to read what has come so far.
  if (cut.isSplit) await new Promise(resolve => setTimeout(resolve, 1));
  if (first !== sent) socket.write(sent.slice(first.length));
  if (cut.end === 'end') socket.end();
  else socket.resetAndDestroy();
}

async function serve(socket: Socket, cut: Cut): Promise<void> {
  socket.setNoDelay(true);
  socket.on('error', () => socket.destroy());
  if (cut.isKept) {
    await once(socket, 'data');
    socket.write(FIRST);
  }
  await once(socket, 'data');
  await play(socket, cut);
}

/** What is allowed as the outcome of a cut response. */
function allowedKinds(cut: Cut): readonly ExchangeOutcome['kind'][] {
  const shape: Shape = SHAPES[cut.shape];
  const {head, body, whole} = shape;
  const isWhole = cut.bytes === head.length + body.length;
  if (!shape.endsWithConnection) {
    if (!isWhole) return ['broken'];
    // The reset may overtake the last bytes.
    return cut.end === 'end' ? [whole] : [whole, 'broken'];
  }
  if (cut.bytes < head.length || cut.end === 'reset') return ['broken'];
  if (whole === 'answered') return ['answered'];
  const text = body.slice(0, cut.bytes - head.length);
  return [text === '' || text.endsWith('\n\n') ? 'streamed' : 'broken'];
}

function exchangeOn(
  t: ExecutionContext,
  connection: TargetConnection,
  requestId: string,
  events: string[],
  firstEventId?: number,
): Promise<ExchangeOutcome> {
  const exchange = new Exchange(
    connection,
    {
      requestId,
      method: 'POST',
      path: '/a',
      headers: {host: 'h', id: requestId},
      body: Buffer.from('question'),
      firstEventId,
    },
    {
      protocol: PROTOCOL,
      sink: {
        events: more =>
          events.push(...more.map(({bytes}) => bytes.toString())) > 0,
      },
      now: () => performance.now(),
      onActivity: () => {},
      onError: err => t.fail(String(err)),
    },
  );
  exchange.start();
  return exchange.outcome$;
}

/** What is wrong with a body that counts as whole. */
function bodyFlaws(cut: Cut, outcome: ExchangeOutcome): readonly string[] {
  if (outcome.kind !== 'answered') return [];
  const shape: Shape = SHAPES[cut.shape];
  const body = outcome.body.toString();
  if (!shape.endsWithConnection)
    return body === (shape.body && BODY) ? [] : [`body ${body}`];
  // The caller gets it without a length, too.
  const isFramed = !endsWithConnection(outcome.head);
  const isOther = !BODY.startsWith(body);
  return [...(isFramed ? ['framed'] : []), ...(isOther ? [body] : [])];
}

/** @returns What is wrong with how a cut response is received. */
async function flawsOf(t: ExecutionContext, cut: Cut): Promise<string[]> {
  await using target = await listen(socket => void serve(socket, cut));
  using connection = new TargetConnection(
    target.address,
    DEFAULT_CONNECTION_TIMEOUTS,
  );
  const shape: Shape = SHAPES[cut.shape];
  const events: string[] = [];
  if (cut.isKept) await exchangeOn(t, connection, 'r0', []);
  const outcome = await exchangeOn(
    t,
    connection,
    'r1',
    events,
    shape.resumed && LAST_EVENT_BEFORE + 1,
  );
  const flaws = [
    ...(allowedKinds(cut).includes(outcome.kind) ? [] : [outcome.kind]),
    ...(EVENTS.startsWith(events.join('')) ? [] : ['other events']),
    ...bodyFlaws(cut, outcome),
  ];
  return flaws.map(flaw => `${JSON.stringify(cut)}: ${flaw}`);
}

// Guards against a response that looks whole, and against a request that counts
// as not run, because its target stops after any byte of its head or body.
for (const shape of Object.keys(SHAPES) as Array<Cut['shape']>)
  test.serial(
    `${shape}, cut after any byte, counts as whole only if it is`,
    async t => {
      const cuts = [...allCuts(shape)];
      t.log(`${cuts.length} cuts`);
      const flaws: string[] = [];
      const work = async () => {
        for (let cut = cuts.pop(); cut; cut = cuts.pop())
          flaws.push(...(await flawsOf(t, cut)));
      };
      await Promise.all([...Array(CONCURRENT).keys()].map(work));
      t.deepEqual(flaws, []);
    },
  );
