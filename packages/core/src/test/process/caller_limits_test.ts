import test from 'ava';
import {CallerLimits} from '../../lib/process/caller_limits.js';
import type {CallerDemand} from '../../lib/process/caller_limits.js';
import type {LimitSpec} from '../../lib/version/resource.js';

const SPEC: LimitSpec = {
  requestsPerSecond: 10,
  tokensPerSecond: 10_000,
  concurrent: 4,
  burstSeconds: 2,
};

test('admits a burst, then the declared rate', t => {
  const limits = new CallerLimits(1);
  limits.setLimit('bank-a', SPEC, 0);
  let passed = 0;
  for (let now = 0; now < 10_000; now += 10) {
    if (limits.admit('bank-a', 1, now) !== undefined) continue;
    passed += 1;
    limits.release('bank-a', 0);
  }
  t.true(passed >= 115 && passed <= 121, `${passed} requests`);
});

test('refuses as not run, with the delay before a retry', t => {
  const limits = new CallerLimits(1);
  limits.setLimit('bank-a', SPEC, 0);
  t.is(limits.admit('bank-a', 30_000, 0), undefined);
  limits.release('bank-a', 0);
  const refusal = limits.admit('bank-a', 1, 0)!;
  t.is(refusal.kind, 'rate-limited');
  t.is(refusal.ran, 'not-run');
  t.is(refusal.retryAfterMs, 1000);
  t.truthy(limits.admit('bank-a', 1, 999));
  t.is(limits.admit('bank-a', 1, 1001), undefined);
});

test('entries with delayed reports of each other share by demand', t => {
  const entries = [new CallerLimits(2), new CallerLimits(2)];
  const passed = [0, 0];
  for (const entry of entries) entry.setLimit('bank-a', SPEC, 0);
  let published: readonly CallerDemand[] = [];
  for (let now = 0; now < 60_000; now += 20) {
    const busy = entries[0]!;
    if (busy.admit('bank-a', 1, now) === undefined) {
      busy.release('bank-a', 0);
      passed[0]! += 1;
    }
    if (now % 1000 !== 0) continue;
    for (const [at, entry] of entries.entries()) {
      const others = published[1 - at];
      if (others !== undefined) entry.applyPeerDemand('bank-a', others, now);
    }
    published = entries.map(entry => entry.demand(now).get('bank-a')!);
  }
  const rate = passed[0]! / 60;
  t.true(rate > 9 && rate < 10.5, `${rate} requests per second, limit 10`);
});

test('many entries with shares below one request stay within the limit', t => {
  const count = 340;
  const entries = Array.from({length: count}, () => new CallerLimits(count));
  for (const entry of entries) entry.setLimit('bank-a', SPEC, 0);
  let passed = 0;
  for (let now = 0; now < 120_000; now += 20) {
    const entry = entries[(now / 20) % count]!;
    if (entry.admit('bank-a', 1, now) !== undefined) continue;
    entry.release('bank-a', 0);
    passed += 1;
  }
  const most = 120 * 10 + count;
  t.true(passed <= most && passed >= 0.9 * 120 * 10, `${passed} requests`);
});

test('limits concurrent requests and admits callers without limits', t => {
  const limits = new CallerLimits(1);
  limits.setLimit('bank-a', SPEC, 0);
  for (let i = 0; i < 4; i++) t.is(limits.admit('bank-a', 1, 0), undefined);
  t.is(limits.admit('bank-a', 1, 0)!.kind, 'rate-limited');
  limits.release('bank-a', 1);
  t.is(limits.admit('bank-a', 1, 0), undefined);
  t.is(limits.admit('bank-b', 1, 0), undefined);
});
