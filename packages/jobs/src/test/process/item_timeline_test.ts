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
    isAborted: false,
  });
  timeline.add({
    sentAtMs: 200,
    firstEventAtMs: 230,
    endedAtMs: 300,
    isComplete: false,
    isAborted: false,
  });
  timeline.add({
    sentAtMs: 400,
    firstEventAtMs: 420,
    endedAtMs: 500,
    isComplete: true,
    isAborted: false,
  });
  t.is(timeline.firstSentAtMs, 100);
  t.is(timeline.runMs, 250);
  t.is(timeline.queuedMs, 100);
  t.is(timeline.lostMs, 80);
});

// An item that is taken back again and again counted as worked on.
test('a short run that its host ends is no work on the item', t => {
  const timeline = new ItemTimeline();
  const run = {sentAtMs: 0, firstEventAtMs: 10, isComplete: false};
  timeline.add({...run, endedAtMs: 900, isAborted: true});
  t.is(timeline.workedAtMs, undefined);
  timeline.add({...run, endedAtMs: 1000, isAborted: true});
  t.is(timeline.workedAtMs, 1000);
  timeline.add({...run, sentAtMs: 2000, endedAtMs: 2100, isAborted: false});
  t.is(timeline.workedAtMs, 2100);
});
