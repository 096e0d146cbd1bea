import test from 'ava';
import {memoizedTransition} from '../../lib/process/memoized_transition.js';

test('each transition is computed once', t => {
  let computed = 0;
  const step = memoizedTransition<'on' | 'off', {readonly flip: boolean}>(
    (state, {flip}) => {
      computed++;
      if (!flip) return state;
      return state === 'on' ? 'off' : 'on';
    },
  );
  for (let i = 0; i < 10; i++) {
    t.is(step('on', {flip: true}), 'off');
    t.is(step('on', {flip: false}), 'on');
    t.is(step('off', {flip: true}), 'on');
  }
  t.is(computed, 3);
});
