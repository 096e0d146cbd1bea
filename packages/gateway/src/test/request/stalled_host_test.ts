import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import test from 'ava';
import {TargetConnection} from '../../lib/connection/target_connection.js';
import {Exchange, type ExchangeOutcome} from '../../lib/request/exchange.js';
import {PROTOCOL} from '../fakes/raw_target.js';
import {PATIENT_TIMEOUTS} from '../fakes/send_context.js';

/**
 * A target in a thread of its own. It says when it has a request, sends the
 * response somewhat later, and ends or resets the connection right after it.
 */
const TARGET = `
  const {createServer} = require('node:net');
  const {parentPort, workerData: {bytes, then}} = require('node:worker_threads');
  createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', () => {
      parentPort.postMessage('request');
      setTimeout(() => socket.write(bytes), 50);
      setTimeout(() => then === 'end' ? socket.end() : socket.resetAndDestroy(), 70);
    });
  }).listen(0, '127.0.0.1', function () {
    parentPort.postMessage(this.address().port);
  });
`;
/** Longer than the target takes for its response and the end, in ms. */
const STALL_MS = 300;
const EVENT = 'id: 1\ndata: a\n\n';

/** Holds up this thread, as a freeze of the process does. */
function stall(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MS);
}

function responseOf(type: string): string {
  return `HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\ncontent-type: ${type}\r\n\r\n${EVENT}`;
}

async function outcomeOf(
  bytes: string,
  then: string,
): Promise<ExchangeOutcome> {
  const worker = new Worker(TARGET, {eval: true, workerData: {bytes, then}});
  try {
    const [port] = (await once(worker, 'message')) as [number];
    using connection = new TargetConnection(
      `127.0.0.1:${port}`,
      PATIENT_TIMEOUTS,
    );
    const req = {
      requestId: 'r1',
      method: 'POST',
      path: '/a',
      headers: {host: 'h', id: 'r1'},
      body: Buffer.from('question'),
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
    await once(worker, 'message');
    stall();
    return await exchange.outcome$;
  } finally {
    await worker.terminate();
  }
}

const TYPES = {'plain body': 'text/plain', stream: 'text/event-stream'};

for (const [name, type] of Object.entries(TYPES)) {
  // Guards against a caller that gets the beginning of a response as the whole:
  // if data and a reset are read in one turn of the event loop, Node.js reports
  // an orderly end.
  test(`a ${name} without length that is reset during a stall is not complete`, async t => {
    const {kind} = await outcomeOf(responseOf(type), 'reset');
    t.is(kind, 'broken');
  });

  // Guards against whole responses that are taken for broken off.
  test(`a ${name} without length that ends during a stall is complete`, async t => {
    const {kind} = await outcomeOf(responseOf(type), 'end');
    t.is(kind, type === TYPES.stream ? 'streamed' : 'answered');
  });
}
