/** One run of the soak: load, faults that overlap, planned changes in the calm
 * that follows, and the promises. */
import {repeat, seededRandom, sleep, SYSTEM_CLOCK} from '@oathead/core';
import {AccountLoad} from '../request/account_load.js';
import {BatchLoad} from '../request/batch_load.js';
import {OnlineLoad, type OnlineKind} from '../request/online_load.js';
import {makeCalmChanges} from './calm_changes.js';
import type {FaultCall} from './fault_call.js';
import {FAULT_HANDLERS} from './fault_handlers.js';
import type {Evidence} from './evidence.js';
import {LOAD_SHAPES, type LoadShape} from './load_shape.js';
import {PROMISES} from './promises.js';
import {ACCOUNT, accountOf} from './soak_accounts.js';
import {SoakFleet} from './soak_fleet.js';
import {storedHeads} from './stored_heads.js';
import {takeUpFigures, type TakeUpFigures} from './take_up_promises.js';
import {
  DEFAULT_FAULT_KINDS,
  LONG_TAKE_UP_FAULT_KINDS,
  planFaults,
  TAKE_UP_FAULT_KINDS,
  type FaultKind,
  type PlannedFault,
  type SoakOptions,
} from './soak_plan.js';

/** A promise that was broken. */
export interface Violation {
  readonly promise: string;
  readonly found: readonly string[];
}

/** What a run came to. */
export interface SoakReport {
  readonly options: SoakOptions;
  readonly faults: readonly PlannedFault[];
  /** Online requests by status, and by kind or flooded account. */
  readonly requests: Readonly<Record<string, number>>;
  readonly jobs: {readonly accepted: number; readonly ended: number};
  /** Of each time in which streams were taken up with nothing else wrong. */
  readonly takeUps: readonly TakeUpFigures[];
  readonly violations: readonly Violation[];
  /** What callers saw of each job, with its row in the store as it was at the
   * end, if a promise was broken. */
  readonly jobRecords: readonly object[];
  /** What each program has written, if a promise was broken. */
  readonly logs: Readonly<Record<string, string>>;
}

/** What faults strike. */
type Struck = Pick<FaultCall, 'fleet' | 'online' | 'isAlone'>;

/** After the last fault all programs are to serve again, in milliseconds. */
const CALM_MS = 6000;
/** For the items that are left when the load ends, in milliseconds. */
/** How often callers get another key, in milliseconds: several times while a key that
 * was taken away may still be served. */
const ROTATE_MS = 3000;
const FINISH_MS = 20_000;
const READ_PAUSE_MS = 100;
/** What comes last, by itself, in runs that have it. */
const LAST_KINDS: readonly FaultKind[] = [
  'owner-kill-deaf-feeds',
  'bad-part',
  'bad-part-slow',
  'poison-request',
  'poison-beside-bad-part',
  ...TAKE_UP_FAULT_KINDS,
  ...LONG_TAKE_UP_FAULT_KINDS,
  'program-stops-long',
];
/** Requests to each program in the calm at the end. */
const LAST_REQUESTS = 20;
/** One in ten may fail in the calm: a share that no fault explains. */
const LAST_SHARE = 0.9;

