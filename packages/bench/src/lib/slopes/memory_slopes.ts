/** Memory of what the entry and the target process hold. */
import {sleep} from '@oathead/core';
import {createApiSender} from '@oathead/load';
import type {ApiSender, ApiSenderOptions, SendOutcome} from '@oathead/load';
import {KEEPING_CLOCK, MeasuredFleet} from './measured_fleet.js';
import {slopeOf} from './slope.js';
import type {Point, Slope} from './slope.js';
import {BENCH_KEY, BENCH_MODEL} from './virtual_fleet.js';

const KB = 1_024;
const STREAMS = [0, 40, 80, 160] as const;
const ANSWERS = [0, 500, 1_000, 2_000] as const;
const STREAM_TOKENS = 4_000;
const ANSWER_TOKENS = 32;
const AT_ONCE = 10;
const RAMP_MS = 25;
const SETTLE_MS = 1_500;
const NEVER_MS = 3_600_000;
const NEVER_COUNT = 1_000_000;

/** @returns All slopes of this kind. */
export async function memorySlopes(): Promise<readonly Slope[]> {
  return [...(await openStreams()), ...(await heldAnswers())];
}

interface Held {
  readonly entry: Point;
  readonly target: Point;
}

async function heldNow(fleet: MeasuredFleet, x: number): Promise<Held> {
  await sleep(KEEPING_CLOCK, SETTLE_MS);
  const [entry, target] = [
    await fleet.entry.usage(true),
    await fleet.target.usage(true),
  ];
  return {
    entry: {x, y: entry.heapBytes / KB},
    target: {x, y: target.heapBytes / KB},
  };
}

function heldSlopes(
  id: string,
  what: string,
  held: readonly Held[],
): readonly Slope[] {
  const points = (side: keyof Held) => held.map(point => point[side]);
  return [
    slopeOf(
      `entry.${id}.memory`,
      `entry: heap, per ${what}`,
      'KB',
      points('entry'),
    ),
    slopeOf(
      `target.${id}.memory`,
      `target process: heap, per ${what}`,
      'KB',
      points('target'),
    ),
  ];
}

function senderTo(
  {url}: MeasuredFleet,
  what: Partial<ApiSenderOptions>,
): ApiSender {
  return createApiSender({
    urls: [url],
    key: BENCH_KEY,
    pool: BENCH_MODEL,
    promptTokens: 500,
    maxTokens: ANSWER_TOKENS,
    stream: false,
    ...what,
  });
}

/** Streams of long prompts that go on while they are looked at. */
async function openStreams(): Promise<readonly Slope[]> {
  using fleet = await MeasuredFleet.start({
    peers: 0,
    otherTargets: 0,
    target: true,
    engine: {stepMs: 200, maxSequences: 1_024},
  });
  await using sender = senderTo(fleet, {
    stream: true,
    maxTokens: STREAM_TOKENS,
  });
  const held: Held[] = [];
  const stop = new AbortController();
  const running: Promise<SendOutcome>[] = [];
  for (const wanted of STREAMS) {
    while (running.length < wanted) {
      const {signal} = stop;
      running.push(sender.send(running.length, () => {}, signal));
      await sleep(KEEPING_CLOCK, RAMP_MS);
    }
    held.push(await heldNow(fleet, wanted));
  }
  stop.abort();
  const ended = await Promise.all(running);
  const refused = ended.filter(({kind}) => kind === 'refused').length;
  if (refused > 0) throw new Error(`${refused} streams were refused`);
  return heldSlopes('stream', 'open stream (500 prompt tokens)', held);
}

/** Keyed answers that are not written, so both processes hold them. */
async function heldAnswers(): Promise<readonly Slope[]> {
  using fleet = await MeasuredFleet.start({
    peers: 0,
    otherTargets: 0,
    target: true,
    engine: {stepMs: 5, maxSequences: 512},
    flushMs: NEVER_MS,
    flushCount: NEVER_COUNT,
  });
  await using sender = senderTo(fleet, {keyPrefix: 'held'});
  const held: Held[] = [];
  let next = 0;
  for (const wanted of ANSWERS) {
    while (next < wanted) {
      const batch = Array.from({length: AT_ONCE}, () =>
        sender.send(next++, () => {}, new AbortController().signal),
      );
      const refused = (await Promise.all(batch)).filter(
        ({kind}) => kind !== 'done',
      ).length;
      if (refused > 0) throw new Error(`${refused} answers failed`);
    }
    held.push(await heldNow(fleet, wanted));
  }
  const what = `held keyed answer (500 prompt, ${ANSWER_TOKENS} answer tokens)`;
  return heldSlopes('answer', what, held);
}
