import type {Socket} from 'node:net';
import {setTimeout} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import type {ExchangeOutcome} from '../../lib/request/exchange.js';
import {sendToTarget} from '../../lib/request/target_send.js';
import {listen} from '../fakes/raw_target.js';
import {newSendContext} from '../fakes/send_context.js';
import {newTarget} from '../fakes/targets.js';

const SINK = {events: () => true};
/**
 * Time from a request to its own response, in milliseconds. Long enough that a
 * late response is read on its own.
 */
const OWN_RESPONSE_MS = 20;
/** Longer than a connection takes to return to the pool, in milliseconds. */
const RELEASE_MS = 10;
const ID_LINE = /^id: (\S+)\r$/m;

/** Formats the response to the request with the given ID. */
type Response = (id: string) => string;

/** One request as the target received it. */
interface Received {
  readonly id: string;
  /** Number of the connection, starting at 0. */
  readonly connection: number;
}

function response(status: number, headers: readonly string[]): string {
  const lines = [`HTTP/1.1 ${status} X`, ...headers, 'content-length: 0'];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

const success: Response = id => response(200, [`id: ${id}`, 'seal: s']);
const failure: Response = id => response(500, [`id: ${id}`, 'seal: s']);
const refusal: Response = id => response(503, [`id: ${id}`, 'not-run: 1']);

/** A response that belongs to no request that can be told. */
interface Anonymous {
  readonly name: string;
  readonly bytes: string;
  /** Outcome if it is the first response on its connection. */
  readonly onNewConnection: ExchangeOutcome['kind'];
}

/** Responses without a request ID that a target gives to a request. */
const ANONYMOUS: readonly Anonymous[] = [
  {
    name: 'failure',
    bytes: response(500, []),
    onNewConnection: 'answered',
  },
  {
    name: 'rejection',
    bytes: response(404, []),
    onNewConnection: 'answered',
  },
  {
    name: 'refusal',
    bytes: response(503, ['not-run: 1']),
    onNewConnection: 'declined',
  },
  {
    name: 'refusal of a misdirected request',
    bytes: response(421, []),
    onNewConnection: 'declined',
  },
];

/**
 * Starts a target that responds to the first request of the test at once. On a
 * connection that has carried a request, it sends a late response before its
 * own response to the next request.
 */
async function startTarget(
  t: ExecutionContext,
  first: Response,
  late: Response,
  own = success,
) {
  const received: Received[] = [];
  let connections = 0;
  const onConnection = (socket: Socket) => {
    const connection = connections++;
    let previousId: string | undefined;
    socket.on('error', () => socket.destroy());
    socket.on('data', bytes => {
      const id = ID_LINE.exec(bytes.toString('latin1'))?.[1] ?? '';
      received.push({id, connection});
      if (received.length === 1) {
        socket.write(first(id));
      } else {
        if (previousId !== undefined) socket.write(late(previousId));
        void setTimeout(OWN_RESPONSE_MS).then(() => socket.write(own(id)));
      }
      previousId = id;
    });
  };
  const raw = await listen(onConnection);
  t.teardown(() => raw[Symbol.asyncDispose]());
  const context = newSendContext();
  t.teardown(() => context.pool[Symbol.dispose]());
  const target = newTarget('t', {address: raw.address});
  const send = async (id: string | undefined): Promise<ExchangeOutcome> => {
    const req = {
      requestId: id,
      method: 'POST',
      path: '/a',
      headers: {host: 'h', ...(id === undefined ? {} : {id})},
      body: Buffer.from('question'),
      firstEventId: undefined,
    };
    const outcome = await sendToTarget(context, target, 'online', req, SINK)
      .end;
    await setTimeout(RELEASE_MS);
    return outcome;
  };
  return {received, send};
}

function connectionsOf(received: readonly Received[]): readonly number[] {
  return received.map(({connection}) => connection);
}

// Guards against a request that runs twice: a refusal of the request before it
// arrives late, and the request is taken for refused while the target runs it.
test('a late refusal of another request declines nothing', async t => {
  const {received, send} = await startTarget(t, refusal, refusal);
  t.is((await send('a')).kind, 'declined');
  t.is((await send('b')).kind, 'broken');
  t.is((await send('c')).kind, 'answered');
  t.deepEqual(connectionsOf(received), [0, 0, 1]);
});

// Guards against a caller that gets the failure of another request.
test('a late failure of another request is not passed on', async t => {
  const {received, send} = await startTarget(t, failure, failure);
  t.is((await send('a')).kind, 'answered');
  t.is((await send('b')).kind, 'broken');
  t.is((await send('c')).kind, 'answered');
  t.deepEqual(connectionsOf(received), [0, 0, 1]);
});

for (const {name, bytes, onNewConnection} of ANONYMOUS) {
  // Guards against a response that comes late, without a request ID, and is
  // taken for the response to the next request on its connection.
  test(`a ${name} without a request ID counts for no later request`, async t => {
    const {received, send} = await startTarget(t, success, () => bytes);
    t.is((await send('a')).kind, 'answered');
    t.is((await send('b')).kind, 'broken');
    t.is((await send('c')).kind, 'answered');
    t.deepEqual(connectionsOf(received), [0, 0, 1]);
  });

  // Guards against a request that fails although its target refused it: the
  // only request of a connection is the one that the response belongs to.
  test(`a ${name} without a request ID counts on a new connection`, async t => {
    const {send} = await startTarget(t, () => bytes, success);
    t.is((await send('a')).kind, onNewConnection);
  });
}

for (const [name, first] of Object.entries({failure, refusal})) {
  // Guards against a second run of a request that is taken for failed or
  // refused: the response to its first run comes once more, with the same ID.
  test(`a late ${name} of the first run does not end the second`, async t => {
    const {received, send} = await startTarget(t, first, first);
    await send('a');
    const second = await send('a');
    t.is(second.kind === 'answered' && second.head.status, 200);
    t.deepEqual(connectionsOf(received), [0, 1]);
  });
}

// Guards against a request without an ID that is answered with a failure of the
// gateway although its target refused it: the refusal bears no ID either, so
// the request needs a connection of its own.
test('a request without an ID is sent on a new connection', async t => {
  const noId: Response = id =>
    id ? success(id) : response(400, ['not-run: 1']);
  const {received, send} = await startTarget(t, success, noId, noId);
  t.is((await send('a')).kind, 'answered');
  t.is((await send(undefined)).kind, 'declined');
  t.deepEqual(connectionsOf(received), [0, 1]);
});
