import test from 'ava';
import {reportListedItem} from '../../lib/process/item_report.js';
import {newItemWork} from '../../lib/process/item_work.js';
import type {JobHead} from '../../lib/request/job_rows.js';
import {RecordedEvents} from '../fakes/recorded_events.js';

const HEAD: JobHead = {
  id: 'j',
  hostName: 'h',
  items: 1,
  acceptedAtMs: 1000,
  completionGoalMs: 500,
  retentionMs: 10_000,
  maxAttempts: 3,
  owner: 'me',
  state: 'open',
  listed: 0,
  failures: {},
  nonce: 'n',
  content: {kind: 'rows', pieces: 1},
};
const ITEM = {
  id: 'i',
  path: '/i',
  headers: {},
  body: Buffer.from('i'),
  tokens: 1,
};

function reportAt(storeTimeMs: number | undefined): RecordedEvents {
  const recorded = new RecordedEvents();
  const work = newItemWork(0, ITEM, 0, undefined);
  work.runs = 1;
  work.timeline.add({
    sentAtMs: 30,
    firstEventAtMs: 40,
    endedAtMs: 90,
    isComplete: true,
    isAborted: false,
  });
  const context = {log: recorded, counters: recorded, latencies: recorded};
  reportListedItem(context, HEAD, work, 'succeeded', {
    adoptedAtMs: 10,
    finishedAtMs: 90,
    listedAtMs: 97,
    storeTimeMs,
  });
  return recorded;
}

// Items of a job were late and neither log nor metrics named the stage that
// took the time.
test('the report of a listed item names the time of each stage', t => {
  const {events, counts, latencies} = reportAt(1600);
  t.is(events.length, 1);
  t.like(events[0], {
    name: 'item-listed',
    item: 'i',
    state: 'succeeded',
    sinceAcceptedMs: 600,
    heldMs: 87,
    firstWaitMs: 20,
    runMs: 60,
    queuedMs: 10,
    lostMs: 0,
    listMs: 7,
    runs: 1,
    preemptions: 0,
  });
  t.is(counts['items_listed succeeded late'], 1);
  t.deepEqual(latencies['item_due_margin late'], [100]);
  t.deepEqual(latencies['item_listing'], [7]);
});

test('an item listed before its due time counts as in time', t => {
  const {counts, latencies} = reportAt(1400);
  t.is(counts['items_listed succeeded in-time'], 1);
  t.deepEqual(latencies['item_due_margin in-time'], [100]);
});

// Without the store's clock an item would count as late by its whole age.
test('an item is neither late nor in time while the clock is unknown', t => {
  const {events, counts} = reportAt(undefined);
  t.is(events[0]?.['sinceAcceptedMs'], undefined);
  t.deepEqual(Object.keys(counts), ['item_lost_ms']);
});
