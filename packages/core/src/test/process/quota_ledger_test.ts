import test from 'ava';
import fc from 'fast-check';
import {
  OWNER_CHANGE_MARGIN_MS,
  QuotaLedger,
} from '../../lib/process/quota_ledger.js';
import {
  GRANT_VALIDITY_MS,
  isGrantGood,
  quotaLimits,
  type QuotaTolerance,
} from '../../lib/process/quota_tolerance.js';

const TOLERANCE: QuotaTolerance = {windowMs: 5000, overage: 0.1, slack: 20};
const EXACT: QuotaTolerance = {windowMs: 5000, overage: 0, slack: 0};
const QUOTA = {perSecond: 10, burst: 5};
const PER_WINDOW = QUOTA.perSecond * 5 + QUOTA.burst;
const LENGTH_MS = 20_000;
const LONG_AGO = -100_000;

/**
 * @returns The times at which requests were granted, of those sent every
 *     `gapMs`.
 */
function grantedAt(
  gapMs: number,
  tolerance: QuotaTolerance,
): readonly number[] {
  const limits = quotaLimits(QUOTA, tolerance);
  const ledger = new QuotaLedger(LONG_AGO, limits, 0);
  ledger.allowAhead(LENGTH_MS);
  const granted: number[] = [];
  for (let now = 0; now < LENGTH_MS; now += gapMs)
    if (ledger.take(limits, {}, now).kind === 'granted') granted.push(now);
  return granted;
}

function maxInWindow(times: readonly number[], windowMs: number): number {
  const sorted = [...times].sort((a, b) => a - b);
  let first = 0;
  const counts = sorted.map((at, last) => {
    while (at - sorted[first]! >= windowMs) first++;
    return last - first + 1;
  });
  return Math.max(0, ...counts);
}

function bound({overage, slack}: QuotaTolerance, perWindow: number): number {
  return perWindow * (1 + overage) + slack;
}

test('no window exceeds the quota and its tolerance', t => {
  for (const tolerance of [EXACT, TOLERANCE]) {
    const most = maxInWindow(grantedAt(5, tolerance), tolerance.windowMs);
    t.true(most <= bound(tolerance, PER_WINDOW), `${most}`);
    t.true(most >= PER_WINDOW, `${most}`);
  }
});

// An account sends all that a window allows at once. At an even pace, most of it
// would be refused although it is within the quota.
test('the quota of a window is granted at once', t => {
  const granted = grantedAt(5, EXACT).filter(at => at < 1000);
  t.is(granted.length, PER_WINDOW);
});

// Requests of one window are sent as late as their grants are good, those of the
// next one at once.
test('a window holds for the times of sending', t => {
  const limits = quotaLimits(QUOTA, EXACT);
  const ledger = new QuotaLedger(LONG_AGO, limits, 0);
  ledger.allowAhead(LENGTH_MS);
  const sent: number[] = [];
  for (let now = 0; now < LENGTH_MS; now++)
    while (ledger.take(limits, {}, now).kind === 'granted')
      sent.push(now + (now < EXACT.windowMs ? GRANT_VALIDITY_MS : 0));
  t.is(maxInWindow(sent, EXACT.windowMs), PER_WINDOW);
});

test('requests within the quota are granted', t => {
  const gapMs = 1000 / QUOTA.perSecond + 1;
  t.is(grantedAt(gapMs, EXACT).length, Math.ceil(LENGTH_MS / gapMs));
});

test('a changed quota holds for the next grant', t => {
  const limits = quotaLimits(QUOTA, EXACT);
  const ledger = new QuotaLedger(LONG_AGO, limits, 0);
  ledger.allowAhead(LENGTH_MS);
  const takeUntilRefused = (perSecond: number) => {
    const changed = quotaLimits({...QUOTA, perSecond}, EXACT);
    let granted = 0;
    while (ledger.take(changed, {}, 1).kind === 'granted') granted++;
    return granted;
  };
  t.is(takeUntilRefused(10), PER_WINDOW);
  t.is(takeUntilRefused(5), 0);
  t.is(takeUntilRefused(12), 10);
});

