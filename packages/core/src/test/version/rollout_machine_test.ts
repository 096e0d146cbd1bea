import test from 'ava';
import {
  ROLLOUT_START,
  isOrderPending,
  nextRolloutState,
} from '../../lib/version/rollout_machine.js';
import type {
  RolloutEvent,
  RolloutState,
  WantedState,
} from '../../lib/version/rollout_machine.js';

function observed(wanted: WantedState, unfinished = false): RolloutEvent {
  return {type: 'observed', wanted, unfinished};
}

function walk(...events: readonly RolloutEvent[]): readonly RolloutState[] {
  let state = ROLLOUT_START;
  return events.map(event => (state = nextRolloutState(state, event)));
}

test('loads, becomes ready, lets the old one go', t => {
  t.deepEqual(
    walk(
      {type: 'sent'},
      {type: 'taken'},
      observed('loading', true),
      observed('ready', true),
      {type: 'sent'},
      {type: 'taken'},
      observed('ready'),
    ),
    [
      'loadOrdered',
      'loading',
      'loading',
      'ready',
      'changeOrdered',
      'ready',
      'complete',
    ],
  );
});

test('believes no report before an order was taken', t => {
  t.is(nextRolloutState('wanting', observed('ready')), 'wanting');
  t.is(nextRolloutState('loadOrdered', observed('ready')), 'loadOrdered');
});

test('begins anew when an outcome is lost or a version goes', t => {
  for (const state of [
    'loadOrdered',
    'changeOrdered',
    'clearOrdered',
  ] as const) {
    t.is(nextRolloutState(state, {type: 'lost'}), 'wanting');
    t.is(nextRolloutState(state, {type: 'refused'}), 'held');
    t.is(nextRolloutState(state, {type: 'restart'}), state);
    t.true(isOrderPending(state));
  }
  for (const wanted of ['absent', 'loading', 'failed'] as const) {
    t.is(nextRolloutState('complete', observed(wanted)), 'wanting');
    t.is(nextRolloutState('ready', observed(wanted)), 'wanting');
  }
});

test('a failed load is cleared and tried anew', t => {
  t.deepEqual(
    walk(
      {type: 'sent'},
      {type: 'taken'},
      observed('failed'),
      {type: 'sent'},
      {type: 'taken'},
    ).slice(2),
    ['failed', 'clearOrdered', 'wanting'],
  );
  t.is(nextRolloutState('held', {type: 'expired'}), 'wanting');
});
