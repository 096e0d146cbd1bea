import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {failure} from '@oathead/core';
import type {RowStoreRelay} from '@oathead/stores';
import test from 'ava';
import {PeerClient, servePeers} from '../../lib/connection/peer_router.js';

const HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n';
const CHUNKED = 'transfer-encoding: chunked\r\n\r\n';
const BLOCK_BYTES = 64 * 1024;
/** A host has 370 MB, and asks more than one peer at once. */
const MAX_SENT_BYTES = 48 * 1024 * 1024;
const FEED_WAIT_MS = 4000;
/** A call ends long before its timeout. */
const AT_ONCE_MS = 1500;
/** How long a peer keeps sending a request that does not end. */
const SEND_MS = 3000;

/** Bytes that go on until the caller closes. */
const RESPONSES = {
  'a body that ends with its connection': [`${HEAD}\r\n`, 'x'],
  'a body in chunks': [`${HEAD}${CHUNKED}`, `400\r\n${'x'.repeat(1024)}\r\n`],
  'a body with an excessive length': [
    `${HEAD}content-length: 99999999999\r\n\r\n`,
    'x',
  ],
  'the body of a failure': ['HTTP/1.1 500 Error\r\n\r\n', 'x'],
  'header lines': [HEAD, 'name: value\r\n'],
} as const;

const REQUEST = 'POST /changes HTTP/1.1\r\nhost: h\r\n';
const REQUESTS = {
  'a body in chunks': [
    `${REQUEST}content-type: application/json\r\n${CHUNKED}`,
    `400\r\n${'x'.repeat(1024)}\r\n`,
  ],
  'a body with an excessive length': [
    `${REQUEST}content-type: application/json\r\ncontent-length: 99999999999\r\n\r\n`,
    'x',
  ],
  'header lines': [REQUEST, 'name: value\r\n'],
} as const;

function keepSending(socket: Socket, start: string, repeated: string): void {
  const block = Buffer.from(
    repeated.repeat(Math.ceil(BLOCK_BYTES / repeated.length)),
  );
  const send = () => {
    if (!socket.destroyed) socket.write(block, () => setImmediate(send));
  };
  socket.write(start, send);
}

// Guards against a host that runs out of memory by a response of a peer that does
// not end before the timeout of its call.
for (const [name, [start, repeated]] of Object.entries(RESPONSES))
  test.serial(`${name} of a peer's response is cut off`, async t => {
    const sockets: Socket[] = [];
    const server = createServer(socket => {
      sockets.push(socket);
      socket.on('error', () => socket.destroy());
      socket.once('data', () => keepSending(socket, start, repeated));
    }).listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const client = new PeerClient(`127.0.0.1:${port}`);
    const startedAt = performance.now();
    const result = await client.changes('servers', 0, FEED_WAIT_MS);
    const tookMs = performance.now() - startedAt;
    t.is(result.ok ? 'ok' : result.err.kind, 'unknown');
    const sent = sockets[0]!.bytesWritten;
    t.true(sent < MAX_SENT_BYTES, `${sent} bytes in ${tookMs} ms`);
    t.true(tookMs < AT_ONCE_MS, `${tookMs} ms`);
    for (const socket of sockets) socket.destroy();
    server.close();
  });

/** A port that is free now. */
async function freePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

// Guards against a host that runs out of memory by a request of a peer without end.
for (const [name, [start, repeated]] of Object.entries(REQUESTS))
  test.serial(`${name} of a peer's request is cut off`, async t => {
    const unused = () => Promise.resolve(failure({kind: 'missing'} as const));
    const store = {
      transact: unused,
      read: unused,
      changes: unused,
    } as unknown as RowStoreRelay;
    const port = await freePort();
    const peers = servePeers(
      {store, snapshot: () => ({}), learnJobHead: () => {}},
      '127.0.0.1',
      port,
    );
    t.teardown(() => peers[Symbol.dispose]());
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => socket.destroy());
    const closed = new Promise(resolve => socket.once('close', resolve));
    let reply = '';
    socket.on('data', data => (reply += data.toString()));
    await once(socket, 'connect');
    keepSending(socket, start, repeated);
    const timer = setTimeout(() => socket.destroy(), SEND_MS);
    await closed;
    clearTimeout(timer);
    const sent = socket.bytesWritten;
    t.log(`${sent} bytes, ${reply.split('\r\n')[0]}`);
    t.true(sent < MAX_SENT_BYTES, `${sent} bytes`);
  });
