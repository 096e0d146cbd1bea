import test from 'ava';
import {newItemWork} from '../../lib/process/item_work.js';
import {NeglectReport} from '../../lib/process/neglect_report.js';
import type {ExplainedWait} from '../../lib/process/wait_explainer.js';
import type {WaitReason} from '../../lib/process/wait_reason.js';
import {RecordedEvents} from '../fakes/recorded_events.js';

const SECOND_MS = 1000;
const VIEW = {targets: 3, suspended: 1, underHalf: 2};

function newWork(id: string) {
  const item = {id, path: '/', headers: {}, body: Buffer.of(), tokens: 1};
  return newItemWork(0, item, 0, undefined);
}

function waitOf(
  work: ReturnType<typeof newWork>,
  neglectedMs: number,
  reason: WaitReason = 'full-by-own-view',
): ExplainedWait {
  const candidate = {job: {head: {id: 'j'}}, work, estimate: {urgency: 'late'}};
  return {
    candidate,
    waitedMs: neglectedMs,
    neglectedMs,
    reason,
    service: 's',
    view: VIEW,
  } as unknown as ExplainedWait;
}

// An item was given up at the end of its time, and no line said why it had not
// been run.
test('an item that nobody works on is named with all its reasons', t => {
  const recorded = new RecordedEvents();
  const report = new NeglectReport({log: recorded, counters: recorded});
  const work = newWork('i');
  report.write([waitOf(work, 4000, 'blocked-part')], SECOND_MS);
  report.write([waitOf(work, 4900)], SECOND_MS);
  t.deepEqual(recorded.events, []);
  report.write([waitOf(work, 5900)], SECOND_MS);
  t.like(recorded.events[0], {
    name: 'item-neglected',
    job: 'j',
    item: 'i',
    neglectedMs: 5900,
    reason: 'full-by-own-view',
    waits: 'full-by-own-view 2000, blocked-part 1000',
    ...VIEW,
  });
});

test('the lines about one item grow rare', t => {
  const recorded = new RecordedEvents();
  const report = new NeglectReport({log: recorded, counters: recorded});
  const work = newWork('i');
  for (let ms = 0; ms <= 60_000; ms += SECOND_MS)
    report.write([waitOf(work, ms)], SECOND_MS);
  const at = recorded.events.map(event => event['neglectedMs']);
  t.deepEqual(at, [5000, 10_000, 20_000, 40_000]);
});

test('the number of lines does not grow with the items', t => {
  const recorded = new RecordedEvents();
  const report = new NeglectReport({log: recorded, counters: recorded});
  const works = [...Array(100).keys()].map(i => newWork(`i${i}`));
  report.write(
    works.map(work => waitOf(work, 6000)),
    SECOND_MS,
  );
  t.is(recorded.events.length, 5);
});
