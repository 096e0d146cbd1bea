import type {Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {
  DEFAULT_CONNECTION_TIMEOUTS,
  TargetConnection,
} from '../../lib/connection/target_connection.js';
import {Exchange} from '../../lib/request/exchange.js';
import type {StreamEvent} from '../../lib/request/stream_events.js';
import {listen, PROTOCOL} from '../fakes/raw_target.js';

/** Number of the last event that the caller has before the run. */
const LAST_EVENT = 6;
const EVENTS = [
  'id: 7\ndata: a\n\n',
  'x-weight-versions: 3\nid: 8\ndata: bc\n\n',
  'id: 9\ndata: d\ndata: e\n\n',
] as const;
const BODY = EVENTS.join('');
const LAST_CHUNK = '0\r\n\r\n';
/** Streams that are cut at the same time. */
const CONCURRENT = 16;

const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

/** How a body travels, and the bytes of which it consists then. */
const FRAMINGS = {
  'in chunks of one event': {
    header: 'transfer-encoding: chunked\r\n',
    wire: `${EVENTS.map(chunk).join('')}${LAST_CHUNK}`,
  },
  'in chunks that end inside events': {
    header: 'transfer-encoding: chunked\r\n',
    wire: `${[BODY.slice(0, 12), BODY.slice(12, 30), BODY.slice(30)].map(chunk).join('')}${LAST_CHUNK}`,
  },
  'with a length': {
    header: `content-length: ${BODY.length}\r\n`,
    wire: BODY,
  },
  'without a length': {header: '', wire: BODY},
} as const;

/** Where and how a response is cut off. */
interface Cut {
  readonly framing: keyof typeof FRAMINGS;
  readonly connection: 'close' | 'keep-alive';
  /** Number of bytes of the body that are sent. */
  readonly bytes: number;
  /** An orderly end or a reset of the connection. */
  readonly end: 'end' | 'reset';
  /** Whether each byte is sent by itself. */
  readonly isSplit: boolean;
}

function allCuts(): readonly Cut[] {
  const cuts: Cut[] = [];
  for (const framing of Object.keys(FRAMINGS) as Array<Cut['framing']>)
    for (const connection of ['close', 'keep-alive'] as const)
      for (const end of ['end', 'reset'] as const)
        for (const isSplit of [false, true])
          for (let bytes = 0; bytes <= FRAMINGS[framing].wire.length; bytes++)
            cuts.push({framing, connection, bytes, end, isSplit});
  return cuts;
}

async function play(socket: Socket, cut: Cut): Promise<void> {
  const {header, wire} = FRAMINGS[cut.framing];
  const head =
    'HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\ncontent-type: text/event-stream\r\n' +
    `connection: ${cut.connection}\r\n${header}\r\n`;
  socket.setNoDelay(true);
  socket.write(head);
  const sent = wire.slice(0, cut.bytes);
  if (cut.isSplit)
    for (const byte of sent) {
      socket.write(byte);
      await new Promise(resolve => setImmediate(resolve));
    }
  else socket.write(sent);
  if (cut.end === 'end') socket.end();
  else socket.resetAndDestroy();
}

/** @returns What is wrong with how a cut response is received. */
async function flawOf(t: ExecutionContext, cut: Cut): Promise<string[]> {
  await using target = await listen(socket => {
    socket.on('error', () => socket.destroy());
    socket.once('data', () => void play(socket, cut));
  });
  using connection = new TargetConnection(
    target.address,
    DEFAULT_CONNECTION_TIMEOUTS,
  );
  const events: StreamEvent[] = [];
  const req = {
    requestId: 'r1',
    method: 'POST',
    path: '/a',
    headers: {host: 'h', id: 'r1'},
    body: Buffer.from('question'),
    firstEventId: LAST_EVENT + 1,
  };
  const exchange = new Exchange(connection, req, {
    protocol: PROTOCOL,
    sink: {events: more => events.push(...more) > 0},
    now: () => performance.now(),
    onActivity: () => {},
    onError: err => t.fail(String(err)),
  });
  exchange.start();
  const {kind} = await exchange.outcome$;
  const texts = events.map(({bytes}) => bytes.toString());
  const isPrefix = texts.every((text, i) => text === EVENTS[i]);
  const isComplete = kind === 'streamed';
  const mayBeComplete = isWhole(cut);
  return [
    ...(isPrefix ? [] : [`events ${JSON.stringify(texts)}`]),
    ...(isComplete === mayBeComplete ? [] : [kind]),
    ...(isComplete && texts.length !== eventsIn(cut) ? ['lacks events'] : []),
  ].map(flaw => `${JSON.stringify(cut)}: ${flaw}`);
}

/** Number of events of a body without a length that were sent whole. */
function eventsIn({framing, bytes}: Cut): number {
  if (framing !== 'without a length') return EVENTS.length;
  return BODY.slice(0, bytes).split('\n\n').length - 1;
}

/**
 * Without a length, only the end of the connection tells that a stream is whole;
 * one that ends inside an event, or with a reset, has been broken off.
 */
function isWhole({framing, bytes, end}: Cut): boolean {
  const {wire} = FRAMINGS[framing];
  if (framing !== 'without a length') return bytes === wire.length;
  const isBetweenEvents = bytes === 0 || wire.slice(0, bytes).endsWith('\n\n');
  return end === 'end' && isBetweenEvents;
}

// Guards against an event that is missing, torn or comes twice, and against a
// stream that is taken for complete too early: its target breaks it off after
// any byte.
test('a stream that is cut off after any byte holds whole events only, and is complete only with its end', async t => {
  const cuts = [...allCuts()];
  t.log(`${cuts.length} cuts`);
  const flaws: string[] = [];
  const work = async () => {
    for (let cut = cuts.pop(); cut; cut = cuts.pop())
      flaws.push(...(await flawOf(t, cut)));
  };
  await Promise.all([...Array(CONCURRENT).keys()].map(work));
  t.deepEqual(flaws, []);
});
