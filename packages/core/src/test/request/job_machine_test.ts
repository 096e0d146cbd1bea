import test from 'ava';
import {isFinalJobState, nextJobState} from '../../lib/request/job_machine.js';

test('a job ends as done, or as cancelled once it was cancelled', t => {
  t.is(nextJobState('open', {type: 'close'}), 'done');
  t.is(nextJobState('open', {type: 'cancel'}), 'cancelling');
  t.is(nextJobState('cancelling', {type: 'close'}), 'cancelled');
  t.is(nextJobState('cancelling', {type: 'cancel'}), 'cancelling');
});

test('a job that has ended stays as it is', t => {
  for (const state of ['done', 'cancelled'] as const) {
    t.true(isFinalJobState(state));
    t.is(nextJobState(state, {type: 'cancel'}), state);
    t.is(nextJobState(state, {type: 'close'}), state);
  }
});
