import {
  NO_COUNTERS,
  NO_EVENT_LOG,
  seededRandom,
  type QuotaTolerance,
  type RequestQuota,
} from '@oathead/core';
import test from 'ava';
import type {QuotaMessage} from '../../lib/connection/quota_message.js';
import {
  AccountQuotas,
  type QuotaHost,
} from '../../lib/process/account_quotas.js';
import {FakeClock} from '../fakes/fake_clock.js';
import {ownerOf, QuotaFleetSimulator} from '../fakes/quota_fleet.js';

const TOLERANCE: QuotaTolerance = {windowMs: 5000, overage: 0.1, slack: 20};
const LARGE: RequestQuota = {perSecond: 64, burst: 64};
const SMALL: RequestQuota = {perSecond: 3, burst: 3};
const QUOTAS = {large: LARGE, small: SMALL, calm: SMALL};
/**
 * Request rates of a flooding and of a calm account, as multiples of their
 * quota.
 */
const FLOOD = 4.7;
const CALM = 0.6;

function maxInWindow({perSecond, burst}: RequestQuota): number {
  const {windowMs, overage, slack} = TOLERANCE;
  return (perSecond * (windowMs / 1000) + burst) * (1 + overage) + slack;
}

/**
 * Time before which no account sends requests, so that all of them accumulate
 * their full bursts.
 */
const FLOOD_AT_MS = 2500;

/**
 * Two accounts send far more than their quota; the third stays well within it.
 */
function perSecond(account: string, atMs: number): number {
  if (atMs < FLOOD_AT_MS) return 0;
  return account === 'calm'
    ? SMALL.perSecond * CALM
    : QUOTAS[account as 'large'].perSecond * FLOOD;
}

function assertWithin(
  t: {true: (ok: boolean, message: string) => void},
  fleet: QuotaFleetSimulator,
) {
  for (const account of ['large', 'small'] as const) {
    const counted = fleet.maxGrantedInWindow(account, TOLERANCE.windowMs);
    const bound = maxInWindow(QUOTAS[account]);
    t.true(counted <= bound, `${account}: ${counted} of ${bound}`);
  }
}

const FLEET = {
  quotas: QUOTAS,
  tolerance: TOLERANCE,
  perSecond,
  lengthMs: 14_000,
};

// Guards against an account that floods all hosts and gets its whole quota at
// each of them, and against refusals for accounts that send little and have
// only a small part of their quota at a host.
for (const hosts of [9, 28, 88]) {
  test(`a flood at ${hosts} hosts gets its quota and others are not refused`, async t => {
    const fleet = await QuotaFleetSimulator.run({...FLEET, hosts});
    assertWithin(t, fleet);
    t.true(fleet.maxGrantedInWindow('large', 5000) >= LARGE.perSecond * 5);
    t.is(fleet.refusedShare('calm'), 0);
  });
}

// All callers of an account switch from one host to another at the same moment.
test('a quota follows its demand to another host at once', async t => {
  const hostOf = (account: string, at: number) => (at < 7000 ? 3 : 17);
  const fleet = await QuotaFleetSimulator.run({...FLEET, hosts: 28, hostOf});
  assertWithin(t, fleet);
  t.is(fleet.refusedShare('calm'), 0);
});

// Half of the hosts cannot reach the other half while an account floods both.
test('a network partition does not grant the quota twice', async t => {
  const fleet = await QuotaFleetSimulator.run({
    ...FLEET,
    hosts: 28,
    onTick: (fleet, at) => {
      const isCut = at >= 5000 && at < 10_000;
      fleet.isReachable = (from, to) => !isCut || from % 2 === to % 2;
    },
  });
  assertWithin(t, fleet);
});

// All hosts fail and restart, and each owner of an account starts counting anew
// with a full burst.
test('hosts that fail and restart grant no second burst', async t => {
  const fleet = await QuotaFleetSimulator.run({
    ...FLEET,
    hosts: 28,
    onTick: (fleet, at) => {
      if (at === 5000) for (let i = 0; i < 28; i++) fleet.crash(i);
      if (at === 5900) for (let i = 0; i < 28; i++) fleet.restart(i);
    },
  });
  assertWithin(t, fleet);
});

// Hosts join and fail during a flood. As the others learn of it at different
// times, two hosts may count the same account.
test('hosts that join and fail grant no second quota', async t => {
  const fleet = await QuotaFleetSimulator.run({
    ...FLEET,
    hosts: 28,
    onTick: (fleet, at) => {
      if (at === 4000) for (let i = 0; i < 8; i++) fleet.addHost();
      if (at === 4700) fleet.updateViews();
      if (at === 8000) for (let i = 0; i < 9; i++) fleet.crash(i);
      if (at === 11_500) fleet.updateViews();
    },
  });
  assertWithin(t, fleet);
});

