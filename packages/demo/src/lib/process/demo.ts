/** The demo: a small fleet answers a request and runs a batch job. */
import {SYSTEM_CLOCK, sleep} from '@oathead/core';
import Table from 'cli-table3';
import {EventSourceParserStream} from 'eventsource-parser/stream';
import {fetch, request} from 'undici';
import {DEMO_KEYS, DEMO_POOLS, startLocalFleet} from './local_fleet.js';
import type {LocalFleet} from './local_fleet.js';

/** How the demo is run. */
export interface DemoOptions {
  /** Stays up until the process is told to stop. */
  readonly serve: boolean;
  /** Port of the first entry while it stays up. */
  readonly port?: number;
}

const ITEMS = 200;
const IMPOSSIBLE = new Set([17, 99, 180]);
const POLL_MS = 100;
const POLLS = 250;
const JOB = 'night-reviews';

/**
 * Runs the demo.
 *
 * @param options - Whether it stays up.
 * @returns An exit code: 0 when everything came out as it should.
 */
export async function runDemo(options: DemoOptions): Promise<number> {
  const fleet = await startLocalFleet({
    entries: 2,
    modelTargets: 2,
    serviceTargets: 1,
    ...(options.port === undefined ? {} : {port: options.port}),
  });
  try {
    if (options.serve) return await serveUntilStopped(fleet);
    return await showAll(fleet);
  } finally {
    await fleet.stop();
  }
}

async function showAll(fleet: LocalFleet): Promise<number> {
  const [first, second] = fleet.urls as readonly [string, string];
  await submit(first);
  print('A streamed answer:\n  ');
  const streamed = await stream(first, text => print(text));
  print('\n\n');
  const call = await callOnce(first, second);
  const results = await jobResults(second);
  const counts = countStates(results);
  const table = new Table({head: ['what', 'outcome']});
  table.push(
    ['streamed answer', streamed ? 'whole' : 'broken'],
    ['service call, sent to both entries', call],
    ['batch items answered', String(counts['done'] ?? 0)],
    ['batch items that can never be completed', String(counts['failed'] ?? 0)],
    ['batch items lost', String(ITEMS - results.length)],
  );
  print(table.toString() + '\n');
  const expected = counts['done'] === ITEMS - IMPOSSIBLE.size;
  return streamed && call === 'ran once' && expected ? 0 : 1;
}

async function stream(
  url: string,
  onText: (text: string) => void,
): Promise<boolean> {
  const res = await fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: headers(),
    body: JSON.stringify({
      model: DEMO_POOLS.model,
      stream: true,
      max_tokens: 24,
      messages: [{role: 'user', content: 'Summarise the file of customer 7.'}],
    }),
  });
  const events = res
    .body!.pipeThrough(new TextDecoderStream())
    .pipeThrough(new EventSourceParserStream());
  for await (const {data} of events) {
    if (data === '[DONE]') return true;
    const part = JSON.parse(data) as StreamPart;
    onText(part.choices?.[0]?.delta.content ?? '');
  }
  return false;
}

interface StreamPart {
  readonly choices?: readonly {readonly delta: {readonly content?: string}}[];
}

/** The same call at the same time through both entries runs once. */
async function callOnce(first: string, second: string): Promise<string> {
  const send = (url: string) =>
    request(`${url}/v1/services/${DEMO_POOLS.service}/decide`, {
      method: 'POST',
      headers: {
        ...headers(),
        'idempotency-key': 'decision-1',
        'oathead-idempotent': 'false',
      },
      body: JSON.stringify({id: 'decision-1'}),
    });
  const answers = await Promise.all([send(first), send(second)]);
  const bodies = await Promise.all(answers.map(res => res.body.text()));
  return bodies[0] === bodies[1] && answers[0].statusCode === 200
    ? 'ran once'
    : `two outcomes: ${bodies.join(' and ')}`;
}

async function submit(url: string): Promise<void> {
  const items = [...Array(ITEMS).keys()].map(i => ({
    id: `item-${i}`,
    completion: {
      model: DEMO_POOLS.model,
      max_tokens: 24,
      prompt: `Review file ${i}.${IMPOSSIBLE.has(i) ? ' [[impossible]]' : ''}`,
    },
  }));
  const res = await request(`${url}/v1/batch-jobs`, {
    method: 'POST',
    headers: headers(),
    body: JSON.stringify({id: JOB, items}),
  });
  const text = await res.body.text();
  if (res.statusCode !== 202) throw new Error(text);
}

interface ResultLine {
  readonly item: string;
  readonly state: string;
}

/** The other entry gives the results: none is kept at one entry alone. */
async function jobResults(url: string): Promise<readonly ResultLine[]> {
  for (let i = 0; i < POLLS; i++) {
    const res = await request(`${url}/v1/batch-jobs/${JOB}`, {
      headers: headers(),
    });
    const job = (await res.body.json()) as {readonly state?: string};
    if (job.state === 'done') break;
    await sleep(SYSTEM_CLOCK, POLL_MS);
  }
  const res = await request(`${url}/v1/batch-jobs/${JOB}/results`, {
    headers: headers(),
  });
  const lines = (await res.body.text()).trim().split('\n');
  return lines.map(line => JSON.parse(line) as ResultLine);
}

function countStates(
  results: readonly ResultLine[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const {state} of results) counts[state] = (counts[state] ?? 0) + 1;
  return counts;
}

async function serveUntilStopped({urls}: LocalFleet): Promise<number> {
  print(`entries: ${urls.join(' ')}\n`);
  print(`operator key: ${DEMO_KEYS.operator}\n`);
  print(`caller key: ${DEMO_KEYS.caller}\n`);
  await new Promise<void>(resolve => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });
  return 0;
}

function headers(): Readonly<Record<string, string>> {
  return {
    authorization: `Bearer ${DEMO_KEYS.caller}`,
    'content-type': 'application/json',
  };
}

function print(text: string): void {
  process.stdout.write(text);
}
