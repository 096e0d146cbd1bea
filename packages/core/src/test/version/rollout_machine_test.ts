import test from 'ava';
import {
  INITIAL_ROLLOUT_STATE,
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

function statesAfter(
  ...events: readonly RolloutEvent[]
): readonly RolloutState[] {
  let state = INITIAL_ROLLOUT_STATE;
  return events.map(event => (state = nextRolloutState(state, event)));
}

test('loads the new version, becomes ready, unloads the old version', t => {
  t.deepEqual(
    statesAfter(
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

test('ignores reports until an order was accepted', t => {
  t.is(nextRolloutState('wanting', observed('ready')), 'wanting');
  t.is(nextRolloutState('loadOrdered', observed('ready')), 'loadOrdered');
});

test('starts again when an outcome is lost or a version disappears', t => {
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

test('a failed load is cleared and retried', t => {
  t.deepEqual(
    statesAfter(
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