// Requests within a quota must not be refused because the network loses every
// tenth datagram.
test('with datagram loss few requests within a quota are refused', async t => {
  let sent = 0;
  const fleet = await QuotaFleetSimulator.run({
    ...FLEET,
    hosts: 28,
    onTick: fleet => {
      fleet.isReachable = () => ++sent % 10 !== 0;
    },
  });
  assertWithin(t, fleet);
  t.true(fleet.refusedShare('calm') < 0.05, `${fleet.refusedShare('calm')}`);
});

// An account at five times its usual in rises of 2.4 s sends within its quota of
// a window what an even pace does not allow; its callers come back in vain.
test('the quota of a window is granted in a rise', async t => {
  const usual = LARGE.perSecond / 1.6;
  const fleet = await QuotaFleetSimulator.run({
    ...FLEET,
    hosts: 39,
    deadlineMs: 5000,
    perSecond: (account, at) => {
      if (account === 'calm') return perSecond(account, at);
      if (account !== 'large' || at < 6000 || at >= 16_000) return 0;
      return usual * 5 * (at % 6000 < 2400 ? 1.91 : 0.38);
    },
    lengthMs: 20_000,
  });
  assertWithin(t, fleet);
  const perWindow = LARGE.perSecond * 5 + LARGE.burst;
  const granted = fleet.requests.filter(
    ({account, granted, at}) => account === 'large' && granted && at < 8000,
  );
  t.true(granted.length >= 0.95 * perWindow, `${granted.length}`);
  t.true(fleet.storeCalls <= 10, `${fleet.storeCalls}`);
  t.is(fleet.refusedShare('calm'), 0);
});

// Each host's part of the reserve is less than a request; most requests of small
// accounts would be refused while the host that counts them stands still.
test('an account within its quota is served while its owner stands still', async t => {
  const accounts = [...Array(12).keys()].map(i => `small${i}`);
  const frozen = accounts.slice(0, 3).map(name => ownerOf(name, 39));
  const fleet = await QuotaFleetSimulator.run({
    hosts: 39,
    quotas: Object.fromEntries(accounts.map(name => [name, SMALL])),
    tolerance: TOLERANCE,
    perSecond: (account, at) => (at < 2500 ? 0 : SMALL.perSecond * CALM),
    deadlineMs: 5000,
    onTick: (fleet, at) => {
      if (at === 8000) frozen.forEach(host => fleet.freeze(host));
      if (at === 11_500) frozen.forEach(host => fleet.wake(host));
    },
    lengthMs: 16_000,
  });
  const refused = fleet.requests.filter(
    ({granted, host, at, account}) =>
      !granted &&
      !frozen.includes(host) &&
      at > 8000 &&
      frozen.includes(ownerOf(account, 39)),
  );
  const lost = refused.filter(({isRefusedForGood}) => isRefusedForGood);
  t.is(lost.length, 0);
  t.true(refused.length < 20, `${refused.length}`);
});

/** @returns The times of all grants until one is refused. */
async function takeAll(quotas: AccountQuotas): Promise<readonly number[]> {
  const grantedAt: number[] = [];
  for (;;) {
    const verdict = await quotas.take('account', SMALL);
    if (verdict.kind === 'over') return grantedAt;
    grantedAt.push(verdict.grantedAt!);
  }
}

// A refund without the time of its grant could make room for longer than the
// grant would have taken it.
test('a refund tells the quota owner how old its grant is', async t => {
  const clock = new FakeClock();
  const sent: QuotaMessage[] = [];
  const hosts = ['h0', 'h1'].map((host, port) => {
    return {id: host, host, ip: '127.0.0.1', port};
  });
  const owner = ownerOf('account', 2);
  const create = (self: QuotaHost) =>
    new AccountQuotas({
      self,
      clock,
      random: seededRandom(1),
      log: NO_EVENT_LOG,
      counters: NO_COUNTERS,
      hosts: () => hosts,
      tolerance: () => TOLERANCE,
      heardAt: () => clock.now(),
      quotaOf: () => SMALL,
      send: message => void sent.push(message),
    });
  const other = create(hosts[1 - owner]!);
  other.start();
  t.teardown(() => other[Symbol.dispose]());
  clock.advance(700);
  other.refund('account', 450);
  t.deepEqual(sent, [{kind: 'give-back', account: 'account', ageMs: 250}]);
  const counting = create(hosts[owner]!);
  counting.start();
  t.teardown(() => counting[Symbol.dispose]());
  const granted = await takeAll(counting);
  counting.receive(sent[0]!);
  t.is((await takeAll(counting)).length, 0);
  counting.refund('account', granted[0]);
  t.is((await takeAll(counting)).length, 1);
});
