/** A fleet in virtual time whose calls to the stores are counted. */
import {MemoryPlatform} from '@oathead/stores';
import {callsOf, countingPlatform, UseCounter} from './counting_platform.js';
import type {StoreUses} from './counting_platform.js';
import {declareRows, targetName} from './declared_rows.js';
import {VirtualFleet} from './virtual_fleet.js';

const MINUTE_MS = 60_000;
const SECOND_MS = 1_000;

const READS = ['read', 'list', 'get'] as const;
const WRITES = ['write', 'put', 'delete'] as const;

/** Calls in a period. */
export interface Calls {
  readonly reads: number;
  readonly writes: number;
  /** Reads of the host list. */
  readonly hosts: number;
}

/** A fleet and what counts its calls. */
export interface CountedFleet {
  readonly fleet: VirtualFleet;
  readonly counter: UseCounter;
}

/**
 * @param entries - How many entries it has.
 * @param targets - How many targets serve its model.
 * @returns The fleet, once its entries share the work.
 */
export async function countedFleet(
  entries: number,
  targets = 0,
): Promise<CountedFleet> {
  const memory = new MemoryPlatform();
  await declareRows(memory.table, {callers: 0, limits: 0, targets});
  const counter = new UseCounter();
  const fleet = new VirtualFleet(countingPlatform(counter, memory));
  for (let i = 0; i < targets; i++) fleet.startTarget(targetName(i));
  await fleet.startEntries(entries);
  counter.take();
  return {fleet, counter};
}

/** @param fleet - A fleet that is done with. */
export function endFleet(fleet: VirtualFleet): void {
  for (const id of [...fleet.entries.keys()]) fleet.kill(id);
}

/**
 * @param uses - What was counted.
 * @returns All calls in it.
 */
export function totalCalls(uses: StoreUses): Calls {
  return {
    reads: callsOf(uses, ...READS),
    writes: callsOf(uses, ...WRITES),
    hosts: callsOf(uses, 'hosts'),
  };
}

/**
 * @param counted - A fleet.
 * @param task - What adds calls.
 * @returns What a task adds to the calls of an idle minute.
 */
export async function extraCalls(
  {fleet, counter}: CountedFleet,
  task: () => Promise<void>,
): Promise<Calls> {
  counter.take();
  await fleet.clock.advance(MINUTE_MS);
  const idle = totalCalls(counter.take());
  const startedAt = fleet.clock.now();
  await task();
  await fleet.clock.advance(MINUTE_MS);
  const minutes = (fleet.clock.now() - startedAt) / MINUTE_MS;
  const busy = totalCalls(counter.take());
  return {
    reads: busy.reads - idle.reads * minutes,
    writes: busy.writes - idle.writes * minutes,
    hosts: busy.hosts - idle.hosts * minutes,
  };
}

/** What a disturbance adds, over what the fleet has when it is over. */
export interface Disturbance {
  readonly reads: number;
  readonly writes: number;
  /** Of all calls, in one second. */
  readonly busiestReads: number;
  readonly busiestWrites: number;
}

/**
 * Counts a disturbance second by second, without renewals and the one poll a
 * second of each entry that is up: entries that are gone count as no savings.
 *
 * @param counted - A fleet.
 * @param seconds - How long to look.
 * @param upAt - How many entries poll the store in a second.
 * @returns What it adds.
 */
export async function disturbance(
  {fleet, counter}: CountedFleet,
  seconds: number,
  upAt: (second: number) => number,
): Promise<Disturbance> {
  counter.take();
  let reads = 0;
  let writes = 0;
  let busiestReads = 0;
  let busiestWrites = 0;
  for (let second = 0; second < seconds; second++) {
    await fleet.clock.advance(SECOND_MS);
    const uses = counter.take();
    const calls = totalCalls(uses);
    const renewals = uses.get(RENEWAL)?.calls ?? 0;
    reads += calls.reads - upAt(second);
    writes += calls.writes - renewals;
    busiestReads = Math.max(busiestReads, calls.reads);
    busiestWrites = Math.max(busiestWrites, calls.writes);
  }
  return {reads, writes, busiestReads, busiestWrites};
}

/** A transaction whose first row is an entry's lease. */
const RENEWAL = 'write entry';
