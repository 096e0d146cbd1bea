import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import type {EngineError, EngineRequest} from '@oathead/core';
import test from 'ava';
import {HttpEngineClient} from '../../lib/connection/http_engine_client.js';
import {HttpServiceClient} from '../../lib/connection/http_service_client.js';

const BLOCK = Buffer.alloc(64 * 1024, 'x');
/** What one response may take, and what the operating system buffers. */
const MAX_SENT_BYTES = 32 * 1024 * 1024;
/** What a sender of a request waits. */
const TIMEOUT_MS = 4000;
const OK = 'HTTP/1.1 200 OK\r\n\r\n';
const FAILED = 'HTTP/1.1 500 Error\r\n\r\n';
const REQUEST: EngineRequest = {
  id: 'r1',
  completion: {
    kind: 'completion',
    model: 'm',
    input: {kind: 'prompt', prompt: 'p'},
    maxTokens: 5,
  },
};

async function generate(url: string, signal: AbortSignal): Promise<void> {
  const events = new HttpEngineClient(url).generate(REQUEST, signal);
  while (!(await events.next()).done);
}

const CALLS = {
  'an event': [`${OK}data: `, generate],
  'a comment': [`${OK}: `, generate],
  'the body of a failure': [FAILED, generate],
  'a load': [
    OK,
    (url: string, signal: AbortSignal) =>
      new HttpEngineClient(url).load(signal),
  ],
  'the response of a service': [
    OK,
    (url: string, signal: AbortSignal) =>
      new HttpServiceClient(url).call(
        {kind: 'call', service: 's', method: 'POST', path: 'a', body: 'b'},
        signal,
      ),
  ],
} as const;

// Guards against a process beside an engine that runs out of memory by a response
// without end.
for (const [name, [start, call]] of Object.entries(CALLS))
  test.serial(`${name} without end is cut off`, async t => {
    const sockets: Socket[] = [];
    const server = createServer(socket => {
      sockets.push(socket);
      socket.on('error', () => socket.destroy());
      const send = () => {
        if (!socket.destroyed) socket.write(BLOCK, () => setImmediate(send));
      };
      socket.once('data', () => socket.write(start, send));
    }).listen(0, '127.0.0.1');
    t.teardown(() => {
      for (const socket of sockets) socket.destroy();
      server.close();
    });
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const err = await t.throwsAsync<EngineError>(
      call(`http://127.0.0.1:${port}`, signal) as Promise<unknown>,
    );
    t.is(err.kind, 'lost');
    const sent = sockets[0]!.bytesWritten;
    t.true(sent < MAX_SENT_BYTES, `${sent} bytes`);
  });
