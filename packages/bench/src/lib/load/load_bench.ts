/**
 * Online load on real processes: past the system, through it, and through it
 * with a batch job beside.
 */
import {
  createApiSender,
  loadReport,
  poissonArrivals,
  runLoad,
  startBatchBeside,
} from '@oathead/load';
import type {ApiSender, LoadReport} from '@oathead/load';
import {KEEPING_CLOCK} from '../slopes/measured_fleet.js';
import {median} from '../slopes/slope.js';
import {markdownTable} from '../slopes/slopes_text.js';
import type {Binary} from './binary.js';
import {createEngineSender} from './engine_sender.js';
import {FLEET_KEY, FLEET_MODEL, startProcessFleet} from './process_fleet.js';
import type {ProcessFleet} from './process_fleet.js';

const RATE = 8;
const SECONDS = 10;
const REPEATS = 3;
const PROMPT_TOKENS = 128;
const MAX_TOKENS = 64;
const BATCH_ITEMS = 4_000;
const DRAIN_MS = 20_000;

/** Ways of sending the same load. */
export type Way = 'direct' | 'alone' | 'withBatch';

/** One run of the load. */
export interface LoadRun {
  readonly way: Way;
  readonly report: LoadReport;
  /** Batch items done meanwhile. */
  readonly batchDone: number;
  readonly entryCpuMs: number;
  readonly targetCpuMs: number;
}

/** What a bench has come to. */
export interface LoadBench {
  readonly runs: readonly LoadRun[];
  readonly entryStartMs: number;
  readonly targetStartMs: number;
  readonly entryPeakMb: number;
  readonly targetPeakMb: number;
}

/**
 * @param nodeArgs - Arguments of Node for entries and targets.
 * @returns What was measured.
 */
export async function runLoadBench(
  nodeArgs: readonly string[] = [],
): Promise<LoadBench> {
  await using fleet = await startProcessFleet(nodeArgs);
  const runs: LoadRun[] = [];
  for (let i = 0; i < REPEATS; i++) {
    for (const way of ['direct', 'alone', 'withBatch'] as const) {
      runs.push(await runWay(fleet, way, i));
    }
  }
  const peak = (list: readonly Binary[]) =>
    median(list.map(child => child.use().peakMb));
  return {
    runs,
    entryStartMs: median(fleet.entryStartMs),
    targetStartMs: median(fleet.targetStartMs),
    entryPeakMb: peak(fleet.entries),
    targetPeakMb: peak(fleet.targets),
  };
}

const SENDERS: Readonly<Record<Way, (fleet: ProcessFleet) => ApiSender>> = {
  direct: ({engineUrls}) =>
    createEngineSender({
      urls: engineUrls,
      model: FLEET_MODEL,
      promptTokens: PROMPT_TOKENS,
      maxTokens: MAX_TOKENS,
    }),
  alone: entrySender,
  withBatch: entrySender,
};

function entrySender({entryUrls}: ProcessFleet): ApiSender {
  return createApiSender({
    urls: entryUrls,
    key: FLEET_KEY,
    pool: FLEET_MODEL,
    promptTokens: PROMPT_TOKENS,
    maxTokens: MAX_TOKENS,
    stream: true,
  });
}

async function runWay(
  fleet: ProcessFleet,
  way: Way,
  seed: number,
): Promise<LoadRun> {
  await using sender = SENDERS[way](fleet);
  const batch =
    way === 'withBatch'
      ? await startBatchBeside({
          url: fleet.entryUrls[0]!,
          key: FLEET_KEY,
          jobId: `beside-${seed}`,
          model: FLEET_MODEL,
          items: BATCH_ITEMS,
          promptTokens: PROMPT_TOKENS,
          maxTokens: MAX_TOKENS,
        })
      : undefined;
  const before = cpuOf(fleet);
  const recorder = await runLoad({
    clock: KEEPING_CLOCK,
    send: sender.send,
    arrivals: poissonArrivals(seed, RATE, SECONDS),
    drainMs: DRAIN_MS,
    signal: new AbortController().signal,
  });
  const after = cpuOf(fleet);
  const batchDone = (await batch?.done()) ?? 0;
  await batch?.cancel();
  const head = {
    pool: FLEET_MODEL,
    requestsPerSecond: RATE,
    seconds: SECONDS,
  };
  return {
    way,
    report: loadReport(head, recorder),
    batchDone,
    entryCpuMs: after.entries - before.entries,
    targetCpuMs: after.targets - before.targets,
  };
}

function cpuOf({entries, targets}: ProcessFleet) {
  const sum = (list: readonly Binary[]) =>
    list.reduce((total, child) => total + child.use().cpuMs, 0);
  return {entries: sum(entries), targets: sum(targets)};
}

/**
 * @param bench - What was measured.
 * @returns Tables in Markdown: medians over the runs.
 */
export function loadBenchText(bench: LoadBench): string {
  const rows = (['direct', 'alone', 'withBatch'] as const).map(way => {
    const runs = bench.runs.filter(run => run.way === way);
    const of = (value: (run: LoadRun) => number) =>
      median(runs.map(value)).toFixed(1);
    return [
      way,
      of(({report}) => msAt(report.firstToken, 0.5)),
      of(({report}) => msAt(report.firstToken, 0.99)),
      of(({report}) => msAt(report.betweenTokens, 0.5)),
      of(({report}) => msAt(report.betweenTokens, 0.99)),
      of(({report}) => report.sent),
      of(({report}) => report.outcomes['done'] ?? 0),
      of(({batchDone}) => batchDone),
      of(({entryCpuMs}) => entryCpuMs),
      of(({targetCpuMs}) => targetCpuMs),
    ];
  });
  const head = [
    'way',
    'first p50 ms',
    'first p99 ms',
    'between p50 ms',
    'between p99 ms',
    'sent',
    'done',
    'batch items',
    'entries cpu ms',
    'targets cpu ms',
  ];
  const {entryStartMs, targetStartMs, entryPeakMb, targetPeakMb} = bench;
  return [
    markdownTable(head, rows),
    '',
    `entry: ready after ${entryStartMs.toFixed(0)} ms, peak ${entryPeakMb.toFixed(0)} MB`,
    `target process: listens after ${targetStartMs.toFixed(0)} ms, peak ${targetPeakMb.toFixed(0)} MB`,
  ].join('\n');
}

function msAt({quantiles}: LoadReport['firstToken'], quantile: number): number {
  return quantiles.find(q => q.quantile === quantile)?.ms ?? 0;
}
