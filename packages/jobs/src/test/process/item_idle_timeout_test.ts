import test from 'ava';
import {
  idleTimeoutMs,
  idleTimeoutsAfter,
} from '../../lib/process/item_idle_timeout.js';

/**
 * Longer than callers of online requests wait for a slot on a fully loaded
 * engine.
 */
const LONGEST_WAIT_MS = 2500;
/** Half of the time within which items are due. */
const MOST_LOST_MS = 9000;

// An item is late although targets have capacity: it waits on a target that has
// stopped responding. Or its run is ended over and over while it only waits for
// a slot.
test('an idle run ends in time, but not while it waits for a slot', t => {
  t.true(idleTimeoutMs(0) > LONGEST_WAIT_MS);
  t.true(idleTimeoutMs(0) < MOST_LOST_MS);
});

// All engines are slow: an item receives nothing for 20 s and then runs. With a
// constant timeout it would never complete.
test('an item on slow engines gets enough time to complete', t => {
  const requiredMs = 20_000;
  const limits = [0, 1, 2, 3, 4].map(idleTimeoutMs);
  t.true(limits.some(limit => limit > requiredMs));
  t.true(limits.every(limit => limit <= 60_000));
});

// Guards against an item that waits long for a silent target, because others
// were silent long before.
test('an item that has received events starts with the short timeout again', t => {
  const received = {isSilent: false, isTargetActive: true, hasEvents: true};
  t.is(idleTimeoutsAfter(3, received), 0);
  t.is(idleTimeoutsAfter(3, {...received, hasEvents: false}), 3);
  t.is(idleTimeoutsAfter(3, {...received, isSilent: true}), 4);
});
