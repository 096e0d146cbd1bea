/**
 * Compares three strategies to enforce quotas, in virtual time. Prints a table.
 *
 * - parts: the quota is divided among the hosts; the shares start equal and
 *     follow the demand that the hosts report.
 * - counted: one quota owner counts each account.
 * - part first: the same, but each host has a small local share that it uses
 *     before it asks the quota owner.
 */
import {
  CallerLimits,
  QuotaReserve,
  seededRandom,
  type QuotaTolerance,
  type RequestQuota,
} from '@oathead/core';
import {
  QuotaFleetSimulator,
  type QuotaScenario,
  type QuotaStrategy,
} from '../fakes/quota_fleet.js';

const TOLERANCE: QuotaTolerance = {windowMs: 5000, overage: 0.1, slack: 20};
const QUOTAS: Readonly<Record<string, RequestQuota>> = {
  flood: {perSecond: 64, burst: 64},
  smallFlood: {perSecond: 3, burst: 3},
  large: {perSecond: 64, burst: 64},
  small: {perSecond: 3, burst: 3},
};
/**
 * Request rate of each account as a multiple of its quota. The usual rate is
 * 0.62; the overloaded accounts send 7.5 times as much.
 */
const DEMAND: Readonly<Record<string, number>> = {
  flood: 4.7,
  smallFlood: 4.7,
  large: 0.62,
  small: 0.62,
};
const IDLE_MS = 2500;
const DURATION_MS = 14_000;
/**
 * Interval at which hosts report their demand, and thus the age of the reports.
 */
const REPORT_INTERVAL_MS = 1000;

/** Shares that follow the demand, enforced by `CallerLimits`. */
function demandShares(hosts: number): QuotaStrategy {
  const limits = [...Array(hosts).keys()].map(() => new CallerLimits(hosts));
  for (const [account, {perSecond, burst}] of Object.entries(QUOTAS))
    for (const limit of limits)
      limit.setLimit(
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
      limits[host]!.admit(account, 1, at) === undefined,
    tick: (fleet, at) => {
      if (at % REPORT_INTERVAL_MS !== 0) return 0;
      const uses = limits.map(limit => limit.demand(at));
      let messages = 0;
      for (const account of Object.keys(QUOTAS)) {
        const asked = uses.map(use => use.get(account)!.requests);
        const sum = asked.reduce((all, one) => all + one, 0);
        limits.forEach((limit, i) => {
          if (!limit.isNearLimit(account)) return;
          messages += 2;
          const requests = sum - asked[i]!;
          limit.applyPeerDemand(
            account,
            {requests, tokens: 0, concurrent: 0},
            at,
          );
        });
      }
      return messages;
    },
  };
}

/** A small local share first, then the quota owner. */
function localShareFirst(hosts: number): QuotaStrategy {
  const random = seededRandom(5);
  const reserves = [...Array(hosts).keys()].map(() => new QuotaReserve(random));
  // Half of the tolerance for the local shares and half for the quota owner, so
  // that together they stay within the whole tolerance.
  const tolerance = {
    ...TOLERANCE,
    overage: TOLERANCE.overage / 2,
    slack: TOLERANCE.slack / 2,
  };
  return {
    take: (host, account, at, counted) =>
      reserves[host]!.take(
        account,
        {quota: QUOTAS[account]!, tolerance, part: 'outOfTouch', hosts},
        at,
      ) || counted(),
    tick: () => 0,
  };
}

const STRATEGIES: Readonly<
  Record<string, (hosts: number) => QuotaStrategy | undefined>
> = {
  parts: demandShares,
  counted: () => undefined,
  'part first': localShareFirst,
};

const DEMANDS: Readonly<Record<string, Pick<QuotaScenario, 'hostOf'>>> = {
  even: {},
  skewed: {
    hostOf: (account, at, random) => (random.float() < 0.9 ? 2 : random.int(9)),
  },
  moving: {hostOf: (account, at) => Math.floor(at / 1500) % 9},
};

/**
 * @returns The most requests granted in a window, as a fraction of what the
 *     quota allows in a window.
 */
function peakShareOfQuota(fleet: QuotaFleetSimulator, account: string): string {
  const {perSecond, burst} = QUOTAS[account]!;
  const allowed = (perSecond * TOLERANCE.windowMs) / 1000 + burst;
  return (
    fleet.maxGrantedInWindow(account, TOLERANCE.windowMs) / allowed
  ).toFixed(2);
}

console.log(
  '| hosts | demand | strategy | flood, peak share of its quota in 5 s | small flood, peak share | large, refused within its quota | small, refused | datagrams per host and second |',
);
console.log('| --- | --- | --- | --- | --- | --- | --- | --- |');
for (const hosts of [9, 28, 88, 340])
  for (const [demand, {hostOf}] of Object.entries(DEMANDS))
    for (const [name, strategy] of Object.entries(STRATEGIES)) {
      const fleet = await QuotaFleetSimulator.run({
        hosts,
        quotas: QUOTAS,
        tolerance: TOLERANCE,
        perSecond: (account, at) =>
          at < IDLE_MS ? 0 : QUOTAS[account]!.perSecond * DEMAND[account]!,
        hostOf,
        lengthMs: DURATION_MS,
        strategy: strategy(hosts),
      });
      const seconds = (DURATION_MS - IDLE_MS) / 1000;
      const columns = [
        peakShareOfQuota(fleet, 'flood'),
        peakShareOfQuota(fleet, 'smallFlood'),
        fleet.refusedShare('large').toFixed(3),
        fleet.refusedShare('small').toFixed(3),
        (fleet.messages / hosts / seconds).toFixed(1),
      ];
      console.log(`| ${[hosts, demand, name, ...columns].join(' | ')} |`);
    }
