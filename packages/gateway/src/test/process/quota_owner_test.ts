import test from 'ava';
import {NO_COUNTERS, NO_EVENT_LOG, seededRandom} from '@oathead/core';
import {QuotaOwner} from '../../lib/process/quota_owner.js';
import {FakeClock} from '../fakes/fake_clock.js';

const TOLERANCE = {windowMs: 5000, overage: 0.1, slack: 20};
const QUOTA = {perSecond: 64, burst: 64};
const HOSTS = [{host: 'a'}, {host: 'b'}];
const SELF = 'a';

function ownerAt(
  clock: FakeClock,
  heardAt: () => number = () => clock.now(),
): QuotaOwner {
  const owner = new QuotaOwner(SELF, {
    clock,
    random: seededRandom(1),
    log: NO_EVENT_LOG,
    counters: NO_COUNTERS,
    tolerance: () => TOLERANCE,
    heardAt,
  });
  owner.check(HOSTS, () => true);
  return owner;
}

function advance(clock: FakeClock, owner: QuotaOwner, ms: number): void {
  for (let i = 0; i < ms; i += 250) {
    clock.advance(250);
    owner.check(HOSTS, () => true);
  }
}

function grantsOf(owner: QuotaOwner): number {
  let granted = 0;
  while (owner.take('account', QUOTA, {}).kind === 'granted') granted++;
  return granted;
}

// While it was suspended, another host may have become the owner; it would grant
// what that one grants, too, to its own callers.
test('an owner that was suspended takes itself for a new one', t => {
  const clock = new FakeClock();
  const owner = ownerAt(clock);
  advance(clock, owner, 10_000);
  t.is(grantsOf(owner), 78);
  clock.advance(10_000);
  t.true(grantsOf(owner) <= 2);
});

// Each host that joins or leaves would make every owner refuse requests.
test('an owner stays the owner when other hosts join', t => {
  const clock = new FakeClock();
  const owner = ownerAt(clock);
  advance(clock, owner, 10_000);
  // By these names, each list has the same owner of the account.
  for (const host of ['c', 'd', 'e']) {
    owner.check([...HOSTS, {host}], () => true);
    clock.advance(100);
  }
  t.is(grantsOf(owner), 78);
});

// Guards against a window that is granted twice: while the owner was cut off,
// another host has counted its accounts, and its own list of hosts is the same.
test('an owner that was cut off takes itself for a new one', t => {
  const clock = new FakeClock();
  let heardAt = 0;
  const owner = ownerAt(clock, () => heardAt);
  for (let ms = 0; ms < 10_000; ms += 250) {
    heardAt = clock.now();
    advance(clock, owner, 250);
  }
  t.is(grantsOf(owner), 78);
  advance(clock, owner, 10_000);
  heardAt = clock.now();
  t.true(grantsOf(owner) <= 2);
});

test('a single host is not cut off', t => {
  const clock = new FakeClock();
  const owner = ownerAt(clock, () => 0);
  const alone = [{host: SELF}];
  for (let ms = 0; ms < 10_000; ms += 250) {
    clock.advance(250);
    owner.check(alone, () => true);
  }
  t.is(grantsOf(owner), 78);
});
