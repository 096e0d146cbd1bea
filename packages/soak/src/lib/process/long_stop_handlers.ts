/**
 * Planned stops of several programs one after the other, while each caller uses
 * one connection until it is gone, for requests that last as long as their routes
 * allow.
 */
import {seededRandom, sleep, SYSTEM_CLOCK, type Random} from '@oathead/core';
import {SingleConnection} from '@oathead/platform/stand_ins';
import {EVENTS} from '../request/expected_text.js';
import {LONG_ROUTES, type LongKind} from '../request/long_kinds.js';
import type {FaultCall} from './fault_call.js';
import type {ProgramPlace, SoakFleet} from './soak_fleet.js';

/** A planned stop with nothing else wrong. */
export interface LongStop {
  readonly pid: number;
  /** When its process was told to stop first, on the time of day in
   * milliseconds. */
  readonly stoppedAt: number;
}

/** One stop of a series. */
interface StopPlan {
  readonly place: ProgramPlace;
  /** Draws what its callers do. */
  readonly callerSeed: number;
  readonly signalPausesMs: readonly number[];
  /** Whether the next program is told to stop while this one starts. */
  readonly isFollowedAtOnce: boolean;
}

/** A caller's connection, and the program to which it leads. */
interface CallerLine extends Pick<FaultCall, 'fleet' | 'online' | 'random'> {
  readonly place: ProgramPlace;
  readonly connection: SingleConnection;
}

/** Programs that are stopped in one series. */
const STOPS = {least: 2, most: 4} as const;
/** Callers of each program who ask at once and go on. */
const ASKING = 10;
/** Callers of each program who connect and ask later. */
const WAITING = 10;
/** What callers draw from: few plain requests, for few servers answer them. */
const CALLER_KINDS: readonly LongKind[] = [
  'letters',
  'letters',
  'reports',
  'reports',
  'decisions',
  'lookups',
];
/** Callers begin so long before their program is told to stop, in ms. */
const LEAD_MS = 2500;
/** The last callers that the load balancer sends come so long after the signal, in
 * milliseconds. */
const SENT_AFTER_MS = 2900;
/** In which a connection waits for its first request, in milliseconds. */
const MAX_WAIT_MS = 7500;
/** From a signal to the next callers, who connect to the next program, in ms. */
const NEXT_CALLERS_MS = 5500;
/** Between two signals to one program, in milliseconds. */
const SIGNAL_PAUSE_MS = {least: 10, most: 1800} as const;
const SIGNALS = ['SIGTERM', 'SIGHUP', 'SIGTERM', 'SIGHUP'] as const;
/** Shares of a route's time that requests take: of the longest, and of others. */
const LONGEST_SHARE = {least: 0.88, most: 0.96} as const;
const USUAL_SHARE = {least: 0.1, most: 0.88} as const;
/** Between a response and the next request on its connection, in ms. */
const NEXT_REQUEST_MS = {least: 0, most: 30} as const;
const SEEDS = 0x7fffffff;
const BODY_CHUNKS = ['qu', 'est', 'ion'] as const;
/** Between two chunks of a body, in milliseconds. */
const CHUNK_PAUSE_MS = {least: 0, most: 250} as const;

/** Stops programs one after the other; one is still starting when the next one is
 * told to stop, or not. */
export async function stopInSeries(call: FaultCall): Promise<void> {
  const {fleet} = call;
  // Two series at once would leave no program to take callers.
  if (fleet.isStoppingInSeries) return;
  fleet.isStoppingInSeries = true;
  await fleet.openLongRoutes();
  await playSeries(call, seriesOf(call));
  fleet.isStoppingInSeries = false;
}

/** @returns The stops of a series, which the seed decides alone. */
function seriesOf({fleet, random}: FaultCall): readonly StopPlan[] {
  const {programs} = fleet;
  const first = random.int(programs.length);
  const count = Math.min(wholeBetween(random, STOPS), programs.length);
  return Array.from({length: count}, (unused, n) => ({
    place: programs[(first + n) % programs.length]!,
    callerSeed: random.int(SEEDS),
    signalPausesMs: SIGNALS.map(() => wholeBetween(random, SIGNAL_PAUSE_MS)),
    isFollowedAtOnce: random.int(2) === 0,
  }));
}

