import test from 'ava';
import {mayHaveRun, notRun} from '../../lib/request/refusal.js';
import {RetryPolicy} from '../../lib/request/retry_policy.js';
import type {AttemptState} from '../../lib/request/retry_policy.js';

const FRESH: AttemptState = {
  idempotent: true,
  attempts: 1,
  streamed: false,
  timeLeftMs: 5_000,
};
const OVERLOADED = notRun('overloaded', 'No free capacity.');
const LOST = mayHaveRun('target-lost', 'The connection was lost.');

function denialReason(
  policy: RetryPolicy,
  ...args: Parameters<RetryPolicy['decide']>
) {
  const decision = policy.decide(...args);
  return decision.retry ? undefined : decision.why;
}

test('retries only requests that cannot run twice', t => {
  const once = {...FRESH, idempotent: false};
  const policy = new RetryPolicy();
  t.true(policy.decide(LOST, FRESH).retry);
  t.true(policy.decide(OVERLOADED, once).retry);
  t.is(denialReason(policy, LOST, once), 'unsafe');
  t.is(denialReason(policy, LOST, {...FRESH, streamed: true}), 'unsafe');
  t.is(denialReason(policy, notRun('too-large', 'Too large.'), FRESH), 'final');
});

test('stops at the deadline and at the maximum of attempts', t => {
  const policy = new RetryPolicy();
  t.is(denialReason(policy, OVERLOADED, {...FRESH, timeLeftMs: 5}), 'deadline');
  t.is(denialReason(policy, OVERLOADED, {...FRESH, attempts: 3}), 'attempts');
});

test('retries stay a fraction of the requests in an overload', t => {
  // All targets are full. Without a budget each request would be sent three
  // times, and the retries would sustain the overload.
  const policy = new RetryPolicy();
  let retries = 0;
  for (let i = 0; i < 1000; i++) {
    policy.recordRequest();
    if (policy.decide(OVERLOADED, FRESH).retry) retries += 1;
  }
  t.true(retries <= 110, `${retries} retries`);
});
