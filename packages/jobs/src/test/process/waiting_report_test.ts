import test from 'ava';
import type {Urgency} from '../../lib/process/item_durations.js';
import type {ItemStage} from '../../lib/process/item_work.js';
import {WaitingReport} from '../../lib/process/waiting_report.js';
import {RecordedEvents} from '../fakes/recorded_events.js';

function itemOf(urgency: Urgency, stage: ItemStage) {
  const estimate = {
    urgency,
    remainingMs: 2000,
    untilDueMs: 3000,
    nearlyDone: false,
  };
  return {work: {stage}, estimate};
}

const WAITING: ItemStage = {kind: 'waiting', notBefore: 0};

// Items waited while targets had free slots, and the log did not tell items
// that could wait from items that were refused a slot as late.
test('waiting items are reported by urgency, with placements', t => {
  const recorded = new RecordedEvents();
  const report = new WaitingReport({log: recorded, counters: recorded});
  report.countPlacement('pressed', 'placed');
  report.countPlacement('late', 'full');
  const items = [
    itemOf('late', WAITING),
    itemOf('relaxed', WAITING),
    itemOf('late', WAITING),
    itemOf('pressed', {kind: 'recording'}),
  ];
  report.write(items);
  report.write(items);
  t.like(recorded.events[0], {
    name: 'items-waiting',
    relaxed: 1,
    pressed: 0,
    late: 2,
    running: 1,
    placed: 1,
    full: 1,
    longestRemainingMs: 2000,
  });
  t.like(recorded.events[1], {placed: 0, full: 0});
  t.is(recorded.counts['item_placements late full'], 1);
});

test('nothing is written while no item waits', t => {
  const recorded = new RecordedEvents();
  const report = new WaitingReport({log: recorded, counters: recorded});
  report.write([itemOf('relaxed', {kind: 'recording'})]);
  t.deepEqual(recorded.events, []);
});

// One line a second tells everything that is known about the waits of a host.
test('the longest wait is a part of the line and counted by its reason', t => {
  const recorded = new RecordedEvents();
  const report = new WaitingReport({log: recorded, counters: recorded});
  report.write([itemOf('late', WAITING)], {
    job: 'j',
    item: 'i',
    waitedMs: 3000,
    urgency: 'late',
    reason: 'all-suspended',
    runs: 1,
    service: 's',
    targets: 2,
    suspended: 2,
    underHalf: 0,
  });
  t.is(recorded.events.length, 1);
  t.like(recorded.events[0], {late: 1, item: 'i', reason: 'all-suspended'});
  t.is(recorded.counts['items_waiting_long all-suspended'], 1);
});
