import test from 'ava';
import type {ItemCandidate} from '../../lib/process/item_candidate.js';
import {ItemTimeline} from '../../lib/process/item_timeline.js';
import type {ItemStage} from '../../lib/process/item_work.js';
import {
  longestWait,
  WaitExplainer,
  type WaitExplainerContext,
} from '../../lib/process/wait_explainer.js';

const NOW_MS = 20_000;
const WAITING: ItemStage = {kind: 'waiting', notBefore: 0};
const TARGETS = ['free', 'full'].map(id => ({id, slots: 8}));

function newItem(id: string, waitedMs: number, stage = WAITING): ItemCandidate {
  return {
    job: {head: {id: 'j'}, adoptedAtMs: NOW_MS - waitedMs},
    work: {
      item: {id},
      stage,
      runs: 2,
      fingerprint: id,
      timeline: new ItemTimeline(),
    },
    estimate: {urgency: 'late'},
  } as unknown as ItemCandidate;
}

/** A host whose targets are one free, one full. */
function newExplainer(parts: object = {}): WaitExplainer {
  const context = {
    clock: {now: () => NOW_MS},
    routing: {current: {}},
    directory: {ofService: () => TARGETS},
    suspensions: {isSuspended: () => false},
    loads: {
      totalAt: (key: string) => ({
        online: key.includes('full') ? 8 : 1,
        batch: 0,
      }),
    },
    routes: {routeOf: () => ({services: [{service: 's'}]})},
    search: {refusedBy: () => 'own-view', pendingMs: () => 0},
    isPaused: () => false,
    ...parts,
  } as unknown as WaitExplainerContext;
  return new WaitExplainer(context);
}

/** Explains the longest wait on such a host. */
function longestOf(items: readonly ItemCandidate[], parts: object = {}) {
  return longestWait(newExplainer(parts).explain(items));
}

// An item lay beside free slots until the end of its job, and no log line told
// why.
test('the longest wait is named with its reason and the free targets', t => {
  const items = [newItem('short', 1500), newItem('long', 3000)];
  t.like(longestOf(items), {
    job: 'j',
    item: 'long',
    waitedMs: 3000,
    urgency: 'late',
    reason: 'full-by-own-view',
    runs: 2,
    service: 's',
    targets: 2,
    suspended: 0,
  });
});

test('nothing is explained while no item waits for long', t => {
  const running = {kind: 'running'} as ItemStage;
  t.is(
    longestOf([newItem('one', 500), newItem('two', 9000, running)]),
    undefined,
  );
});

test('each obstacle to a start has a reason of its own', t => {
  const refusedBy = (by: string | undefined) => ({
    search: {refusedBy: () => by, pendingMs: () => 0},
  });
  const cases: ReadonlyArray<readonly [string, object]> = [
    ['paused', {isPaused: () => true}],
    ['no-configuration', {routing: {current: undefined}}],
    ['no-route', {routes: {routeOf: () => undefined}}],
    ['placement-pending', {search: {pendingMs: () => 300, refusedBy: () => 0}}],
    ['no-target', {directory: {ofService: () => []}}],
    ['all-suspended', {suspensions: {isSuspended: () => true}}],
    ['full-by-coordinator', refusedBy('coordinator')],
    ['behind-others', refusedBy(undefined)],
  ];
  for (const [reason, parts] of cases)
    t.is(longestOf([newItem('one', 2000)], parts)?.reason, reason as never);
  const stages: ReadonlyArray<readonly [string, ItemStage]> = [
    ['recording-failure', {kind: 'recording'}],
    ['after-run', {kind: 'waiting', notBefore: NOW_MS + 1}],
    [
      'blocked-part',
      {kind: 'waiting', notBefore: NOW_MS + 1, isBehindTrial: true},
    ],
  ];
  for (const [reason, stage] of stages)
    t.is(longestOf([newItem('one', 2000, stage)])?.reason, reason as never);
});

// A run at an unresponsive target hides how long an item has got nothing.
test('a run without an event is a part of the wait', t => {
  const item = newItem('one', 6000);
  const times = {sentAtMs: NOW_MS - 5000, endedAtMs: NOW_MS - 1200};
  item.work.timeline.add({
    ...times,
    firstEventAtMs: undefined,
    isComplete: false,
    isAborted: false,
  });
  t.is(longestOf([item])?.waitedMs, 6000);
  item.work.timeline.add({
    ...times,
    firstEventAtMs: NOW_MS - 2000,
    isComplete: false,
    isAborted: false,
  });
  t.is(longestOf([item])?.waitedMs, 1200);
});

// Guards against a host that spends its time on explanations while a job of tens
// of thousands of items waits.
test('the number of explained waits is bounded, with the longest among them', t => {
  const others = [...Array(5000).keys()].map(i => newItem(`i${i}`, 2000));
  const waits = newExplainer().explain([...others, newItem('long', 9000)]);
  t.true(waits.length <= 257);
  t.is(longestWait(waits)?.item, 'long');
});
