import type {Member} from '@oathead/gateway';
import test from 'ava';
import {PeerClients} from '../../lib/connection/peer_clients.js';

function member(host: string, isLeaving?: boolean): Member {
  return {
    id: `${host}.1`,
    host,
    dataCentre: 'a',
    ip: '127.0.0.1',
    loadPort: 7660,
    controlAddress: `${host}:8146`,
    isLeaving,
  };
}

function addressesOf(peers: PeerClients): readonly string[] {
  return peers.available().map(({address}) => address);
}

// Guards against a host without a way to the store of its own that goes on
// calling it through a host that stops: each call that is open at its end, and
// those until its lease is over, get no answer.
test('a host that shuts down relays no calls if another one can', t => {
  const peers = new PeerClients(
    () => [],
    () => [member('stays'), member('leaves', true)],
  );
  t.deepEqual(addressesOf(peers), ['stays:8146']);
  t.is(peers.clientOf('leaves.1')?.address, 'leaves:8146');
});

// Guards against a host that is without the store while all others stop in turn.
test('hosts that shut down relay calls if no other one can', t => {
  const peers = new PeerClients(
    () => [],
    () => [member('leaves', true)],
  );
  t.deepEqual(addressesOf(peers), ['leaves:8146']);
});
