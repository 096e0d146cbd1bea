import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {type Counters} from '@oathead/core';
import test, {type ExecutionContext} from 'ava';
import {MAX_CARRIED_REQUESTS} from '../../lib/connection/carried_requests.js';
import {ConnectionPool} from '../../lib/connection/connection_pool.js';

/** A pool, and a target that accepts connections. */
async function startPool(t: ExecutionContext) {
  const server = createServer(socket => socket.on('error', () => {})).listen(0);
  await once(server, 'listening');
  t.teardown(() => server.close());
  let opened = 0;
  const counters: Counters = {count: () => opened++};
  const pool = new ConnectionPool(counters);
  t.teardown(() => pool[Symbol.dispose]());
  const {port} = server.address() as AddressInfo;
  const target = {id: 't', address: `127.0.0.1:${port}`};
  /** Takes a connection, as for a request that is answered at once. */
  const carry = async (requestId: string | undefined) => {
    const connection = pool.acquire(target, requestId);
    connection.carried.add(requestId);
    pool.release(target.id, connection);
    await setImmediate();
    return connection;
  };
  return {carry, opened: () => opened};
}

test('requests with different IDs share a connection', async t => {
  const {carry, opened} = await startPool(t);
  const first = await carry('a');
  t.is(await carry('b'), first);
  t.is(opened(), 1);
});

// Guards against a late response to the first run of a request that counts as
// the response to its second run.
test('a connection never carries two requests with one ID', async t => {
  const {carry, opened} = await startPool(t);
  const first = await carry('a');
  const second = await carry('a');
  t.not(second, first);
  t.is(await carry('b'), second);
  t.not(await carry('b'), second);
  t.is(opened(), 2);
});

// Guards against a late response without an ID that counts as the response to
// a request without an ID.
test('a request without an ID gets a connection of its own', async t => {
  const {carry} = await startPool(t);
  const first = await carry('a');
  t.not(await carry(undefined), first);
});

// Guards against a connection that is never idle and remembers the IDs of all
// its requests without bound.
test('a connection is replaced after a bounded number of requests', async t => {
  const {carry, opened} = await startPool(t);
  for (let i = 0; i < MAX_CARRIED_REQUESTS; i++) await carry(`r${i}`);
  t.is(opened(), 1);
  await carry('last');
  t.is(opened(), 2);
});
