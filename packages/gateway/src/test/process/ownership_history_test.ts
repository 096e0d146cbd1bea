import test from 'ava';
import {OWNER_CHANGE_MARGIN_MS, rendezvous} from '@oathead/core';
import {OwnershipHistory} from '../../lib/process/ownership_history.js';

const HOSTS = ['a', 'b', 'c'];
const ACCOUNT = 'account';
const [FIRST, SECOND] = rendezvous(ACCOUNT, HOSTS) as [string, string];
const WITHOUT_FIRST = HOSTS.filter(name => name !== FIRST);

// An owner that joins overlaps with the one before; it must not take over while
// that one still grants.
test('a host that returns owns its accounts since it is back', t => {
  const history = new OwnershipHistory(FIRST);
  history.adopt(WITHOUT_FIRST, 1000);
  history.adopt(HOSTS, 9000);
  t.is(history.ownedSince(ACCOUNT), 9000);
});

// The accounts of a lost host would be refused longer than needed.
test('a host takes over at once from one that is lost', t => {
  const history = new OwnershipHistory(SECOND);
  history.adopt(HOSTS, 1000);
  t.is(history.heldSince(ACCOUNT, 2), 1000);
  t.is(history.ownedSince(ACCOUNT), Infinity);
  history.adopt(WITHOUT_FIRST, 9000);
  t.is(history.ownedSince(ACCOUNT), 9000 - OWNER_CHANGE_MARGIN_MS);
});

test('after a suspension nothing is known of the time before', t => {
  const history = new OwnershipHistory(FIRST);
  history.adopt(HOSTS, 1000);
  history.restart(9000);
  t.is(history.ownedSince(ACCOUNT), 9000);
});
