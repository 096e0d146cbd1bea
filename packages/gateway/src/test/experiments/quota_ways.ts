/**
 * Compares three ways to keep quotas, in virtual time: equal parts that move with the
 * demand as hosts tell it, one host that counts each account, and the same with a
 * small part at each host that is used before it asks. Prints a table.
 */
import {
  CallerLimits,
  QuotaReserve,
  seededRandom,
  type QuotaTolerance,
  type RequestQuota,
} from '@oathead/core';
import {
  QuotaFleet,
  type QuotaPlay,
  type QuotaWay,
} from '../fakes/quota_fleet.js';

const TOLERANCE: QuotaTolerance = {windowMs: 5000, overage: 0.1, slack: 20};
const QUOTAS: Readonly<Record<string, RequestQuota>> = {
  flood: {perSecond: 64, burst: 64},
  smallFlood: {perSecond: 3, burst: 3},
  large: {perSecond: 64, burst: 64},
  small: {perSecond: 3, burst: 3},
};
/** What each account sends, as a share of its quota: 7.5 times a usual of 0.62. */
const DEMAND: Readonly<Record<string, number>> = {
  flood: 4.7,
  smallFlood: 4.7,
  large: 0.62,
  small: 0.62,
};
const QUIET_MS = 2500;
const LENGTH_MS = 14_000;
/** How often hosts tell what is asked of them, and how old that is then. */
const TELL_MS = 1000;

/** Parts by demand: the limits of the product's own front. */
function parts(hosts: number): QuotaWay {
  const limits = [...Array(hosts).keys()].map(() => new CallerLimits(hosts));
  for (const [account, {perSecond, burst}] of Object.entries(QUOTAS))
    for (const limit of limits)
      limit.declare(
        account,
        {
          requestsPerSecond: perSecond,
          tokensPerSecond: 1e12,
          concurrent: 1e6,
          burstSeconds: burst / perSecond,
        },
        0,
      );
  return {
    take: (host, account, at) =>
      limits[host]!.begin(account, 1, at) === undefined,
    tick: (fleet, at) => {
      if (at % TELL_MS !== 0) return 0;
      const uses = limits.map(limit => limit.use(at));
      let messages = 0;
      for (const account of Object.keys(QUOTAS)) {
        const asked = uses.map(use => use.get(account)!.requests);
        const sum = asked.reduce((all, one) => all + one, 0);
        limits.forEach((limit, i) => {
          if (!limit.isNear(account)) return;
          messages += 2;
          const requests = sum - asked[i]!;
          limit.learn(account, {requests, tokens: 0, concurrent: 0}, at);
        });
      }
      return messages;
    },
  };
}

/** A small part first, then the host that counts. */
function partFirst(hosts: number): QuotaWay {
  const random = seededRandom(5);
  const own = [...Array(hosts).keys()].map(() => new QuotaReserve(random));
  // Half of it, so that what is counted and what is not are one tolerance.
  const tolerance = {
    ...TOLERANCE,
    overage: TOLERANCE.overage / 2,
    slack: TOLERANCE.slack / 2,
  };
  return {
    take: (host, account, at, counted) =>
      own[host]!.take(
        account,
        {quota: QUOTAS[account]!, tolerance, hosts},
        at,
      ) || counted(),
    tick: () => 0,
  };
}

const WAYS: Readonly<Record<string, (hosts: number) => QuotaWay | undefined>> =
  {
    parts,
    counted: () => undefined,
    'part first': partFirst,
  };

const DEMANDS: Readonly<Record<string, Pick<QuotaPlay, 'hostOf'>>> = {
  even: {},
  skewed: {
    hostOf: (account, at, random) => (random.float() < 0.9 ? 2 : random.int(9)),
  },
  moving: {hostOf: (account, at) => Math.floor(at / 1500) % 9},
};

/** @returns The most in a window, as a share of the quota of a window. */
function excess(fleet: QuotaFleet, account: string): string {
  const {perSecond, burst} = QUOTAS[account]!;
  const allowed = (perSecond * TOLERANCE.windowMs) / 1000 + burst;
  return (fleet.mostInWindow(account, TOLERANCE.windowMs) / allowed).toFixed(2);
}

console.log(
  '| hosts | demand | way | flood, most of its quota in 5 s | small flood | large, refused within its quota | small, refused | datagrams a host and second |',
);
console.log('| --- | --- | --- | --- | --- | --- | --- | --- |');
for (const hosts of [9, 28, 88, 340])
  for (const [demand, {hostOf}] of Object.entries(DEMANDS))
    for (const [name, way] of Object.entries(WAYS)) {
      const fleet = await QuotaFleet.run({
        hosts,
        quotas: QUOTAS,
        tolerance: TOLERANCE,
        perSecond: (account, at) =>
          at < QUIET_MS ? 0 : QUOTAS[account]!.perSecond * DEMAND[account]!,
        hostOf,
        lengthMs: LENGTH_MS,
        way: way(hosts),
      });
      const seconds = (LENGTH_MS - QUIET_MS) / 1000;
      const figures = [
        excess(fleet, 'flood'),
        excess(fleet, 'smallFlood'),
        fleet.refusedShare('large').toFixed(3),
        fleet.refusedShare('small').toFixed(3),
        (fleet.messages / hosts / seconds).toFixed(1),
      ];
      console.log(`| ${[hosts, demand, name, ...figures].join(' | ')} |`);
    }
