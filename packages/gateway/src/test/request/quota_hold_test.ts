import test from 'ava';
import {QuotaHold} from '../../lib/request/quota_hold.js';
import {FakeClock} from '../fakes/fake_clock.js';

const ACCOUNT = {name: 'a', priority: 0, quota: {perSecond: 1, burst: 1}};

function newHold(isGranted: boolean) {
  const clock = new FakeClock();
  const calls: string[] = [];
  const admission = {
    refundQuota: () => void calls.push('refund'),
    takeQuota: async () => {
      calls.push('take');
      return isGranted
        ? ({kind: 'granted'} as const)
        : ({kind: 'over', waitMs: 100} as const);
    },
  };
  const hold = new QuotaHold({clock, admission}, ACCOUNT as never, 0);
  return {hold, clock, calls};
}

// Guards against a quota that is exceeded by requests that were granted long
// before they are sent, all at once.
test('a request that has waited takes a new grant before it is sent', async t => {
  const {hold, clock, calls} = newHold(true);
  clock.advance(200);
  t.is(await hold.renew(), 'kept');
  clock.advance(200);
  t.is(await hold.renew(), 'renewed');
  t.is(await hold.renew(), 'kept');
  t.deepEqual(calls, ['refund', 'take']);
});

// Guards against a quota that grows by refunds of one grant.
test('a grant is refunded once', async t => {
  const {hold, clock, calls} = newHold(false);
  clock.advance(400);
  t.is(await hold.renew(), 'over');
  hold.refund();
  t.deepEqual(calls, ['refund', 'take']);
});
