/** The promises to client accounts, checked by what callers and targets saw. */
import type {OnlineRecord} from '../request/online_load.js';
import {allRuns, type Evidence, type PromiseCheck} from './evidence.js';
import {
  accountOf,
  FLOODING_ACCOUNTS,
  MODEST_ACCOUNT,
  QUOTA_BOUNDS,
  type SoakAccount,
} from './soak_accounts.js';
import {REVOKE_MS} from './soak_fleet.js';

const MS_PER_SECOND = 1000;
const STATUS_UNAUTHORIZED = 401;
/** Answers to a request for which there is no room, or no quota. */
const REFUSALS: ReadonlySet<number | undefined> = new Set([429, 503]);
/** Requests of each account below which shares are not compared. */
const LEAST_REQUESTS = 30;
/** Standard deviations by which two shares may differ by chance. */
const MOST_DEVIATIONS = 3;

/** All promises to accounts by name. */
export const ACCOUNT_PROMISES: Readonly<Record<string, PromiseCheck>> = {
  'a key that was taken away runs nothing': withdrawnKeysRest,
  'targets see accounts and no keys': accountsAreSet,
  'no account exceeds its quota': quotasHold,
  'an account that asks for little is not refused more than one that floods':
    modestAreServed,
};

/** An answer of 401 says that a request has not run; a key is out of use in time. */
function withdrawnKeysRest(evidence: Evidence): readonly string[] {
  const {withdrawnAt} = evidence.fleet;
  const ran = new Set(allRuns(evidence).map(({id}) => id));
  return evidence.online
    .filter(({id}) => ran.has(id))
    .filter(({key, sentAt, status}) => {
      const at = withdrawnAt.get(key) ?? Infinity;
      return status === STATUS_UNAUTHORIZED || sentAt > at + REVOKE_MS;
    })
    .map(({id, key, place}) => `${id} ran by ${key} at ${place}`);
}

function accountsAreSet(evidence: Evidence): readonly string[] {
  const keys = new Map(evidence.online.map(({id, key}) => [id, key]));
  return allRuns(evidence)
    .filter(({id, headers}) => {
      const account = accountOf(keys.get(id));
      return headers['x-tenant'] !== account || headers.authorization;
    })
    .map(({id, headers}) => `${id} ran under ${headers['x-tenant']}`);
}

/** Counts requests that are sent and have reached a target within a window. */
function quotasHold(evidence: Evidence): readonly string[] {
  const arrivals = new Map<string, number>();
  for (const {id, at} of allRuns(evidence))
    arrivals.set(id, Math.min(at, arrivals.get(id) ?? Infinity));
  return FLOODING_ACCOUNTS.flatMap(account => {
    const limit = limitOf(account);
    const times = evidence.online
      .filter(({id, key}) => key === account.key && arrivals.has(id))
      .map(({id, sentAt}) => ({sentAt, arrivedAt: arrivals.get(id)!}));
    const most = Math.max(
      0,
      ...times.map(({sentAt}) => countIn(times, sentAt)),
    );
    return most > limit ? [`${account.name}: ${most} of ${limit}`] : [];
  });
}

function limitOf({quota}: SoakAccount): number {
  if (!quota) return Infinity;
  const {rate_per_s: perSecond, burst} = quota;
  const {
    quota_window_s: windowS,
    quota_overage: overage,
    quota_slack: slack,
  } = QUOTA_BOUNDS;
  return (perSecond * windowS + burst) * (1 + overage) + slack;
}

function countIn(
  times: ReadonlyArray<{readonly sentAt: number; readonly arrivedAt: number}>,
  from: number,
): number {
  const to = from + QUOTA_BOUNDS.quota_window_s * MS_PER_SECOND;
  return times.filter(({sentAt, arrivedAt}) => sentAt >= from && arrivedAt < to)
    .length;
}

interface RefusedShare {
  readonly requests: number;
  readonly share: number;
}

/** All accounts ask the same programs in turn, and at the same times. */
function modestAreServed({online}: Evidence): readonly string[] {
  const modest = refusedShare(online, MODEST_ACCOUNT);
  return FLOODING_ACCOUNTS.flatMap(account => {
    const flooding = refusedShare(online, account);
    if (Math.min(modest.requests, flooding.requests) < LEAST_REQUESTS)
      return [];
    const excess = modest.share - flooding.share;
    if (excess <= MOST_DEVIATIONS * deviationOf(modest, flooding)) return [];
    return [`${modest.share} refused, of ${account.name} ${flooding.share}`];
  });
}

function refusedShare(
  online: readonly OnlineRecord[],
  {key}: SoakAccount,
): RefusedShare {
  const answered = online.filter(
    record => record.key === key && record.status !== undefined,
  );
  const refused = answered.filter(({status}) => REFUSALS.has(status));
  const requests = answered.length;
  return {requests, share: requests === 0 ? 0 : refused.length / requests};
}

/** Standard deviation of the difference of two shares, if both are alike. */
function deviationOf(one: RefusedShare, other: RefusedShare): number {
  const requests = one.requests + other.requests;
  const common =
    (one.share * one.requests + other.share * other.requests) / requests;
  const variance = common * (1 - common);
  return Math.sqrt(variance * (1 / one.requests + 1 / other.requests));
}
