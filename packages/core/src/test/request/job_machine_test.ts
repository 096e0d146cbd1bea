import test from 'ava';
import {isFinalJobState, nextJobState} from '../../lib/request/job_machine.js';

test('a job ends as done, or as cancelled after a cancellation', t => {
  t.is(nextJobState('open', {type: 'close'}), 'done');
  t.is(nextJobState('open', {type: 'cancel'}), 'cancelling');
  t.is(nextJobState('cancelling', {type: 'close'}), 'cancelled');
  t.is(nextJobState('cancelling', {type: 'cancel'}), 'cancelling');
});

test('an ended job does not change', t => {
  for (const state of ['done', 'cancelled'] as const) {
    t.true(isFinalJobState(state));
    t.is(nextJobState(state, {type: 'cancel'}), state);
    t.is(nextJobState(state, {type: 'close'}), state);
  }
});
