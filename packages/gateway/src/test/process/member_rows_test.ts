/** Rows of other hosts that cannot be used. */
import {NO_COUNTERS, NO_EVENT_LOG, SYSTEM_CLOCK} from '@oathead/core';
import test from 'ava';
import {HostSocket} from '../../lib/connection/host_socket.js';
import {feed, incarnation, newMembership} from '../fakes/heartbeats.js';

const SELF = {ip: '127.0.0.1', port: 0};
const PORTS = [0, -1, 1.5, 65_536, 99_999, 1e300, 1, 65_535];
const IPS = ['', 'a b', '::1', 'fe80::1%eth0', '127.0.0.01', '127.0.0.1'];
const CONTROL_ADDRESSES = ['', 'a b:1', '127.0.0.1:0', '[fe80::1%eth0]:1'];

// Guards against a host that ends since the row of another one has a port that no
// datagram can be sent to: sending throws, and nothing catches it.
test('a datagram can be sent to each host that is accepted', t => {
  const members = newMembership();
  const apply = feed(members);
  const addresses = [
    ...PORTS.map(loadPort => ({loadPort})),
    ...IPS.map(ip => ({ip})),
    ...CONTROL_ADDRESSES.map(controlAddress => ({controlAddress})),
  ];
  for (const [i, address] of addresses.entries())
    apply(1, incarnation(`host-${i}`, '1', address));
  using socket = new HostSocket({
    self: SELF,
    clock: SYSTEM_CLOCK,
    log: NO_EVENT_LOG,
    counters: NO_COUNTERS,
  });
  socket.start();
  const peers = members.peers();
  t.notThrows(() =>
    socket.send(
      Uint8Array.of(1),
      peers.map(({ip, loadPort: port}) => ({ip, port})),
      'test',
    ),
  );
  t.deepEqual(
    peers.map(({ip, loadPort}) => [ip, loadPort]),
    [
      ['127.0.0.1', 1],
      ['127.0.0.1', 65_535],
      ['127.0.0.1', 1],
    ],
  );
});

// Guards against a log that one host fills: it writes its row with each heartbeat.
test('an unreadable row of a host is logged once', t => {
  const lines: string[] = [];
  const members = newMembership({event: name => lines.push(name)});
  const apply = feed(members);
  for (const second of [1, 2, 3])
    apply(second, incarnation('other', '1', {loadPort: 0}));
  apply(4, incarnation('other', '1'));
  apply(5, incarnation('other', '1', {loadPort: 0}));
  const unreadable = lines.filter(name => name === 'member-unreadable');
  t.is(unreadable.length, 2);
  t.true(members.holdsLease('other.1'));
});
