import {once} from 'node:events';
import {createSocket} from 'node:dgram';
import {setTimeout} from 'node:timers/promises';
import {
  DisposableStore,
  NO_COUNTERS,
  NO_EVENT_LOG,
  type Counters,
  SYSTEM_CLOCK,
} from '@oathead/core';
import test from 'ava';
import {HostSocket} from '../../lib/connection/host_socket.js';
import {LOAD_FORMAT} from '../../lib/connection/load_message.js';
import {
  decodePlacement,
  encodePlacement,
  PLACEMENT_FORMAT,
  type PlacementMessage,
} from '../../lib/connection/placement_message.js';

const IP = '127.0.0.1';
const GRANT: PlacementMessage = {kind: 'grant', askId: 7, targetId: 't'};

/** @returns A free port on the loopback interface. */
async function freePort(): Promise<number> {
  const socket = createSocket('udp4').bind(0, IP);
  await once(socket, 'listening');
  const {port} = socket.address();
  socket.close();
  return port;
}

async function newSocket(counters: Counters = NO_COUNTERS) {
  const self = {ip: IP, port: await freePort()};
  const socket = new HostSocket({
    self,
    clock: SYSTEM_CLOCK,
    log: NO_EVENT_LOG,
    counters,
  });
  socket.start();
  return {socket, self};
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await setTimeout(5);
}

test('a datagram is passed to the handler of its message type', async t => {
  const {socket: sender} = await newSocket();
  const {socket: receiver, self} = await newSocket();
  using held = new DisposableStore();
  held.add(sender);
  held.add(receiver);
  const received: Array<PlacementMessage | undefined> = [];
  receiver.setHandler(LOAD_FORMAT, () => {
    t.fail('handler of another message type called');
    return true;
  });
  receiver.setHandler(PLACEMENT_FORMAT, datagram => {
    received.push(decodePlacement(datagram));
    return true;
  });
  sender.send(encodePlacement(GRANT), [self], 'grant');
  await waitUntil(() => received.length > 0);
  t.deepEqual(received, [GRANT]);
});

// Hosts of another release, or any other sender on the network, may send
// datagrams that cannot be decoded. They must be counted and must not stop the
// process.
test('unreadable datagrams are counted', async t => {
  let unreadable = 0;
  const counters: Counters = {
    count: name => {
      if (name === 'datagrams_unreadable') unreadable++;
    },
  };
  const {socket: sender} = await newSocket();
  const {socket: receiver, self} = await newSocket(counters);
  receiver.setHandler(PLACEMENT_FORMAT, () => false);
  for (const bytes of [[], [0x91], [0x91, 99], [0x91, 10]])
    sender.send(Uint8Array.from(bytes), [self], 'other');
  await waitUntil(() => unreadable === 4);
  sender[Symbol.dispose]();
  receiver[Symbol.dispose]();
  // Sending after disposal is ignored and must not throw.
  sender.send(encodePlacement(GRANT), [self], 'grant');
  t.is(unreadable, 4);
});
