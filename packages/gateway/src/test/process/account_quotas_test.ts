import type {QuotaTolerance, RequestQuota} from '@oathead/core';
import test from 'ava';
import {QuotaFleetSimulator} from '../fakes/quota_fleet.js';

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
