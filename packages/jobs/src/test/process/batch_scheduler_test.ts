import {setTimeout} from 'node:timers/promises';
import {
  NO_COUNTERS,
  NO_EVENT_LOG,
  seededRandom,
  SYSTEM_CLOCK,
} from '@oathead/core';
import type {BatchPressure, ItemPlacementOutcome} from '@oathead/gateway';
import {install} from '@sinonjs/fake-timers';
import test from 'ava';
import {
  BatchScheduler,
  type SchedulerContext,
} from '../../lib/process/batch_scheduler.js';
import {newItemWork} from '../../lib/process/item_work.js';
import type {OwnedJob} from '../../lib/process/owned_job.js';

const ROUTE = {name: 'files', services: [{service: 'llm', weight: 1}]};
const FULL: ItemPlacementOutcome = {kind: 'full', by: 'own-view'};
const GOAL_MS = 10_000;
const RUN_MS = 300;
/** The scheduling interval, in milliseconds. */
const INTERVAL_MS = 25;
/** No part of a prompt is blocked. */
const NO_BLOCKED_PARTS = {
  protocol: {readRequest: () => ({sharedParts: []})},
  promptSuspects: {blockedParts: () => []},
};
/** Step of the clock between two looks of a host that runs, in milliseconds. */
const STEP_MS = 500;
/** Enough calls for the list of jobs to contain a whole interval. */
const LOOKS_PER_STEP = 8;

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

/** Runs a scheduler with one route for {@link RUN_MS} of virtual time. */
async function runScheduler(jobs: readonly OwnedJob[], parts: object) {
  const timers = install();
  const context = {
    clock: SYSTEM_CLOCK,
    log: NO_EVENT_LOG,
    counters: NO_COUNTERS,
    random: seededRandom(1),
    routing: {current: {match: () => ROUTE}, onAdopted: () => {}},
    freshness: {ageMs: 0},
    loads: {onChange: () => {}},
    storeTimeMs: () => 0,
    ...NO_BLOCKED_PARTS,
    ...parts,
  } as unknown as SchedulerContext;
  const scheduler = new BatchScheduler(context, () => jobs);
  scheduler.start();
  await timers.tickAsync(RUN_MS);
  scheduler[Symbol.dispose]();
  timers.uninstall();
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
      return FULL;
    },
  };
  await runScheduler(jobs, {placement});
  return counts;
}

