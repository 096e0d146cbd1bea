import test from 'ava';
import {
  compareEstimates,
  ItemDurations,
} from '../../lib/process/item_durations.js';
import {newItemWork, type ItemWork} from '../../lib/process/item_work.js';

const KIND = {hostName: 'notes', completionGoalMs: 20_000};
/** Duration of each text of these tests, in milliseconds. */
const TEXT_MS = 50;
const TEXTS = 100;

function workWith(texts: number, inherited = 0): ItemWork {
  const body = Buffer.from('{}');
  const item = {id: 'i', path: '/notes/1', headers: {}, body, tokens: 100};
  const partial = {lastEventId: inherited, texts: Array(inherited).fill('w')};
  const work = newItemWork(0, item, 0, partial);
  work.texts.push(...Array<string>(texts - inherited).fill('w'));
  work.runTimeMs = (texts - inherited) * TEXT_MS;
  return work;
}

function learnedDurations(): ItemDurations {
  const durations = new ItemDurations();
  durations.add(KIND, workWith(TEXTS));
  return durations;
}

// In overload, few items were completed in time although targets were never
// idle: an item preempted during a burst lost its slot to a new one, so that
// many items were started and few completed.
test('a half-done item goes before a new one that is due sooner', t => {
  const durations = learnedDurations();
  const half = durations.estimate(KIND, workWith(TEXTS / 2), 15_000);
  const fresh = durations.estimate(KIND, workWith(0), 9000);
  t.is(half.urgency, 'relaxed');
  t.is(fresh.urgency, 'pressed');
  t.true(compareEstimates(half, fresh) < 0);
  t.true(half.nearlyDone);
  t.false(fresh.nearlyDone);
});

test('of two equal items, the one due sooner goes first', t => {
  const durations = learnedDurations();
  const sooner = durations.estimate(KIND, workWith(10), 9000);
  const later = durations.estimate(KIND, workWith(10), 12_000);
  t.true(compareEstimates(sooner, later) < 0);
});

test('a late item goes last, however short its remaining time', t => {
  const durations = learnedDurations();
  const late = durations.estimate(KIND, workWith(TEXTS - 20), 500);
  const fresh = durations.estimate(KIND, workWith(0), 19_000);
  t.is(late.urgency, 'late');
  t.true(compareEstimates(late, fresh) > 0);
  t.false(late.nearlyDone);
});

// The host of a job fails when the items are nearly done. The new owner must
// not treat them as new items, which can no longer be completed in time.
test('texts received under an earlier owner count as done', t => {
  const durations = learnedDurations();
  const {urgency, remainingMs} = durations.estimate(
    KIND,
    workWith(80, 80),
    1500,
  );
  t.is(Math.round(remainingMs), 20 * TEXT_MS);
  t.is(urgency, 'pressed');
  durations.add(KIND, workWith(TEXTS, 80));
  t.is(durations.estimate(KIND, workWith(0), 0).remainingMs, TEXTS * TEXT_MS);
});

test('without completed items, the estimate is a fraction of the goal', t => {
  const durations = new ItemDurations();
  const {urgency} = durations.estimate(KIND, workWith(0), 19_000);
  t.is(urgency, 'relaxed');
  const late = durations.estimate(KIND, workWith(0), 4000);
  t.is(late.urgency, 'late');
});

// A host that had taken jobs over completed no item for 15 s, and until then
// began new items in place of those that its predecessor had nearly completed.
test('texts of an earlier owner go first before any item has completed', t => {
  const durations = new ItemDurations();
  const inherited = durations.estimate(KIND, workWith(80, 80), 9000);
  const fresh = durations.estimate(KIND, workWith(0), 8000);
  t.true(compareEstimates(inherited, fresh) < 0);
});

// On such a host, those items counted as late until one had completed.
test('a run that is cut tells how much of each item is done', t => {
  const durations = new ItemDurations();
  durations.addRun(KIND, {texts: 10, streamedMs: 10 * TEXT_MS});
  const estimate = durations.estimate(KIND, workWith(80, 80), 1500);
  const doneMs = 80 * TEXT_MS;
  t.is(Math.round(estimate.remainingMs), KIND.completionGoalMs / 4 - doneMs);
  t.is(estimate.urgency, 'pressed');
});
