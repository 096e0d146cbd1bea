/**
 * How far shared limits are off: entries share one caller's limit and hear of
 * each other seconds late, or not at all.
 */
import {CallerLimits, seededRandom} from '@oathead/core';
import type {CallerDemand, LimitSpec, Random} from '@oathead/core';

/** How requests spread over entries. */
export type Spread = 'even' | 'skewed' | 'moving';

/** One measurement. */
export interface LimitError {
  readonly entries: number;
  readonly spread: Spread;
  readonly told: boolean;
  /** Requests let through, over what the limit allows, when too many came. */
  readonly over: number;
  /** Requests let through, over those that came, at 0.8 of the limit. */
  readonly under: number;
}

const CALLER = 'bank-a';
const SPEC: LimitSpec = {
  requestsPerSecond: 200,
  tokensPerSecond: 1e9,
  concurrent: 1e9,
  burstSeconds: 2,
};
const DURATION_MS = 120_000;
const TELL_PERIOD_MS = 1_000;
const TELL_LAG_MS = 2_000;
const MS_PER_SECOND = 1000;
/** Share of the entries that gets most of skewed traffic, and how much. */
const BUSY_ENTRIES = 0.2;
const BUSY_TRAFFIC = 0.8;

type Pick = (random: Random, entries: number, now: number) => number;

function skewed(random: Random, entries: number, from: number): number {
  const busy = Math.max(1, Math.round(entries * BUSY_ENTRIES));
  const many = random.float() < BUSY_TRAFFIC;
  const at = many ? random.int(busy) : random.int(entries);
  return (at + from) % entries;
}

const PICK: Readonly<Record<Spread, Pick>> = {
  even: (random, entries) => random.int(entries),
  skewed: (random, entries) => skewed(random, entries, 0),
  moving: (random, entries, now) =>
    skewed(random, entries, now < DURATION_MS / 2 ? 0 : entries >> 1),
};

/**
 * @param entries - Entries that share the limit.
 * @param spread - How requests spread over them.
 * @param told - Whether they hear of each other.
 * @param seed - For the requests.
 * @returns How far off the limit is.
 */
export function limitError(
  entries: number,
  spread: Spread,
  told: boolean,
  seed: number,
): LimitError {
  const {requestsPerSecond, burstSeconds} = SPEC;
  const allowed = requestsPerSecond * (DURATION_MS / MS_PER_SECOND);
  const much = passed(entries, spread, told, 2 * requestsPerSecond, seed);
  const little = passed(entries, spread, told, 0.8 * requestsPerSecond, seed);
  return {
    entries,
    spread,
    told,
    over: much.passed / (allowed + requestsPerSecond * burstSeconds),
    under: little.passed / little.asked,
  };
}

function passed(
  count: number,
  spread: Spread,
  told: boolean,
  perSecond: number,
  seed: number,
): {readonly passed: number; readonly asked: number} {
  const random = seededRandom(seed);
  const entries = Array.from({length: count}, () => new CallerLimits(count));
  for (const entry of entries) entry.setLimit(CALLER, SPEC, 0);
  const news: {at: number; uses: readonly CallerDemand[]}[] = [];
  let asked = 0;
  let through = 0;
  let tellAt = TELL_PERIOD_MS;
  for (let now = 0; now < DURATION_MS; now += MS_PER_SECOND / perSecond) {
    asked += 1;
    const entry = entries[PICK[spread](random, count, now)]!;
    if (entry.admit(CALLER, 1, now) === undefined) {
      entry.release(CALLER, 0);
      through += 1;
    }
    if (!told || now < tellAt) continue;
    tellAt = now + TELL_PERIOD_MS;
    const uses = entries.map(one => one.demand(now).get(CALLER)!);
    news.push({at: now + TELL_LAG_MS, uses});
    while (news.length > 0 && news[0]!.at <= now) {
      spreadNews(entries, news.shift()!.uses, now);
    }
  }
  return {passed: through, asked};
}

function spreadNews(
  entries: readonly CallerLimits[],
  uses: readonly CallerDemand[],
  now: number,
): void {
  const all = uses.reduce((sum, {requests}) => sum + requests, 0);
  for (const [at, entry] of entries.entries()) {
    const requests = all - uses[at]!.requests;
    entry.applyPeerDemand(CALLER, {requests, tokens: 0, concurrent: 0}, now);
  }
}
