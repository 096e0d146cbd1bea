import type {QuotaTolerance, RequestQuota} from '@oathead/core';
import test from 'ava';
import {QuotaFleet} from '../fakes/quota_fleet.js';

const TOLERANCE: QuotaTolerance = {windowMs: 5000, overage: 0.1, slack: 20};
const LARGE: RequestQuota = {perSecond: 64, burst: 64};
const SMALL: RequestQuota = {perSecond: 3, burst: 3};
const QUOTAS = {large: LARGE, small: SMALL, calm: SMALL};
/** Of a quota that a flood sends, and that a calm account sends. */
const FLOOD = 4.7;
const CALM = 0.6;

function most({perSecond, burst}: RequestQuota): number {
  const {windowMs, overage, slack} = TOLERANCE;
  return (perSecond * (windowMs / 1000) + burst) * (1 + overage) + slack;
}

/** Before that all accounts are quiet, and save up their bursts. */
const FLOOD_AT_MS = 2500;

/** Two accounts send far more than their quota, the third is well within it. */
function perSecond(account: string, atMs: number): number {
  if (atMs < FLOOD_AT_MS) return 0;
  return account === 'calm'
    ? SMALL.perSecond * CALM
    : QUOTAS[account as 'large'].perSecond * FLOOD;
}

function assertWithin(
  t: {true: (ok: boolean, message: string) => void},
  fleet: QuotaFleet,
) {
  for (const account of ['large', 'small'] as const) {
    const counted = fleet.mostInWindow(account, TOLERANCE.windowMs);
    const bound = most(QUOTAS[account]);
    t.true(counted <= bound, `${account}: ${counted} of ${bound}`);
  }
}

const PLAY = {
  quotas: QUOTAS,
  tolerance: TOLERANCE,
  perSecond,
  lengthMs: 14_000,
};

// An account that floods all hosts gets its quota once at each of them, or others that
// send little are refused at hosts where they have a small part.
for (const hosts of [9, 28, 88]) {
  test(`a flood at ${hosts} hosts gets its quota, others are not refused`, async t => {
    const fleet = await QuotaFleet.run({...PLAY, hosts});
    assertWithin(t, fleet);
    t.true(fleet.mostInWindow('large', 5000) >= LARGE.perSecond * 5);
    t.is(fleet.refusedShare('calm'), 0);
  });
}

// All of an account's callers come to one host, and then to another.
test('a quota moves with its demand at once', async t => {
  const hostOf = (account: string, at: number) => (at < 7000 ? 3 : 17);
  const fleet = await QuotaFleet.run({...PLAY, hosts: 28, hostOf});
  assertWithin(t, fleet);
  t.is(fleet.refusedShare('calm'), 0);
});

// Half of the hosts can't reach the other half while an account floods both.
test('a cut through the fleet does not give the quota twice', async t => {
  const fleet = await QuotaFleet.run({
    ...PLAY,
    hosts: 28,
    onTick: (fleet, at) => {
      const isCut = at >= 5000 && at < 10_000;
      fleet.reaches = (from, to) => !isCut || from % 2 === to % 2;
    },
  });
  assertWithin(t, fleet);
});

// Each host in turn is lost, and the one that counts starts anew with a full burst.
test('hosts that are lost and start anew grant no second burst', async t => {
  const fleet = await QuotaFleet.run({
    ...PLAY,
    hosts: 28,
    onTick: (fleet, at) => {
      if (at === 5000) for (let i = 0; i < 28; i++) fleet.lose(i);
      if (at === 5900) for (let i = 0; i < 28; i++) fleet.restart(i);
    },
  });
  assertWithin(t, fleet);
});

// Hosts come while an account floods, and hosts learn of them at other times: two of
// them count the same account.
test('hosts that come and go grant no second quota', async t => {
  const fleet = await QuotaFleet.run({
    ...PLAY,
    hosts: 28,
    onTick: (fleet, at) => {
      if (at === 4000) for (let i = 0; i < 8; i++) fleet.addHost();
      if (at === 4700) fleet.setViews();
      if (at === 8000) for (let i = 0; i < 9; i++) fleet.lose(i);
      if (at === 11_500) fleet.setViews();
    },
  });
  assertWithin(t, fleet);
});

// A network that loses each tenth datagram does not refuse what is within a quota.
test('lost datagrams refuse little of what is within a quota', async t => {
  let sent = 0;
  const fleet = await QuotaFleet.run({
    ...PLAY,
    hosts: 28,
    onTick: fleet => {
      fleet.reaches = () => ++sent % 10 !== 0;
    },
  });
  assertWithin(t, fleet);
  t.true(fleet.refusedShare('calm') < 0.05, `${fleet.refusedShare('calm')}`);
});