async function playSeries(
  call: FaultCall,
  plans: readonly StopPlan[],
): Promise<void> {
  const callers = [callProgram(call, plans[0]!)];
  const restarts: Array<Promise<void>> = [];
  await sleep(SYSTEM_CLOCK, LEAD_MS);
  for (const [n, plan] of plans.entries()) {
    const restart = stopOnce(call, plan, restarts);
    const next = plans[n + 1];
    await Promise.race([restart, sleep(SYSTEM_CLOCK, NEXT_CALLERS_MS)]);
    if (next) callers.push(callProgram(call, next));
    await restart;
    if (!plan.isFollowedAtOnce) await fleetIsReady(call.fleet, restarts);
  }
  await Promise.all([...restarts, ...callers]);
}

async function fleetIsReady(
  fleet: SoakFleet,
  restarts: ReadonlyArray<Promise<void>>,
): Promise<void> {
  await Promise.all(restarts);
  await fleet.untilReady();
}

/** Tells a program to stop, again and again; resolves when it has ended, and has
 * begun to start again. */
async function stopOnce(
  {fleet, isAlone}: FaultCall,
  {place, signalPausesMs}: StopPlan,
  restarts: Array<Promise<void>>,
): Promise<void> {
  const {program} = place;
  // Another fault has ended it, and starts it again.
  if (place.ending) return;
  place.ending = true;
  const {pid} = program;
  if (isAlone) fleet.longStops.push({pid, stoppedAt: Date.now()});
  for (const [i, pauseMs] of signalPausesMs.entries()) {
    program.signal(SIGNALS[i]!);
    await sleep(SYSTEM_CLOCK, pauseMs);
  }
  await program.waitForExit();
  restarts.push(fleet.restart(place));
}

/** Resolves when all callers of the program that runs now are gone. */
async function callProgram(
  {fleet, online}: FaultCall,
  {place, callerSeed}: StopPlan,
): Promise<void> {
  const random = seededRandom(callerSeed);
  const {front} = place.program;
  const open = async (afterMs: number, waitMs: number) => {
    await sleep(SYSTEM_CLOCK, afterMs);
    const connection = await connectionTo(front);
    if (!connection) return;
    await using held = connection;
    await sleep(SYSTEM_CLOCK, waitMs);
    await askUntilGone({fleet, online, random, place, connection: held});
  };
  const asking = Array.from({length: ASKING}, () => {
    return open(random.int(LEAD_MS), 0);
  });
  const waiting = Array.from({length: WAITING}, () => {
    return open(random.int(LEAD_MS + SENT_AFTER_MS), random.int(MAX_WAIT_MS));
  });
  await Promise.all([...asking, ...waiting]);
}

/** @returns A connection; undefined if the program accepts none. */
async function connectionTo(
  front: string,
): Promise<SingleConnection | undefined> {
  try {
    return await SingleConnection.open(front);
  } catch {
    // It has stopped listening: the caller has asked nothing.
    return undefined;
  }
}

async function askUntilGone(line: CallerLine): Promise<void> {
  const {fleet, online, random, place, connection} = line;
  const {program} = place;
  const kind = CALLER_KINDS[random.int(CALLER_KINDS.length)]!;
  while (connection.isOpen && !program.hasExited) {
    const path = `/${kind}/${program.pid}-${random.id()}`;
    setDuration(fleet, kind, path, durationMs(random, kind));
    await online.overLine(
      {place, program, dispatcher: connection.dispatcher},
      {kind, key: fleet.key, path},
      random.int(2) === 0 ? chunkedBody(random) : undefined,
    );
    await sleep(SYSTEM_CLOCK, wholeBetween(random, NEXT_REQUEST_MS));
  }
}

function setDuration(
  {servers}: SoakFleet,
  kind: LongKind,
  path: string,
  ms: number,
): void {
  const stepMs = LONG_ROUTES[kind].form === 'stream' ? ms / EVENTS : ms;
  for (const {server} of servers) server.slowPaths.set(path, stepMs);
}

function durationMs(random: Random, kind: LongKind): number {
  const {least, most} = random.int(2) === 0 ? LONGEST_SHARE : USUAL_SHARE;
  const share = least + (most - least) * random.float();
  return LONG_ROUTES[kind].timeoutMs * share;
}

async function* chunkedBody(random: Random): AsyncGenerator<string> {
  for (const chunk of BODY_CHUNKS) {
    yield chunk;
    await sleep(SYSTEM_CLOCK, wholeBetween(random, CHUNK_PAUSE_MS));
  }
}

function wholeBetween(
  random: Random,
  {least, most}: {readonly least: number; readonly most: number},
): number {
  return least + random.int(most - least);
}
