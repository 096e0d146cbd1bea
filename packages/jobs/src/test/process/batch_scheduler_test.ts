import {setTimeout} from 'node:timers/promises';
import {
  NO_COUNTERS,
  NO_EVENT_LOG,
  seededRandom,
  SYSTEM_CLOCK,
} from '@oathead/core';
import type {BatchPressure, Target} from '@oathead/gateway';
import test from 'ava';
import {
  BatchScheduler,
  type SchedulerContext,
} from '../../lib/process/batch_scheduler.js';
import {newItemWork} from '../../lib/process/item_work.js';
import type {OwnedJob} from '../../lib/process/owned_job.js';

const ROUTE = {name: 'files', services: [{service: 'llm', weight: 1}]};
const GOAL_MS = 10_000;
const RUN_MS = 300;

/** A job with one item that is due in so many milliseconds and ran for some. */
function jobDueIn(id: string, leftMs: number, ranMs = 0): OwnedJob {
  const item = {
    id,
    path: `/${id}`,
    headers: {},
    body: Buffer.from(id),
    tokens: 1,
  };
  const head = {
    id,
    hostName: 'h',
    completionGoalMs: GOAL_MS,
    acceptedAtMs: 0,
    retentionMs: Infinity,
  };
  const work = [{...newItemWork(0, item, 0, undefined), ranMs}];
  return {
    head,
    dueAtMs: leftMs,
    work,
    checkpoint: () => {},
  } as unknown as OwnedJob;
}

/** Counts how often a place is looked for, where there is never one. */
async function looks(jobs: readonly OwnedJob[], asksOthers: boolean) {
  const counts: Record<BatchPressure, number> = {relaxed: 0, pressed: 0};
  const placement = {
    asksOthers,
    forItem: async (service: string, pressure: BatchPressure) => {
      counts[pressure]++;
      return undefined as Target | undefined;
    },
  };
  const context = {
    clock: SYSTEM_CLOCK,
    log: NO_EVENT_LOG,
    counters: NO_COUNTERS,
    random: seededRandom(1),
    placement,
    routing: {current: {match: () => ROUTE}},
    crashes: {isItemBlocked: () => false},
    loads: {onChange: () => {}},
    storeTimeMs: () => 0,
  } as unknown as SchedulerContext;
  const scheduler = new BatchScheduler(context, () => jobs);
  scheduler.start();
  await setTimeout(RUN_MS);
  scheduler[Symbol.dispose]();
  return counts;
}

// An item that is due soon is late although targets have room for it: one that is done
// sooner and has time found none below the share for such, and both were left alone.
test('an item that has time holds back none that is due soon', async t => {
  const relaxed = jobDueIn('relaxed', GOAL_MS, GOAL_MS / 8);
  const pressed = jobDueIn('pressed', GOAL_MS * 0.4);
  for (const asksOthers of [false, true]) {
    const counts = await looks([relaxed, pressed], asksOthers);
    t.true(counts.pressed > 0, JSON.stringify(counts));
  }
});

// An item waits for a place that was free for a moment: without a coordinator a look
// costs no message, and places are looked for at each tick.
test('only what asks another host leaves a route alone for a while', async t => {
  const alone = await looks([jobDueIn('one', GOAL_MS)], false);
  const asking = await looks([jobDueIn('one', GOAL_MS)], true);
  t.true(
    alone.relaxed > asking.relaxed * 1.5,
    `${alone.relaxed} ${asking.relaxed}`,
  );
});