// A refund must not make room in a part of the window in which nothing was
// granted: that room would last too long.
test('a refund returns the grant to its part of the window', t => {
  const limits = quotaLimits(QUOTA, EXACT);
  const ledger = new QuotaLedger(LONG_AGO, limits, 0);
  ledger.allowAhead(LENGTH_MS);
  const takeAll = (now: number) => {
    let granted = 0;
    while (ledger.take(limits, {}, now).kind === 'granted') granted++;
    return granted;
  };
  for (let i = 0; i < 50; i++) ledger.take(limits, {}, 0);
  t.is(takeAll(2000), 5);
  ledger.refund(2000);
  ledger.refund(10);
  t.is(takeAll(3000), 2);
  const firstLeaves = limits.spanMs * 1.01 + 1;
  t.is(takeAll(firstLeaves), 49);
  t.is(takeAll(firstLeaves + 1), 0);
});

// A request within the quota that was refused for want of slots returns, and
// later requests, beyond the quota, have taken its room.
test('a refunded request finds its room when it returns', t => {
  const limits = quotaLimits(QUOTA, EXACT);
  const ledger = new QuotaLedger(LONG_AGO, limits, 0);
  ledger.allowAhead(LENGTH_MS);
  const take = (now: number, returning = false) =>
    ledger.take(limits, {returning}, now).kind;
  while (take(0) === 'granted');
  ledger.refund(0, {at: 800});
  ledger.refund(0, {at: 500});
  t.is(take(100), 'over');
  t.is(take(500), 'over');
  t.is(take(500, true), 'granted');
  t.is(take(600, true), 'over');
  t.is(take(800, true), 'granted');
  ledger.refund(0, {at: 900});
  t.is(take(1300), 'granted', 'the caller has not returned');
});

// Callers who were told to return without room for them take that of others.
test('room for a certain request is not taken by another that returns', t => {
  const limits = quotaLimits(QUOTA, EXACT);
  const ledger = new QuotaLedger(LONG_AGO, limits, 0);
  ledger.allowAhead(LENGTH_MS);
  const take = (now: number, key: number) =>
    ledger.take(limits, {returning: true, key}, now).kind;
  while (ledger.take(limits, {}, 0).kind === 'granted');
  ledger.refund(0, {at: 500, key: 1});
  t.is(take(500, 2), 'over');
  t.is(take(500, 1), 'granted');
  t.is(take(500, 1), 'over');
});

// If all refused requests are retried at the same time, or later requests take
// their room, they are refused again.
test('a request that returns at its time is granted although others flood', t => {
  const property = fc.property(
    fc.integer({min: 1, max: 30}),
    fc.boolean(),
    (refused, isAhead) => {
      const limits = quotaLimits(QUOTA, EXACT);
      const ledger = new QuotaLedger(LONG_AGO, limits, 0);
      if (isAhead) ledger.allowAhead(LENGTH_MS);
      const demand = {maxWaitMs: 6000};
      while (ledger.take(limits, {maxWaitMs: 0}, 0).kind === 'granted');
      const returnsAt = [...Array(refused).keys()].map(() => {
        const verdict = ledger.take(limits, demand, 0);
        return verdict.kind === 'over' ? verdict.waitMs : NaN;
      });
      for (let now = 1; now < 6000; now++) {
        for (const at of returnsAt.filter(at => at === now)) {
          const returning = {...demand, returning: true};
          if (ledger.take(limits, returning, at).kind !== 'granted')
            return false;
        }
        ledger.take(limits, {maxWaitMs: 0}, now);
      }
      return true;
    },
  );
  t.notThrows(() => fc.assert(property, {numRuns: 50, seed: 3}));
});

test('callers that do not say how long they wait return one after another', t => {
  const limits = quotaLimits(QUOTA, EXACT);
  const ledger = new QuotaLedger(LONG_AGO, limits, 0);
  while (ledger.take(limits, {maxWaitMs: 0}, 0).kind === 'granted');
  const waits = [...Array(20).keys()].map(() => {
    const verdict = ledger.take(limits, {}, 0);
    return verdict.kind === 'over' ? verdict.waitMs : 0;
  });
  t.true(waits.every(at => ledger.take(limits, {}, at).kind === 'granted'));
});

