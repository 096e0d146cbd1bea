import test from 'ava';
import {GRANT_VALIDITY_MS, type ClientAccount} from '@oathead/core';
import {CallerAdmission} from '../../lib/process/caller_admission.js';
import {FakeClock} from '../fakes/fake_clock.js';

const ACCOUNT: ClientAccount = {
  name: 'account',
  priority: undefined,
  quota: {perSecond: 1, burst: 1},
};

// The quota owner counts a grant no longer than it is good; sent later, it would
// exceed the quota of a later window.
test('a grant is exchanged before it is used too late', async t => {
  const clock = new FakeClock();
  const calls: unknown[] = [];
  const quotas = {
    take: async () => {
      calls.push('take');
      return {kind: 'granted', grantedAt: clock.now()};
    },
    refund: (name: string, grantedAt: number) => calls.push([name, grantedAt]),
  };
  const context = {quotas, now: () => clock.now()};
  const admission = new CallerAdmission(context as never);
  const first = await admission.takeQuota(ACCOUNT);
  t.deepEqual(first, {kind: 'granted', grantedAt: 0});
  clock.advance(GRANT_VALIDITY_MS);
  t.deepEqual(await admission.renewQuota(ACCOUNT, 0), first);
  t.deepEqual(calls, ['take']);
  clock.advance(1);
  const second = await admission.renewQuota(ACCOUNT, 0);
  t.deepEqual(second, {kind: 'granted', grantedAt: GRANT_VALIDITY_MS + 1});
  t.deepEqual(calls, ['take', ['account', 0], 'take']);
});