// An urgent item became late although targets had slots for it: a relaxed item
// with less remaining time found no slot outside the share reserved for urgent
// items, and the scheduler then skipped the route for both.
test.serial('a relaxed item does not hold back an urgent one', async t => {
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
test.serial(
  'a full route is skipped longer if placement asks another host',
  async t => {
    const local = await countPlacementAttempts(
      [jobDueIn('one', GOAL_MS)],
      false,
    );
    const coordinated = await countPlacementAttempts(
      [jobDueIn('one', GOAL_MS)],
      true,
    );
    t.true(
      local.relaxed > coordinated.relaxed * 1.5,
      `${local.relaxed} ${coordinated.relaxed}`,
    );
  },
);

// Guards against items that are not started although targets have free slots:
// those with a higher priority wait for other targets than those that failed
// them.
test.serial(
  'failed items that find no other target do not hold back others',
  async t => {
    const failed = ['f1', 'f2', 'f3', 'f4'].map(id => {
      const job = jobDueIn(id, GOAL_MS, GOAL_MS / 8);
      job.work[0]!.failedTargets = ['failing'];
      return job;
    });
    const counts = {failed: 0, others: 0};
    const placement = {
      usesPeerCoordinator: false,
      forItem: async (
        service: string,
        pressure: BatchPressure,
        avoided: ReadonlySet<string>,
      ) => {
        counts[avoided.has('failing') ? 'failed' : 'others']++;
        return FULL;
      },
    };
    const chooser = {available: () => ['failing', 'full']};
    await runScheduler([...failed, jobDueIn('other', GOAL_MS)], {
      placement,
      chooser,
    });
    t.true(counts.failed > 0 && counts.others > 0, JSON.stringify(counts));
  },
);

// Guards against an item that is given up because only urgent ones find a slot.
test.serial(
  'an item of a neglected job is placed as an urgent one',
  async t => {
    const late = jobDueIn('late', -GOAL_MS);
    const adoptedAtMs = SYSTEM_CLOCK.now() - GOAL_MS;
    const neglected = Object.assign(late, {adoptedAtMs});
    const asked: string[] = [];
    const placement = {
      usesPeerCoordinator: false,
      forItem: async (service: string, pressure: BatchPressure) => {
        asked.push(pressure);
        return FULL;
      },
    };
    await runScheduler([neglected], {placement});
    t.deepEqual(new Set(asked), new Set(['pressed']));
  },
);

/** A scheduler without targets, whose clock and routes the test sets. */
class RouteFixture implements Disposable {
  nowMs = 0;
  /** Age of what the host knows of the configuration, in milliseconds. */
  configAgeMs = 0;
  jobs: readonly OwnedJob[] = [];
  readonly failedJobs: string[] = [];
  private readonly freshness = {ageMs: 0};
  private readonly listeners: Array<() => void> = [];
  private readonly routing = {
    row: {table: 'op', partition: '', key: 'config', version: 1},
    current: undefined as
      | {readonly table: {readonly version: number}; match: () => unknown}
      | undefined,
    onAdopted: (listener: () => void) => void this.listeners.push(listener),
  };
  private readonly scheduler: BatchScheduler;
  private looks = 0;

  constructor() {
    const context = {
      freshness: this.freshness,
      log: NO_EVENT_LOG,
      counters: NO_COUNTERS,
      directory: {get: () => undefined},
      clock: {...SYSTEM_CLOCK, now: () => this.nowMs},
      random: seededRandom(1),
      placement: {forItem: async () => FULL},
      routing: this.routing,
      loads: {onChange: () => {}},
      storeTimeMs: () => 0,
      ...NO_BLOCKED_PARTS,
    } as unknown as SchedulerContext;
    this.scheduler = new BatchScheduler(context, () => {
      this.looks++;
      return this.jobs;
    });
    this.scheduler.start();
  }

  /** Adopts a configuration with or without the route of all items. */
  adopt(hasRoute: boolean): void {
    this.routing.current = {
      table: {version: 1},
      match: () => (hasRoute ? ROUTE : undefined),
    };
    for (const listener of this.listeners) listener();
  }

  /** Creates a waiting item of a job that records its failure. */
  job(id: string): OwnedJob {
    const giveUp = () => {
      if (!this.failedJobs.includes(id)) this.failedJobs.push(id);
    };
    return Object.assign(jobDueIn(id, Infinity), {giveUp});
  }

  /** Lets the scheduler look at its items again and again up to a time. */
  async runTo(nowMs: number): Promise<void> {
    while (this.nowMs < nowMs)
      await this.wakeAt(Math.min(this.nowMs + STEP_MS, nowMs));
    await this.wakeAt(nowMs);
  }

  /** Lets the scheduler look at its items at a time, and not before it. */
  async wakeAt(nowMs: number): Promise<void> {
    this.nowMs = nowMs;
    this.freshness.ageMs = this.configAgeMs;
    const until = this.looks + LOOKS_PER_STEP;
    while (this.looks < until) await setTimeout(INTERVAL_MS / 5);
  }

  [Symbol.dispose](): void {
    this.scheduler[Symbol.dispose]();
  }
}

test('an item fails once its route has been missing for five seconds', async t => {
  using fixture = new RouteFixture();
  fixture.jobs = [fixture.job('one')];
  fixture.adopt(false);
  await fixture.runTo(0);
  await fixture.runTo(4900);
  t.deepEqual(fixture.failedJobs, []);
  await fixture.runTo(5100);
  t.deepEqual(fixture.failedJobs, ['one']);
});

// Guards against items that are given up by a host that has just started: it
// takes jobs over before it has any configuration, and no route is known then.
test('no item fails for its route while there is no configuration', async t => {
  using fixture = new RouteFixture();
  fixture.jobs = [fixture.job('one')];
  await fixture.runTo(0);
  await fixture.runTo(60_000);
  t.deepEqual(fixture.failedJobs, []);
});

// Guards against an item that is given up at once when its route is missing a
// second time: the route came back while the item was running, and the time
// still counted from the first time.
test('a route that came back has to be missing for five seconds again', async t => {
  using fixture = new RouteFixture();
  const job = fixture.job('one');
  const [work] = job.work;
  fixture.jobs = [job];
  fixture.adopt(false);
  await fixture.runTo(0);
  const {stage} = work!;
  work!.stage = {kind: 'recording'};
  fixture.adopt(true);
  await fixture.runTo(1000);
  fixture.adopt(false);
  work!.stage = stage;
  await fixture.runTo(5900);
  t.deepEqual(fixture.failedJobs, []);
  await fixture.runTo(6600);
  t.deepEqual(fixture.failedJobs, ['one']);
});

// Guards against items of a new job that are given up at once: the time counted
// from the first item with the same path, whose job had been cancelled. The
// configuration with the route of the new job may still be on its way.
test('the time without a route counts for each item apart', async t => {
  using fixture = new RouteFixture();
  fixture.jobs = [fixture.job('one')];
  fixture.adopt(false);
  await fixture.runTo(0);
  fixture.jobs = [];
  await fixture.runTo(1000);
  fixture.jobs = [fixture.job('one')];
  await fixture.runTo(5900);
  t.deepEqual(fixture.failedJobs, []);
  await fixture.runTo(6600);
  t.deepEqual(fixture.failedJobs, ['one']);
});

// Guards against an item that is given up by a host that was stopped for a
// while: it looks at the configuration from before, twice, five seconds apart.
test('time in which a host was stopped does not count as without a route', async t => {
  using fixture = new RouteFixture();
  fixture.jobs = [fixture.job('one')];
  fixture.adopt(false);
  await fixture.runTo(1000);
  await fixture.wakeAt(7000);
  await fixture.runTo(11_500);
  t.deepEqual(fixture.failedJobs, []);
  await fixture.runTo(12_600);
  t.deepEqual(fixture.failedJobs, ['one']);
});

// Guards against an item that is given up under an old configuration: the host
// is cut off from the store, and the route may have been added long ago.
test('time on an old configuration does not count as without a route', async t => {
  using fixture = new RouteFixture();
  fixture.jobs = [fixture.job('one')];
  fixture.adopt(false);
  fixture.configAgeMs = 3000;
  await fixture.runTo(10_000);
  t.deepEqual(fixture.failedJobs, []);
  fixture.configAgeMs = 0;
  await fixture.runTo(14_500);
  t.deepEqual(fixture.failedJobs, []);
  await fixture.runTo(15_600);
  t.deepEqual(fixture.failedJobs, ['one']);
});
