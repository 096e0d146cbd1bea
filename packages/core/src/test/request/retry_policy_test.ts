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
const OVERLOADED = notRun('overloaded', 'No room.');
const LOST = mayHaveRun('target-lost', 'The connection broke.');

function whyNot(
  policy: RetryPolicy,
  ...args: Parameters<RetryPolicy['decide']>
) {
  const decision = policy.decide(...args);
  return decision.retry ? undefined : decision.why;
}

test('sends again only what cannot run twice', t => {
  const once = {...FRESH, idempotent: false};
  const policy = new RetryPolicy();
  t.true(policy.decide(LOST, FRESH).retry);
  t.true(policy.decide(OVERLOADED, once).retry);
  t.is(whyNot(policy, LOST, once), 'unsafe');
  t.is(whyNot(policy, LOST, {...FRESH, streamed: true}), 'unsafe');
  t.is(whyNot(policy, notRun('too-large', 'Too large.'), FRESH), 'final');
});

test('stops at the deadline and after some attempts', t => {
  const policy = new RetryPolicy();
  t.is(whyNot(policy, OVERLOADED, {...FRESH, timeLeftMs: 5}), 'deadline');
  t.is(whyNot(policy, OVERLOADED, {...FRESH, attempts: 3}), 'attempts');
});

test('retries stay a share of the requests in an overload', t => {
  // All targets are full. Without a budget each request would be sent three
  // times, and the overload would feed itself.
  const policy = new RetryPolicy();
  let retries = 0;
  for (let i = 0; i < 1000; i++) {
    policy.requested();
    if (policy.decide(OVERLOADED, FRESH).retry) retries += 1;
  }
  t.true(retries <= 110, `${retries} retries`);
});
