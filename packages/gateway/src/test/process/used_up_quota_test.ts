import {
  GRANT_VALIDITY_MS,
  seededRandom,
  type QuotaTolerance,
  type Random,
  type RequestQuota,
} from '@oathead/core';
import test from 'ava';
import {ownerOf, QuotaFleetSimulator} from '../fakes/quota_fleet.js';

const TOLERANCE: QuotaTolerance = {windowMs: 5000, overage: 0.1, slack: 20};
const LARGE: RequestQuota = {perSecond: 64, burst: 64};
const SMALL: RequestQuota = {perSecond: 3, burst: 3};
const QUOTAS = {large: LARGE, small: SMALL, calm: SMALL};
const HOSTS = 28;

function maxInWindow({perSecond, burst}: RequestQuota): number {
  const {windowMs, overage, slack} = TOLERANCE;
  return (perSecond * (windowMs / 1000) + burst) * (1 + overage) + slack;
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

/**
 * An account uses up its window at once while something happens to the hosts
 * that count it. All owners have counted for a whole window before.
 */
const RISE_AT_MS = 7000;
const DISTURBED_AT_MS = 8300;
const LARGE_OWNER = ownerOf('large', HOSTS);
const RISE = {
  quotas: QUOTAS,
  tolerance: TOLERANCE,
  hosts: HOSTS,
  deadlineMs: 5000,
  maxSendDelayMs: GRANT_VALIDITY_MS,
  // The host that counts the large account gets a third of its requests.
  hostOf: (account: string, at: number, random: Random) =>
    random.float() < 0.33 ? LARGE_OWNER : random.int(HOSTS),
  perSecond: (account: string, at: number) => {
    if (account === 'calm') return at < 2500 ? 0 : SMALL.perSecond * 0.6;
    return at < RISE_AT_MS ? 0 : QUOTAS[account as 'large'].perSecond * 4.7;
  },
  lengthMs: 21_000,
};

type Disturbance = (fleet: QuotaFleetSimulator, at: number) => void;

/** What happens to the fleet, with the failure that each guards against. */
const DISTURBANCES: ReadonlyMap<string, Disturbance> = new Map<
  string,
  Disturbance
>([
  // The quota is counted when granted, and sent later.
  ['nothing, but all is sent late', () => {}],
  // All owners lose what they have counted.
  [
    'all hosts fail and restart',
    (fleet, at) => {
      if (at === DISTURBED_AT_MS)
        for (let i = 0; i < RISE.hosts; i++) fleet.crash(i);
      if (at === DISTURBED_AT_MS + 900)
        for (let i = 0; i < RISE.hosts; i++) fleet.restart(i);
    },
  ],
  // The same, several times within a window.
  [
    'the owner restarts again and again',
    (fleet, at) => {
      if (at < DISTURBED_AT_MS || (at - DISTURBED_AT_MS) % 1000 !== 0) return;
      fleet.crash(LARGE_OWNER);
      fleet.restart(LARGE_OWNER);
    },
  ],
  // The next owner has not counted what the lost one granted.
  [
    'the owner is lost and replaced',
    (fleet, at) => {
      if (at === DISTURBED_AT_MS) fleet.crash(LARGE_OWNER);
      if (at === DISTURBED_AT_MS + 3500) fleet.updateViews();
    },
  ],
  // The owner wakes, takes itself for the owner and has the window for itself.
  [
    'the owner freezes, is replaced and wakes',
    (fleet, at) => {
      if (at === DISTURBED_AT_MS) fleet.freeze(LARGE_OWNER);
      if (at === DISTURBED_AT_MS + 3500) {
        fleet.crash(LARGE_OWNER);
        fleet.updateViews();
        fleet.setAlive(LARGE_OWNER);
      }
      if (at === DISTURBED_AT_MS + 10_000) fleet.wake(LARGE_OWNER);
      if (at === DISTURBED_AT_MS + 10_500) fleet.updateViews();
    },
  ],
  // Hosts join that do not know the others for a while.
  [
    'hosts join',
    (fleet, at) => {
      if (at === DISTURBED_AT_MS) for (let i = 0; i < 8; i++) fleet.addHost();
      if (at === DISTURBED_AT_MS + 700) fleet.updateViews();
    },
  ],
  [
    'half of the hosts are cut off',
    (fleet, at) => {
      const isCut = at >= DISTURBED_AT_MS && at < DISTURBED_AT_MS + 5000;
      fleet.isReachable = (from, to) => !isCut || from % 2 === to % 2;
    },
  ],
]);

for (const [what, onTick] of DISTURBANCES)
  test(`a used-up window holds: ${what}`, async t =>
    assertWithin(t, await QuotaFleetSimulator.run({...RISE, onTick})));

// If it cannot be recorded that an account goes ahead, the even pace remains.
test('without the store a quota is granted at an even pace', async t => {
  const isStoreUp = (at: number) => at < RISE_AT_MS;
  const fleet = await QuotaFleetSimulator.run({...RISE, isStoreUp});
  assertWithin(t, fleet);
  const most = fleet.maxGrantedInWindow('large', 5000);
  t.true(most >= LARGE.perSecond * 5, `${most}`);
  t.is(fleet.refusedShare('calm'), 0);
});

// A new owner of a release that does not heed the record would grant a second
// window after the first.
test('nobody goes ahead of the even pace beside a host that does not know of it', async t => {
  const fleet = await QuotaFleetSimulator.run({...RISE, hasOldHost: true});
  assertWithin(t, fleet);
  const {perSecond, burst} = LARGE;
  const most = fleet.maxGrantedInWindow('large', 1000);
  t.true(most <= perSecond + burst * 1.3, `${most}`);
});

/** Lets hosts fail, stand still and return at random. */
function randomFailures(seed: number): Disturbance {
  const random = seededRandom(seed);
  const later = new Map<number, ((fleet: QuotaFleetSimulator) => void)[]>();
  const isAway = new Set<number>();
  const plan = (at: number, run: (fleet: QuotaFleetSimulator) => void) =>
    later.set(at, [...(later.get(at) ?? []), run]);
  const replace = (host: number) => (fleet: QuotaFleetSimulator) => {
    if (!isAway.has(host)) return;
    fleet.crash(host);
    fleet.updateViews();
    fleet.setAlive(host);
  };
  return (fleet, at) => {
    for (const run of later.get(at) ?? []) run(fleet);
    if (at < RISE_AT_MS || at % 900 !== 0) return;
    const host = random.float() < 0.6 ? LARGE_OWNER : random.int(HOSTS);
    if (isAway.has(host)) return;
    isAway.add(host);
    const isFrozen = random.float() < 0.5;
    if (isFrozen) fleet.freeze(host);
    else fleet.crash(host);
    const back = at + 300 + random.int(6000);
    if (isFrozen) plan(at + 3500, replace(host));
    plan(back, fleet => {
      isAway.delete(host);
      if (isFrozen) fleet.wake(host);
      else fleet.restart(host);
    });
    plan(back + random.int(700), fleet => fleet.updateViews());
  };
}

for (const seed of [1, 2, 3])
  test(`random failures of hosts exceed no window, seed ${seed}`, async t => {
    const onTick = randomFailures(seed);
    assertWithin(t, await QuotaFleetSimulator.run({...RISE, onTick, seed}));
  });
