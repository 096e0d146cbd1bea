import test from 'ava';
import {CallerLimits} from '../../lib/process/caller_limits.js';
import type {LimitSpec} from '../../lib/version/resource.js';

const SPEC: LimitSpec = {
  requestsPerSecond: 10,
  tokensPerSecond: 10_000,
  concurrent: 4,
  burstSeconds: 2,
};

test('lets a burst through, then the declared rate', t => {
  const limits = new CallerLimits(1);
  limits.declare('bank-a', SPEC, 0);
  let passed = 0;
  for (let now = 0; now < 10_000; now += 10) {
    if (limits.begin('bank-a', 1, now) !== undefined) continue;
    passed += 1;
    limits.ended('bank-a', 0);
  }
  t.true(passed >= 115 && passed <= 121, `${passed} requests`);
});

test('refuses as not run, and says when to ask again', t => {
  const limits = new CallerLimits(1);
  limits.declare('bank-a', SPEC, 0);
  t.is(limits.begin('bank-a', 30_000, 0), undefined);
  limits.ended('bank-a', 0);
  const refusal = limits.begin('bank-a', 1, 0)!;
  t.is(refusal.kind, 'rate-limited');
  t.is(refusal.ran, 'not-run');
  t.is(refusal.retryAfterMs, 1000);
  t.is(limits.begin('bank-a', 1, 1001), undefined);
});

test('bounds requests at once and lets unlimited callers pass', t => {
  const limits = new CallerLimits(1);
  limits.declare('bank-a', SPEC, 0);
  for (let i = 0; i < 4; i++) t.is(limits.begin('bank-a', 1, 0), undefined);
  t.is(limits.begin('bank-a', 1, 0)!.kind, 'rate-limited');
  limits.ended('bank-a', 1);
  t.is(limits.begin('bank-a', 1, 0), undefined);
  t.is(limits.begin('bank-b', 1, 0), undefined);
});
