import {SYSTEM_CLOCK, sleep} from '@oathead/core';
import test from 'ava';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {connect} from 'node:net';
import {ApiConnections} from '../../lib/connection/api_connections.js';

/** More than the system's buffers take for a caller that does not read. */
const LARGE_BYTES = 30_000_000;
const SOME_MS = 200;

async function start(body: Buffer) {
  const server = createServer((req, res) => res.end(body));
  const connections = new ApiConnections(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const open = async () => {
    const socket = connect(port, '127.0.0.1');
    await once(socket, 'connect');
    return socket;
  };
  return {connections, open};
}

// A caller with a slow link gets a part of its answer: the stop closes its
// connection, which counts as idle to Node once the answer was handed over.
test('an answer that is not sent yet is not cut by a stop', async t => {
  const {connections, open} = await start(Buffer.alloc(LARGE_BYTES));
  const caller = await open();
  caller.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  await once(caller, 'readable');
  await sleep(SYSTEM_CLOCK, SOME_MS);
  connections.stopListening();
  connections.closeIdle();
  t.true(connections.busy);
  let bytes = 0;
  caller.on('data', (data: Buffer) => (bytes += data.length));
  while (connections.busy) await sleep(SYSTEM_CLOCK, SOME_MS / 10);
  connections.closeAll();
  await once(caller, 'close');
  t.true(bytes > LARGE_BYTES, `${bytes} bytes`);
});

// A connection without a request keeps a stopped process up until it is killed.
test('connections that are unused or idle are closed by a stop', async t => {
  const {connections, open} = await start(Buffer.from('a'));
  const [kept, unused] = [await open(), await open()];
  kept.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  await once(kept, 'data');
  while (connections.busy) await sleep(SYSTEM_CLOCK, 1);
  const closed = [once(kept, 'close'), once(unused.resume(), 'close')];
  connections.stopListening();
  connections.closeIdle();
  await closed[0];
  t.false(unused.destroyed);
  connections.closeAll();
  await closed[1];
  t.pass();
});

// A stop resets a connection on which a request is just arriving.
test('a request whose head is on its way is waited for by a stop', async t => {
  const {connections, open} = await start(Buffer.from('a'));
  const caller = await open();
  caller.write('GET / HTTP/1.1\r\n');
  while (!connections.busy) await sleep(SYSTEM_CLOCK, 1);
  connections.stopListening();
  connections.closeIdle();
  caller.write('host: a\r\n\r\n');
  const [answer] = (await once(caller, 'data')) as [Buffer];
  t.regex(String(answer), /^HTTP\/1\.1 200 /);
  while (connections.busy) await sleep(SYSTEM_CLOCK, 1);
  connections.closeAll();
  await once(caller.resume(), 'close');
});
