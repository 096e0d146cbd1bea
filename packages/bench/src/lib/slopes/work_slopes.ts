/**
 * Processor time and memory of one entry's own work, measured in this process
 * on the real entry in virtual time: no socket or other process adds to it.
 */
import {
  HEAD_KEY,
  HEAD_ROW,
  MAX_RECENT_JOBS,
  withJob,
} from '@oathead/membership';
import type {Head} from '@oathead/membership';
import {MemoryPlatform} from '@oathead/stores';
import type {Platform} from '@oathead/stores';
import {declareRows} from './declared_rows.js';
import {median, slopeOf} from './slope.js';
import type {Point, Slope} from './slope.js';
import {VirtualFleet} from './virtual_fleet.js';

const US_PER_MS = 1_000;
const REPEATS = 3;
const TICKS = 3;
const SETTLE_MS = 5_000;
const SECOND_MS = 1_000;

/** An entry in a fleet of this size, as far as its own work goes. */
interface TickSize {
  readonly entries: number;
  readonly targets: number;
}

const TICK_SIZES: readonly TickSize[] = [
  {entries: 40, targets: 400},
  {entries: 85, targets: 775},
  {entries: 170, targets: 1_550},
  {entries: 340, targets: 3_100},
];
const RESOURCE_COUNTS = [4_000, 8_000, 16_000, 32_000] as const;
const HEAD_JOBS = [0, 16, 32, MAX_RECENT_JOBS] as const;

/** @returns All slopes of this kind. */
export async function workSlopes(): Promise<readonly Slope[]> {
  return [
    await tickSlope(),
    ...(await configSlopes()),
    headSlope(),
    directorySlope(),
  ];
}

/** What an entry spends a second on knowing which targets are its own. */
export async function tickSlope(): Promise<Slope> {
  const points: Point[] = [];
  for (const size of TICK_SIZES) {
    const y = await tickCpuMs(size);
    points.push({x: (size.entries * size.targets) / 1_000, y});
  }
  return slopeOf(
    'entry.tick',
    'entry: processor time a second, per 1,000 pairs of entry and target in the fleet',
    'ms/s',
    points,
  );
}

async function tickCpuMs({entries, targets}: TickSize): Promise<number> {
  const platform = new MemoryPlatform();
  await declareRows(platform.table, {callers: 0, limits: 0, targets});
  await writeDirectory(platform, entries);
  const fleet = new VirtualFleet(platform);
  fleet.startEntry('entry-x');
  await fleet.clock.advance(SETTLE_MS);
  const samples: number[] = [];
  for (let i = 0; i < REPEATS; i++) {
    const before = process.cpuUsage();
    await fleet.clock.advance(TICKS * SECOND_MS);
    samples.push(cpuMsSince(before) / TICKS);
  }
  fleet.kill('entry-x');
  return median(samples);
}

/** Entries that stand in the directory and never run. */
async function writeDirectory(
  platform: Platform,
  count: number,
): Promise<void> {
  const value = directoryOfSize(count);
  const write = {kind: 'put', key: 'members', value} as const;
  await platform.table.write({checks: [], writes: [write]});
}

function directoryOfSize(count: number) {
  const entry = (i: number) => [
    `hall-a-entry-${i}`,
    {
      address: '10.0.0.1:7410',
      dataCentre: 'hall-a',
      leaving: false,
      boot: '0123456789abcdef',
    },
  ];
  const entries = Array.from({length: count}, (unused, i) => entry(i));
  const share = {owner: 'hall-a-entry-0', epoch: 1};
  const shares = Array.from({length: SHARES}, () => share);
  return {entries: Object.fromEntries(entries), shares, joins: count};
}

const SHARES = 64;

/** Snapshot of the configuration: memory, and one change adopted. */
async function configSlopes(): Promise<readonly Slope[]> {
  const memory: Point[] = [];
  const change: Point[] = [];
  for (const count of RESOURCE_COUNTS) {
    const {heapKb, changeMs} = await configCost(count);
    memory.push({x: count / 1_000, y: heapKb / 1_024});
    change.push({x: count / 1_000, y: changeMs});
  }
  return [
    slopeOf(
      'entry.resource.memory',
      'entry: memory, per 1,000 declared resources (half callers, half limits)',
      'MB',
      memory,
    ),
    slopeOf(
      'entry.change.cpu',
      'entry: processor time of one change adopted, per 1,000 declared resources',
      'ms',
      change,
    ),
  ];
}

async function configCost(
  count: number,
): Promise<{readonly heapKb: number; readonly changeMs: number}> {
  const platform = new MemoryPlatform();
  const half = count / 2;
  await declareRows(platform.table, {callers: half, limits: half, targets: 0});
  const fleet = new VirtualFleet(platform);
  const before = heapBytes();
  fleet.startEntry('entry-x');
  await fleet.clock.advance(SETTLE_MS);
  const heapKb = (heapBytes() - before) / 1_024;
  const samples: number[] = [];
  for (let i = 0; i < REPEATS; i++) {
    const start = process.cpuUsage();
    await fleet.call('entry-x', 'PUT', '/v1/resources/limits/account-1', {
      spec: {requestsPerSecond: i + 1},
    });
    await fleet.clock.advance(SECOND_MS);
    const changed = cpuMsSince(start);
    const idle = process.cpuUsage();
    await fleet.clock.advance(SECOND_MS);
    samples.push(changed - cpuMsSince(idle));
  }
  fleet.kill('entry-x');
  return {heapKb, changeMs: median(samples)};
}

/** Size of the row that every entry reads each second. */
function headSlope(): Slope {
  const points = HEAD_JOBS.map(jobs => {
    let head: Head = {cfg: 1, jobs: 0, recentJobs: [], members: 1, suspects: 0};
    for (let i = 0; i < jobs; i++) head = withJob(head, JOB_PATH);
    return {x: jobs, y: JSON.stringify(HEAD_ROW.encode(head)).length};
  });
  const title = `store: bytes of the row "${HEAD_KEY}", per recent job in it`;
  return slopeOf('head.bytes', title, 'bytes', points);
}

const JOB_PATH = 'account-12345/overnight-2030-01-01-0001';

/** Size of the row that every entry reads when another joins or goes. */
function directorySlope(): Slope {
  const points = [40, 85, 170, 340].map(count => ({
    x: count,
    y: JSON.stringify(directoryOfSize(count)).length,
  }));
  const title = 'store: bytes of the row "members", per entry';
  return slopeOf('members.bytes', title, 'bytes', points);
}

function cpuMsSince(before: NodeJS.CpuUsage): number {
  const {user, system} = process.cpuUsage(before);
  return (user + system) / US_PER_MS;
}

function heapBytes(): number {
  global.gc?.();
  return process.memoryUsage().heapUsed;
}
