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

/**
 * Creates a job with one item, which is due in `untilDueMs` and has run for
 * `runTimeMs`.
 */
function jobDueIn(id: string, untilDueMs: number, runTimeMs = 0): OwnedJob {
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
  const work = [{...newItemWork(0, item, 0, undefined), runTimeMs}];
  return {
    head,
    dueAtMs: untilDueMs,
    work,
    checkpoint: () => {},
  } as unknown as OwnedJob;
}

/** Counts placement attempts while no target has a free slot. */
async function countPlacementAttempts(
  jobs: readonly OwnedJob[],
  usesPeerCoordinator: boolean,
) {
  const counts: Record<BatchPressure, number> = {relaxed: 0, pressed: 0};
  const placement = {
    usesPeerCoordinator,
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
    crashSuspects: {isItemBlocked: () => false},
    loads: {onChange: () => {}},
    storeTimeMs: () => 0,
  } as unknown as SchedulerContext;
  const scheduler = new BatchScheduler(context, () => jobs);
  scheduler.start();
  await setTimeout(RUN_MS);
  scheduler[Symbol.dispose]();
  return counts;
}

// An urgent item became late although targets had slots for it: a relaxed item
// with less remaining time found no slot outside the share reserved for urgent
// items, and the scheduler then skipped the route for both.
test('a relaxed item does not hold back an urgent one', async t => {
  const relaxed = jobDueIn('relaxed', GOAL_MS, GOAL_MS / 8);
  const pressed = jobDueIn('pressed', GOAL_MS * 0.4);
  for (const usesPeerCoordinator of [false, true]) {
    const counts = await countPlacementAttempts(
      [relaxed, pressed],
      usesPeerCoordinator,
    );
    t.true(counts.pressed > 0, JSON.stringify(counts));
  }
});

// Items missed slots that were free only for a moment. Without a coordinator,
// looking for a slot sends no message, so the scheduler looks in every
// interval.
test('a full route is skipped longer if placement asks another host', async t => {
  const local = await countPlacementAttempts([jobDueIn('one', GOAL_MS)], false);
  const coordinated = await countPlacementAttempts(
    [jobDueIn('one', GOAL_MS)],
    true,
  );
  t.true(
    local.relaxed > coordinated.relaxed * 1.5,
    `${local.relaxed} ${coordinated.relaxed}`,
  );
});
