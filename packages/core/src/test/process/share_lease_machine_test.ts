import test from 'ava';
import {nextShareLeaseState} from '../../lib/process/share_lease_machine.js';
import type {ShareLeaseEvent} from '../../lib/process/share_lease_machine.js';

function run(...types: readonly ShareLeaseEvent['type'][]) {
  return types.reduce<ReturnType<typeof nextShareLeaseState>>(
    (state, type) => nextShareLeaseState(state, {type}),
    'absent',
  );
}

test('a share is granted, suspended when the lease expires, and resumed', t => {
  t.is(run('grant'), 'held');
  t.is(run('grant', 'lapse'), 'suspended');
  t.is(run('grant', 'lapse', 'renew'), 'held');
});

test('a share is handed over, or kept if the handover fails', t => {
  t.is(run('grant', 'handOver'), 'handingOver');
  t.is(run('grant', 'handOver', 'keep'), 'held');
  t.is(run('grant', 'handOver', 'revoke'), 'absent');
  t.is(run('grant', 'handOver', 'lapse'), 'suspended');
});

test('only a grant restores a revoked share', t => {
  const others = ['lapse', 'renew', 'handOver', 'keep', 'revoke'] as const;
  for (const type of others) t.is(run('grant', 'revoke', type), 'absent');
  t.is(run('grant', 'lapse', 'revoke', 'renew'), 'absent');
});
