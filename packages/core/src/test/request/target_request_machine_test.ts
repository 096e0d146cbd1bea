import test from 'ava';
import {
  initialTargetRequest,
  isUnseenByEngine,
  stepTargetRequest,
} from '../../lib/request/target_request_machine.js';
import type {
  TargetRequestEvent,
  TargetRequestState,
} from '../../lib/request/target_request_machine.js';

function statesOf(...events: readonly TargetRequestEvent['type'][]) {
  let snapshot = initialTargetRequest();
  return events.map(type => {
    snapshot = stepTargetRequest(snapshot, {type});
    return snapshot.value as TargetRequestState;
  });
}

test('runs to its end after a preemption', t => {
  t.deepEqual(
    statesOf('start', 'first-token', 'preempt', 'freed', 'start', 'end'),
    ['started', 'streaming', 'preempting', 'preempted', 'started', 'ended'],
  );
});

test('waits again after a chunk of its prompt is prefilled', t => {
  t.deepEqual(statesOf('start', 'freed', 'start'), [
    'started',
    'preempted',
    'started',
  ]);
});

test('only a request that never started is unseen by the engine', t => {
  t.true(isUnseenByEngine(initialTargetRequest().value as TargetRequestState));
  const states = statesOf('start', 'first-token', 'preempt', 'freed', 'end');
  t.false(states.some(isUnseenByEngine));
});

test('an event without a transition changes nothing', t => {
  t.deepEqual(statesOf('freed', 'preempt', 'first-token'), [
    'waiting',
    'waiting',
    'waiting',
  ]);
  t.is(statesOf('end', 'start').at(-1), 'ended');
});
