import test from 'ava';
import fc from 'fast-check';
import {
  QuotaBucket,
  type QuotaTolerance,
} from '../../lib/process/quota_bucket.js';

const TOLERANCE: QuotaTolerance = {windowMs: 5000, overage: 0.1, slack: 20};
const EXACT: QuotaTolerance = {windowMs: 5000, overage: 0, slack: 0};
const QUOTA = {perSecond: 10, burst: 5};
const LENGTH_MS = 20_000;

/**
 * @returns The times at which requests were granted, of those sent every
 *     `gapMs`.
 */
function grantedAt(
  gapMs: number,
  tolerance: QuotaTolerance,
): readonly number[] {
  const bucket = new QuotaBucket(0, 0);
  const granted: number[] = [];
  for (let now = 0; now < LENGTH_MS; now += gapMs)
    if (bucket.take(QUOTA, tolerance, now).kind === 'granted')
      granted.push(now);
  return granted;
}

function maxInWindow(times: readonly number[], windowMs: number): number {
  const counts = times.map(
    from => times.filter(at => at >= from && at < from + windowMs).length,
  );
  return Math.max(0, ...counts);
}

test('no window exceeds the quota and its tolerance', t => {
  for (const tolerance of [EXACT, TOLERANCE]) {
    const {windowMs, overage, slack} = tolerance;
    const most = maxInWindow(grantedAt(5, tolerance), windowMs);
    const quota = QUOTA.perSecond * 5 + QUOTA.burst;
    t.true(most <= quota * (1 + overage) + slack, `${most}`);
    t.true(most >= QUOTA.perSecond * 5, `${most}`);
  }
});

test('requests within the quota are granted', t => {
  const gapMs = 1000 / QUOTA.perSecond + 1;
  const all = Math.ceil(LENGTH_MS / gapMs);
  // The first request arrives before the bucket has any tokens.
  t.true(grantedAt(gapMs, EXACT).length >= all - 1);
});

// If all refused requests are retried at the same time, they are refused again.
test('a request that is retried at its scheduled time is granted', t => {
  const property = fc.property(fc.integer({min: 1, max: 30}), refused => {
    const bucket = new QuotaBucket(0, 0);
    const waits = [...Array(refused).keys()].map(() => {
      const verdict = bucket.take(QUOTA, EXACT, 0);
      return verdict.kind === 'over' ? verdict.waitMs : 0;
    });
    return waits.every(at => bucket.take(QUOTA, EXACT, at).kind === 'granted');
  });
  t.notThrows(() => fc.assert(property, {numRuns: 200, seed: 3}));
});