// A caller that gives up must not keep room from others for good.
test('a reservation that nobody takes lapses', t => {
  const limits = quotaLimits(QUOTA, EXACT);
  const ledger = new QuotaLedger(LONG_AGO, limits, 0);
  while (ledger.take(limits, {maxWaitMs: 0}, 0).kind === 'granted');
  const verdict = ledger.take(limits, {maxWaitMs: 1000}, 0);
  t.deepEqual(verdict, {kind: 'over', waitMs: 100, isReserved: true});
  t.is(ledger.take(limits, {maxWaitMs: 0}, 110).kind, 'over');
  t.is(ledger.take(limits, {maxWaitMs: 0}, 500).kind, 'granted');
  t.is(ledger.takeLapsed(), 1);
});

test('there is no reservation later than the caller would return', t => {
  const limits = quotaLimits(QUOTA, EXACT);
  const ledger = new QuotaLedger(LONG_AGO, limits, 0);
  ledger.allowAhead(LENGTH_MS);
  while (ledger.take(limits, {maxWaitMs: 0}, 0).kind === 'granted');
  const verdict = ledger.take(limits, {maxWaitMs: 1600}, 0);
  t.like(verdict, {kind: 'over', isReserved: false});
  t.true(verdict.kind === 'over' && verdict.waitMs >= 5000);
});

// Owners follow each other at any time, overlap while the hosts learn of it, and
// forget all that they have counted. Requests are sent as late as grants are
// good.
test('changes of owner exceed no window', t => {
  const change = fc.record({
    at: fc.integer({min: 0, max: LENGTH_MS}),
    overlapMs: fc.integer({
      min: 0,
      max: OWNER_CHANGE_MARGIN_MS - GRANT_VALIDITY_MS,
    }),
  });
  const property = fc.property(
    fc.array(change, {minLength: 1, maxLength: 3}),
    fc.constantFrom(
      {perSecond: 10, burst: 5},
      {perSecond: 160, burst: 160},
      {perSecond: 3, burst: 0},
    ),
    fc.integer({min: 0, max: 6000}),
    fc.boolean(),
    (changes, quota, floodAt, isRecorded) => {
      const limits = quotaLimits(quota, TOLERANCE);
      const owners = [
        {ledger: new QuotaLedger(LONG_AGO, limits, 0), until: Infinity},
      ];
      const sorted = [...changes].sort((a, b) => a.at - b.at);
      let markedUntil = -Infinity;
      const sent: number[] = [];
      for (let now = floodAt; now < LENGTH_MS; now += 5) {
        while (sorted[0] && sorted[0].at <= now) {
          const {overlapMs} = sorted.shift()!;
          owners.at(-1)!.until = now + overlapMs;
          const ledger = new QuotaLedger(now, limits, now);
          owners.push({ledger, until: Infinity});
        }
        for (const {ledger, until} of owners) {
          if (until < now) continue;
          if (isRecorded && ledger.needsAhead(limits, 1000, now)) {
            markedUntil = now + 4000;
            ledger.allowAhead(markedUntil);
          }
          if (ledger.needsKnowledge(limits, now))
            ledger.learn({kind: 'ahead', until: markedUntil}, limits);
          while (ledger.take(limits, {maxWaitMs: 0}, now).kind === 'granted')
            sent.push(now + ((sent.length * 97) % (GRANT_VALIDITY_MS + 1)));
        }
      }
      const perWindow = quota.perSecond * 5 + quota.burst;
      return maxInWindow(sent, 5000) <= bound(TOLERANCE, perWindow);
    },
  );
  t.notThrows(() => fc.assert(property, {numRuns: 300, seed: 11}));
});

// A grant that is used later than the owner counts it exceeds a later window.
test('a grant is good for a limited time', t => {
  t.true(isGrantGood(100, 100 + GRANT_VALIDITY_MS));
  t.false(isGrantGood(100, 101 + GRANT_VALIDITY_MS));
  t.false(isGrantGood(undefined, 0));
});