/**
 * @param options - Seed, time and size.
 * @returns What it came to; all processes have ended.
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const load: LoadShape = LOAD_SHAPES[options.load ?? 'steady'];
  await using fleet = new SoakFleet(load);
  await fleet.start(options.programs, options.engines);
  const random = seededRandom(options.seed + 1);
  const online = new OnlineLoad(fleet, random, load);
  const batch = new BatchLoad(fleet, random, load);
  const accounts = new AccountLoad(fleet, online);
  const faults = planFaults(options);
  online.start();
  accounts.start();
  batch.start();
  const rotation = repeat(SYSTEM_CLOCK, ROTATE_MS, () => fleet.rotateKey());
  const arePlanned = faults.every(({kind}) => kind === 'program-stops-long');
  const alone = {fleet, online, isAlone: true};
  await strike({...alone, isAlone: arePlanned}, faults);
  rotation[Symbol.dispose]();
  await strikeLast(alone, options);
  await accounts.stop();
  await sleep(SYSTEM_CLOCK, CALM_MS);
  const calm = await makeCalmChanges({...alone, random});
  await batch.finish();
  await online.stop();
  const loadEndedAt = Date.now();
  await readAll(batch);
  const last = await lastRequests(fleet, online);
  const evidence: Evidence = {
    fleet,
    online: online.records,
    jobs: batch.jobs,
    calm,
    loadEndedAt,
    endedAt: Date.now(),
  };
  const violations = [...violationsOf(evidence), ...last];
  return {
    options,
    faults,
    requests: countsOf(evidence),
    jobs: {
      accepted: batch.jobs.filter(job => job.acceptedAt !== undefined).length,
      ended: batch.jobs.filter(job => job.endedAt !== undefined).length,
    },
    takeUps: takeUpFigures(evidence),
    violations,
    jobRecords: violations.length > 0 ? await jobRecords(fleet, batch) : [],
    logs: violations.length > 0 ? logsOf(fleet) : {},
  };
}

/** Brings all faults about, each at its time, and waits until all are undone. */
async function strike(
  struck: Struck,
  faults: readonly PlannedFault[],
): Promise<void> {
  const startedAt = SYSTEM_CLOCK.now();
  const undone: Array<Promise<void>> = [];
  for (const {kind, atMs, forMs, seed} of faults) {
    const waitMs = startedAt + atMs - SYSTEM_CLOCK.now();
    await sleep(SYSTEM_CLOCK, Math.max(0, waitMs));
    undone.push(bringAbout(struck, {kind, forMs, seed}));
  }
  await Promise.all(undone);
}

/** Has hosts miss an accepted job, with no fault to follow that would have them
 * read all jobs again. */
async function strikeLast(
  struck: Struck,
  {kinds = DEFAULT_FAULT_KINDS, seed}: SoakOptions,
): Promise<void> {
  for (const kind of LAST_KINDS) {
    if (!kinds.includes(kind)) continue;
    await struck.fleet.untilReady();
    await bringAbout(struck, {kind, forMs: 0, seed});
  }
}

function bringAbout(
  struck: Struck,
  {kind, forMs, seed}: Omit<PlannedFault, 'atMs'>,
): Promise<void> {
  const random = seededRandom(seed);
  const {fleet} = struck;
  const fault = FAULT_HANDLERS[kind]({...struck, random, forMs});
  void fleet.disturbances.during(fault.then(() => fleet.untilReady()));
  return fault;
}

async function readAll(batch: BatchLoad): Promise<void> {
  const until = Date.now() + FINISH_MS;
  while (batch.unfinished().length > 0 && Date.now() < until) {
    for (const job of batch.unfinished()) await batch.read(job);
    await sleep(SYSTEM_CLOCK, READ_PAUSE_MS);
  }
  await batch.readEverywhere();
}

async function lastRequests(
  fleet: SoakFleet,
  online: OnlineLoad,
): Promise<readonly Violation[]> {
  const kinds: readonly OnlineKind[] = ['notes', 'flags', 'limits', 'extra'];
  const found: string[] = [];
  for (const place of fleet.programs) {
    let served = 0;
    for (let i = 0; i < LAST_REQUESTS; i++) {
      const record = await online.once(place, kinds[i % kinds.length]!);
      if (record.status === 200) served++;
    }
    if (served < LAST_REQUESTS * LAST_SHARE)
      found.push(`${place.name} served ${served} of ${LAST_REQUESTS}`);
  }
  const promise = 'all programs serve again after the faults';
  return found.length > 0 ? [{promise, found}] : [];
}

function violationsOf(evidence: Evidence): readonly Violation[] {
  return Object.entries(PROMISES).flatMap(([promise, check]) => {
    const found = check(evidence);
    return found.length > 0 ? [{promise, found}] : [];
  });
}

function countsOf({online}: Evidence): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const {key, kind, status, failure} of online) {
    const account = accountOf(key);
    const of = account === ACCOUNT ? kind : account;
    const name = `${of} ${status ?? failure}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

async function jobRecords(
  fleet: SoakFleet,
  {jobs}: BatchLoad,
): Promise<readonly object[]> {
  const heads = await storedHeads(fleet.store);
  return jobs.map(job => ({...job, head: heads.get(job.id)}));
}

function logsOf(fleet: SoakFleet): Readonly<Record<string, string>> {
  const texts = fleet.programs.map(
    ({name, program}) => [name, program.text] as const,
  );
  return Object.fromEntries([...fleet.formerLogs, ...texts]);
}
