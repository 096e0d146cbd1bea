/**
 * Processor time, memory and bytes of the entry and the target process, each
 * measured alone in a process on loopback.
 */
import {sleep} from '@oathead/core';
import {createApiSender, poissonArrivals, runLoad} from '@oathead/load';
import type {ApiSenderOptions, LoadRecorder} from '@oathead/load';
import type {EngineSpec} from './host_protocol.js';
import {KEEPING_CLOCK, MeasuredFleet, spentBetween} from './measured_fleet.js';
import type {FleetSpec, Spent} from './measured_fleet.js';
import {median, slopeOf} from './slope.js';
import type {Point, Slope} from './slope.js';
import {BENCH_KEY, BENCH_MODEL} from './virtual_fleet.js';

const SETTLE_MS = 1_500;
const WINDOW_MS = 2_500;
const REPEATS = 2;
const LOAD_S = 3;
const DRAIN_MS = 20_000;
/** A busy machine refuses a few; more would not measure requests. */
const ENOUGH_DONE = 0.98;

/** So fast that requests do not wait for the engine. */
export const QUICK_ENGINE: EngineSpec = {stepMs: 5, maxSequences: 512};

/** Values of both measured processes at one size. */
export interface Sample {
  readonly x: number;
  readonly entry: Spent;
  readonly target: Spent;
}

/** What is measured while a fleet does something. */
export async function sampleDuring(
  fleet: MeasuredFleet,
  x: number,
  task: () => Promise<unknown>,
): Promise<Sample> {
  const before = await bothUsages(fleet);
  await task();
  const after = await bothUsages(fleet);
  return {
    x,
    entry: spentBetween(before[0], after[0]),
    target: spentBetween(before[1], after[1]),
  };
}

async function bothUsages(fleet: MeasuredFleet) {
  return [await fleet.entry.usage(), await fleet.target.usage()] as const;
}

/**
 * @param fleet - A fleet with nothing to do.
 * @param x - Its size.
 * @returns Several windows.
 */
export async function idleSamples(
  fleet: MeasuredFleet,
  x: number,
): Promise<readonly Sample[]> {
  await sleep(KEEPING_CLOCK, SETTLE_MS);
  const samples: Sample[] = [];
  for (let i = 0; i < REPEATS; i++) {
    samples.push(
      await sampleDuring(fleet, x, () => sleep(KEEPING_CLOCK, WINDOW_MS)),
    );
  }
  return samples;
}

/**
 * @param samples - Windows at one size.
 * @param of - Which value.
 * @returns Its median.
 */
export function pointOf(
  samples: readonly Sample[],
  of: (sample: Sample) => number,
): Point {
  return {x: samples[0]!.x, y: median(samples.map(of))};
}

/**
 * Sends a load to the measured entry.
 *
 * @param fleet - The fleet.
 * @param rate - Requests a second.
 * @param what - What is sent.
 * @returns What came of it.
 * @throws Error when requests failed: their cost would not be a request's.
 */
export async function sendLoad(
  fleet: MeasuredFleet,
  rate: number,
  what: Partial<ApiSenderOptions>,
): Promise<LoadRecorder> {
  await using sender = createApiSender({
    urls: [fleet.url],
    key: BENCH_KEY,
    pool: BENCH_MODEL,
    promptTokens: 16,
    maxTokens: 1,
    stream: false,
    ...what,
  });
  const recorder = await runLoad({
    clock: KEEPING_CLOCK,
    send: sender.send,
    arrivals: poissonArrivals(rate, rate, LOAD_S),
    drainMs: DRAIN_MS,
    signal: new AbortController().signal,
  });
  const {done = 0} = recorder.outcomes;
  if (done < recorder.sent * ENOUGH_DONE) {
    throw new Error(`outcomes: ${JSON.stringify(recorder.outcomes)}`);
  }
  return recorder;
}

const ONE_TARGET: FleetSpec = {
  peers: 0,
  otherTargets: 0,
  target: true,
  engine: QUICK_ENGINE,
};

const REQUEST_RATES = [10, 20, 40, 80] as const;
const TOKENS = [8, 32, 64] as const;
const TOKEN_RATE = 10;

/** @returns Costs of requests and tokens. */
export async function requestSlopes(): Promise<readonly Slope[]> {
  using fleet = await MeasuredFleet.start(ONE_TARGET);
  await sendLoad(fleet, REQUEST_RATES[1], {});
  const plain = await byRate(fleet, {});
  const keyed = await byRate(fleet, {keyPrefix: 'k'});
  const tokens = await byTokens(fleet);
  return [
    ...cpuSlopes('request', 'whole request of one token', plain),
    ...cpuSlopes('keyed', 'keyed whole request of one token', keyed),
    ...cpuSlopes('token', 'streamed token', tokens),
  ];
}

/** Total processor time at several counts of requests. */
async function byRate(
  fleet: MeasuredFleet,
  what: Partial<ApiSenderOptions>,
): Promise<readonly (readonly Sample[])[]> {
  const all: (readonly Sample[])[] = [];
  for (const rate of REQUEST_RATES) {
    const samples: Sample[] = [];
    for (let i = 0; i < REPEATS; i++) {
      let sent = 0;
      const {keyPrefix} = what;
      const load = {
        ...what,
        ...(keyPrefix ? {keyPrefix: `${keyPrefix}-${rate}-${i}`} : {}),
      };
      const sample = await sampleDuring(fleet, rate, async () => {
        sent = doneOf(await sendLoad(fleet, rate, load));
      });
      samples.push({...sample, x: sent});
    }
    all.push(samples);
  }
  return all;
}

async function byTokens(
  fleet: MeasuredFleet,
): Promise<readonly (readonly Sample[])[]> {
  const all: (readonly Sample[])[] = [];
  for (const maxTokens of TOKENS) {
    const samples: Sample[] = [];
    for (let i = 0; i < REPEATS; i++) {
      let sent = 0;
      const sample = await sampleDuring(fleet, maxTokens, async () => {
        const load = {maxTokens, stream: true};
        sent = doneOf(await sendLoad(fleet, TOKEN_RATE, load));
      });
      samples.push({...sample, x: sent * maxTokens});
    }
    all.push(samples);
  }
  return all;
}

function doneOf({outcomes}: LoadRecorder): number {
  return outcomes['done'] ?? 0;
}

function cpuSlopes(
  id: string,
  what: string,
  all: readonly (readonly Sample[])[],
): readonly Slope[] {
  const points = (of: (sample: Sample) => number) =>
    all.map(samples => pointOf(samples, of));
  return [
    slopeOf(
      `entry.${id}.cpu`,
      `entry: processor time, per ${what}`,
      'ms',
      points(({entry}) => entry.cpuMs),
    ),
    slopeOf(
      `target.${id}.cpu`,
      `target process: processor time, per ${what}`,
      'ms',
      points(({target}) => target.cpuMs),
    ),
  ];
}
