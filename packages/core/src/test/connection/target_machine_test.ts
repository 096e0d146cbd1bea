import test from 'ava';
import {
  TARGET_TRAFFIC,
  initialTargetState,
  nextTargetState,
} from '../../lib/connection/target_machine.js';
import type {TargetEvent} from '../../lib/connection/target_machine.js';

function after(...types: readonly TargetEvent['type'][]) {
  return types.reduce(
    (state, type) => nextTargetState(state, {type}),
    initialTargetState(),
  );
}

test('a target replies, becomes an outlier and recovers', t => {
  t.is(initialTargetState(), 'probing');
  t.is(after('replied'), 'healthy');
  t.is(after('replied', 'outlier'), 'degraded');
  t.is(after('replied', 'outlier', 'recovered'), 'healthy');
});

test('a silent target gets no new requests until it replies', t => {
  t.is(after('replied', 'silent'), 'suspected');
  t.false(TARGET_TRAFFIC[after('replied', 'silent')].acceptsNew);
  t.is(after('replied', 'silent', 'replied'), 'probing');
});

test('heartbeats do not end the draining of a target', t => {
  t.is(after('replied', 'leave', 'replied', 'recovered'), 'leaving');
  t.false(TARGET_TRAFFIC.leaving.acceptsNew);
  t.is(after('replied', 'leave', 'stay'), 'probing');
  t.is(after('replied', 'leave', 'removed', 'replied'), 'gone');
});
