import {GRANT_VALIDITY_MS} from '@oathead/core';
import test from 'ava';
import type {AdmittedRequest} from '../../lib/request/admitted_request.js';
import type {CallerReturn} from '../../lib/process/account_quotas.js';
import {QuotaHold} from '../../lib/request/quota_hold.js';
import {FakeClock} from '../fakes/fake_clock.js';
import {PROTOCOL} from '../fakes/raw_target.js';

const ACCOUNT = {name: 'a', priority: 0, quota: {perSecond: 1, burst: 1}};

function newHold(isGranted: boolean) {
  const clock = new FakeClock();
  const calls: string[] = [];
  const admission = {
    refundQuota: (
      account: unknown,
      grantedAt?: number,
      returning?: CallerReturn,
    ) => void calls.push(`refund ${grantedAt}, returns in ${returning?.inMs}`),
    takeQuota: async () => {
      calls.push('take');
      return isGranted
        ? ({kind: 'granted', grantedAt: clock.now()} as const)
        : ({kind: 'over', waitMs: 100, isReserved: false} as const);
    },
  };
  const admitted = {
    req: {headers: {}},
    route: {timeoutMs: 1000},
    account: ACCOUNT,
    startedAt: 0,
    grantedAt: 0,
    returning: true,
    fingerprint: 'f',
  } as unknown as AdmittedRequest;
  const hold = new QuotaHold({clock, protocol: PROTOCOL, admission}, admitted);
  return {hold, clock, calls};
}

// Guards against a quota that is exceeded by requests that were granted long
// before they are sent, all at once.
test('a request that has waited takes a new grant before it is sent', async t => {
  const {hold, clock, calls} = newHold(true);
  clock.advance(GRANT_VALIDITY_MS);
  t.is(await hold.renew(), 'kept');
  clock.advance(1);
  t.is(await hold.renew(), 'renewed');
  t.is(await hold.renew(), 'kept');
  hold.refund(50);
  t.deepEqual(calls, [
    'refund 0, returns in 0',
    'take',
    `refund ${GRANT_VALIDITY_MS + 1}, returns in 50`,
  ]);
});

// Guards against a quota that grows by refunds of one grant.
test('a grant is refunded once', async t => {
  const granted = newHold(true);
  granted.hold.refund();
  granted.hold.refund();
  t.deepEqual(granted.calls, ['refund 0, returns in undefined']);
  const over = newHold(false);
  over.clock.advance(GRANT_VALIDITY_MS + 1);
  t.is(await over.hold.renew(), 'over');
  over.hold.refund();
  t.deepEqual(over.calls, ['refund 0, returns in 0', 'take']);
});
