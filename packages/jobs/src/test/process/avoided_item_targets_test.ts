import test from 'ava';
import {
  avoidedItemTargets,
  mayRunAnywhere,
} from '../../lib/process/avoided_item_targets.js';

test('an item avoids the targets that failed it while others are available', t => {
  const avoided = avoidedItemTargets(['a', 'gone', 'b'], ['a', 'b', 'c']);
  t.deepEqual([...avoided], ['a', 'b']);
});

// Guards against an item that is never run again: all targets of its service
// have failed it, or are suspended.
test('an item may run on the target that failed it first if all have', t => {
  t.deepEqual([...avoidedItemTargets(['a'], ['a'])], []);
  t.deepEqual([...avoidedItemTargets(['b', 'a'], ['a', 'b'])], ['a']);
  t.deepEqual([...avoidedItemTargets(['a'], [])], []);
});

// Guards against an item that waits for another target until it is too late.
test('an item with little time left may run where it failed', t => {
  const item = {remainingMs: 2000, untilDueMs: 9000, nearlyDone: false};
  t.false(mayRunAnywhere({...item, urgency: 'relaxed'}, 50_000));
  t.true(mayRunAnywhere({...item, urgency: 'pressed'}, 50_000));
  t.false(mayRunAnywhere({...item, urgency: 'late'}, 50_000));
  t.true(mayRunAnywhere({...item, urgency: 'late'}, 3000));
});
