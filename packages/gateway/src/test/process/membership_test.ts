import {NO_EVENT_LOG, SYSTEM_CLOCK} from '@oathead/core';
import {encodeJson, MemoryRowStore, type VersionedRow} from '@oathead/stores';
import test from 'ava';
import {
  MEMBER_TABLE,
  memberId,
  Membership,
  type Member,
} from '../../lib/process/membership.js';

let version = 0;

function member(host: string, nonce: string): Member {
  const id = memberId(host, nonce);
  return {id, host, dataCentre: 'a', ip: '', loadPort: 1, controlAddress: ''};
}

function beat(from: Member): VersionedRow {
  return {
    table: MEMBER_TABLE,
    partition: '',
    key: from.host,
    value: encodeJson(from),
    version: ++version,
  };
}

function newMembership(): Membership {
  return new Membership(member('me', '1'), {
    store: new MemoryRowStore(SYSTEM_CLOCK),
    clock: SYSTEM_CLOCK,
    log: NO_EVENT_LOG,
  });
}

/** @returns Tells the members what the store says at a time, in seconds. */
function feed(members: Membership) {
  return (seconds: number, ...from: readonly Member[]) =>
    members.update({
      put: from.map(beat),
      removed: [],
      storeTimeMs: seconds * 1000,
    });
}

test('a host that stops beating loses its lease, others keep theirs', t => {
  const members = newMembership();
  const tell = feed(members);
  const silent = member('silent', '1');
  const live = member('live', '1');
  tell(1, silent, live);
  for (const second of [2, 3, 4, 5]) tell(second, live);
  t.false(members.holdsLease(silent.id));
  t.true(members.holdsLease(live.id));
  t.deepEqual(
    members.peers().map(({id}) => id),
    [live.id],
  );
});

// After an outage of the store all hosts take each other for dead and run each
// other's items: nobody could beat while the store was away. Leases are
// prolonged by the time in which the store gave no answers.
test('nobody is declared dead for the time of an outage', t => {
  const members = newMembership();
  const tell = feed(members);
  const other = member('other', '1');
  tell(1, other);
  tell(30);
  t.true(members.holdsLease(other.id));
  for (const second of [31, 32, 33, 34]) tell(second);
  t.false(members.holdsLease(other.id));
});

// The items of a host that was restarted wait until its lease ends, although it
// is known at once that the process before is gone: its host runs another.
test('a process whose host runs another one is known to be gone', t => {
  const members = newMembership();
  const tell = feed(members);
  const before = member('other', '1');
  tell(1, before);
  t.false(members.isReplaced(before.id));
  tell(2, member('other', '2'));
  t.true(members.isReplaced(before.id));
  t.true(members.isReplaced(memberId('me', '0')));
  t.false(members.isReplaced(memberId('unknown', '1')));
});

// All jobs of a live host are taken from it and run twice: a heartbeat of the
// process before is carried out by the store seconds after that process has
// ended, and covers the row of the one that runs now. It must not count.
test('a heartbeat that arrives late does not replace the run that followed', t => {
  const members = newMembership();
  const tell = feed(members);
  const before = member('other', '1');
  const now = member('other', '2');
  tell(1, before);
  tell(2, now);
  tell(3, before);
  t.false(members.isReplaced(now.id));
  t.true(members.holdsLease(now.id));
  t.false(members.holdsLease(before.id));
});
