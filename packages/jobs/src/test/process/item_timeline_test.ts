import test from 'ava';
import {ItemTimeline} from '../../lib/process/item_timeline.js';

// An item was late and its log did not tell whether it waited for a target, in
// the queue of a target, or for runs that were ended early.
test('run time is split into queue and loss', t => {
  const timeline = new ItemTimeline();
  timeline.add({
    sentAtMs: 100,
    firstEventAtMs: undefined,
    endedAtMs: 150,
    isComplete: false,
  });
  timeline.add({
    sentAtMs: 200,
    firstEventAtMs: 230,
    endedAtMs: 300,
    isComplete: false,
  });
  timeline.add({
    sentAtMs: 400,
    firstEventAtMs: 420,
    endedAtMs: 500,
    isComplete: true,
  });
  t.is(timeline.firstSentAtMs, 100);
  t.is(timeline.runMs, 250);
  t.is(timeline.queuedMs, 100);
  t.is(timeline.lostMs, 80);
});
