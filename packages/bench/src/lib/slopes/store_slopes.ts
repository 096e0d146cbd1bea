/**
 * Reads and writes of the stores, counted under the real code of the entries in
 * virtual time.
 */
import {
  countedFleet,
  endFleet,
  extraCalls,
  totalCalls,
} from './counted_fleet.js';
import {slopeOf} from './slope.js';
import type {Point, Slope} from './slope.js';
import {BENCH_MODEL} from './virtual_fleet.js';
import type {VirtualFleet} from './virtual_fleet.js';

const FLEETS = [4, 8, 16, 32] as const;
const MINUTE_MS = 60_000;
const MINUTE_S = 60;
const CHANGES = 10;
const TARGETS = 4;

/** @returns All slopes of this kind. */
export async function storeSlopes(): Promise<readonly Slope[]> {
  return [
    ...(await idleSlopes()),
    ...(await changeSlopes()),
    ...(await keyedSlopes()),
    ...(await jobSlopes()),
  ];
}

/** Renewals, head polls, looks at neighbours' leases, the host list. */
async function idleSlopes(): Promise<readonly Slope[]> {
  const reads: Point[] = [];
  const writes: Point[] = [];
  const hosts: Point[] = [];
  for (const entries of FLEETS) {
    const {fleet, counter} = await countedFleet(entries);
    await fleet.clock.advance(MINUTE_MS);
    const calls = totalCalls(counter.take());
    reads.push({x: entries, y: calls.reads / MINUTE_S});
    writes.push({x: entries, y: calls.writes / MINUTE_S});
    hosts.push({x: entries, y: calls.hosts / MINUTE_S});
    endFleet(fleet);
  }
  return [
    slopeOf(
      'store.idle.reads',
      'table: reads a second, per entry (head polls, leases of neighbours with them)',
      'reads/s',
      reads,
    ),
    slopeOf(
      'store.idle.writes',
      'table: writes a second, per entry (lease renewals)',
      'writes/s',
      writes,
    ),
    slopeOf(
      'store.idle.hosts',
      'host list: reads a second, per entry',
      'reads/s',
      hosts,
    ),
  ];
}

/** One configuration change: its transaction, and each entry's pull of it. */
async function changeSlopes(): Promise<readonly Slope[]> {
  const reads: Point[] = [];
  const writes: Point[] = [];
  for (const entries of FLEETS) {
    const counted = await countedFleet(entries);
    const calls = await extraCalls(counted, () => changeMany(counted.fleet));
    reads.push({x: entries, y: calls.reads / CHANGES});
    writes.push({x: entries, y: calls.writes / CHANGES});
    endFleet(counted.fleet);
  }
  return [
    slopeOf(
      'store.change.reads',
      'table: reads of one configuration change, per entry',
      'reads',
      reads,
    ),
    slopeOf(
      'store.change.writes',
      'table: writes of one configuration change, per entry',
      'writes',
      writes,
    ),
  ];
}

async function changeMany(fleet: VirtualFleet): Promise<void> {
  for (let i = 0; i < CHANGES; i++) {
    await fleet.call('entry-0', 'PUT', '/v1/resources/models/m-a', {
      spec: {firstTokenMs: 100 + i},
    });
    await fleet.clock.advance(MINUTE_MS / CHANGES);
  }
}

const KEYED_RATES = [2, 8, 32, 64] as const;
const KEYED_SECONDS = 20;

type KeyedKind = 'idempotent' | 'non-idempotent';

const KEYED_HEADERS: Readonly<
  Record<KeyedKind, Readonly<Record<string, string>>>
> = {
  idempotent: {},
  ['non-idempotent']: {'oathead-idempotent': 'false'},
};

/** Keyed requests a second over four entries that share all keys. */
async function keyedSlopes(): Promise<readonly Slope[]> {
  const slopes: Slope[] = [];
  for (const kind of ['idempotent', 'non-idempotent'] as const) {
    const reads: Point[] = [];
    const writes: Point[] = [];
    for (const rate of KEYED_RATES) {
      const counted = await countedFleet(4, TARGETS);
      const calls = await extraCalls(counted, () =>
        sendKeyed(counted.fleet, rate, kind),
      );
      reads.push({x: rate, y: calls.reads / KEYED_SECONDS});
      writes.push({x: rate, y: calls.writes / KEYED_SECONDS});
      endFleet(counted.fleet);
    }
    slopes.push(
      slopeOf(
        `store.${kind}.reads`,
        `table and objects: reads a second, per keyed ${kind} request a second (4 entries)`,
        'reads',
        reads,
      ),
      slopeOf(
        `store.${kind}.writes`,
        `table and objects: writes a second, per keyed ${kind} request a second (4 entries)`,
        'writes',
        writes,
      ),
    );
  }
  return slopes;
}

async function sendKeyed(
  fleet: VirtualFleet,
  rate: number,
  kind: KeyedKind,
): Promise<void> {
  const ids = [...fleet.entries.keys()];
  const asked: Promise<number>[] = [];
  for (let i = 0; i < rate * KEYED_SECONDS; i++) {
    const headers = {...KEYED_HEADERS[kind], 'idempotency-key': `k-${i}`};
    const body = {model: BENCH_MODEL, prompt: `[[slow]] ${i}`, max_tokens: 4};
    const id = ids[i % ids.length]!;
    asked.push(fleet.ask(id, 'POST', '/v1/completions', body, headers));
    await fleet.clock.advance(1_000 / rate);
  }
  const statuses = await fleet.clock.until(Promise.all(asked));
  const failed = statuses.filter(status => status !== 200).length;
  if (failed > 0) throw new Error(`${failed} keyed requests failed`);
}

const JOB_ITEMS = [256, 512, 1_024, 2_048] as const;

/** One job of so many items, from its acceptance to its end. */
async function jobSlopes(): Promise<readonly Slope[]> {
  const reads: Point[] = [];
  const writes: Point[] = [];
  for (const items of JOB_ITEMS) {
    const counted = await countedFleet(4, TARGETS);
    const calls = await extraCalls(counted, () => runJob(counted.fleet, items));
    reads.push({x: items / 1_000, y: calls.reads});
    writes.push({x: items / 1_000, y: calls.writes});
    endFleet(counted.fleet);
  }
  return [
    slopeOf(
      'store.job.reads',
      'table and objects: reads of one job, per 1,000 items',
      'reads',
      reads,
    ),
    slopeOf(
      'store.job.writes',
      'table and objects: writes of one job, per 1,000 items',
      'writes',
      writes,
    ),
  ];
}

async function runJob(fleet: VirtualFleet, items: number): Promise<void> {
  const job = {
    id: `job-${items}`,
    items: Array.from({length: items}, (unused, i) => ({
      id: `item-${i}`,
      completion: {
        model: BENCH_MODEL,
        prompt: `[[slow]] ${i}`,
        max_tokens: ITEM_TOKENS,
      },
    })),
  };
  const status = await fleet.call('entry-0', 'POST', '/v1/batch-jobs', job);
  if (status >= 300) throw new Error(`the job was answered with ${status}`);
  await fleet.clock.advance(JOB_MINUTES * MINUTE_MS);
}

const ITEM_TOKENS = 64;
const JOB_MINUTES = 2;
