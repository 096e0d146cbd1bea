/**
 * Faults after which nobody may know an accepted job, or hosts may differ on
 * which incarnations are alive: programs are killed together while the store
 * reports nothing, does not respond, or performs writes late.
 */
import {sleep, SYSTEM_CLOCK} from '@oathead/core';
import type {DeafFeedEnd, StoreFault} from '@oathead/platform/stand_ins';
import type {FaultCall} from './fault_call.js';
import type {ProgramPlace} from './soak_fleet.js';

/** Longer than one poll of a feed, in milliseconds. */
const DEAF_MS = 1000;
const DEAF_ENDS: readonly DeafFeedEnd[] = ['cut', 'at-history-start'];
const LATE_SHARES = [0.3, 0.6, 1] as const;
/** Longer than programs need to start again, for the most part, in
 * milliseconds. */
const LATE_MS = {least: 2000, most: 7000} as const;
/** Longer than the interval of heartbeats, in milliseconds. */
const HEARTBEAT_MS = 1200;
/** Until programs that were killed start again, in milliseconds. */
const MAX_DOWN_MS = 1500;
/** For how long a job that is accepted is waited for, in milliseconds. */
const MAX_ACCEPT_MS = 4000;
/** What the store does to a program before all are killed, and after. */
const BEFORE: readonly StoreFault[] = ['silent', 'none', 'none'];
const AFTER_LATE: readonly StoreFault[] = ['late-writes', 'reads-down', 'none'];
const MIXED: readonly StoreFault[] = [
  'silent',
  'late-writes',
  'deaf-feeds',
  'lost-answers',
  'reads-down',
  'none',
];

/** Feeds hear nothing while changes are made, then the history is dropped. */
export async function hearNothing(call: FaultCall): Promise<void> {
  strikeEach(call, ['deaf-feeds']);
  await sleep(SYSTEM_CLOCK, DEAF_MS + call.forMs / 2);
  dropHistory(call);
  strikeEach(call, ['none']);
}

/** The program that accepts a job is killed, and the feeds of the others do not
 * report the job, nor that they have missed something. */
export async function killOwnerUnheard(call: FaultCall): Promise<void> {
  if (call.fleet.onAccepted) return;
  strikeEach(call, ['deaf-feeds']);
  const {restarted} = await killWhenAccepted(call, by => [by]);
  await sleep(SYSTEM_CLOCK, DEAF_MS);
  call.fleet.store.deafFeeds.dropHistory('at-history-start');
  strikeEach(call, ['none']);
  await restarted;
}

/** Writes of ended incarnations are performed after the new ones have started. */
export async function killUnderLateWrites(call: FaultCall): Promise<void> {
  writeLate(call);
  strikeEach(call, ['late-writes']);
  await sleep(SYSTEM_CLOCK, HEARTBEAT_MS);
  const restarted = kill(call, call.fleet.programs);
  const {random, fleet} = call;
  fleet.store.failAll(AFTER_LATE[random.int(AFTER_LATE.length)]!);
  await Promise.all([restarted, sleep(SYSTEM_CLOCK, call.forMs)]);
  strikeEach(call, ['none']);
}

/** Some programs do not reach the store when a job is accepted and all are
 * killed, nor after they have started again. */
export async function killAfterAcceptance(call: FaultCall): Promise<void> {
  strikeEach(call, BEFORE);
  const {restarted} = await killWhenAccepted(call);
  strikeEach(call, BEFORE);
  await Promise.all([restarted, sleep(SYSTEM_CLOCK, call.forMs)]);
  strikeEach(call, ['none']);
}

/** The others at once: each program is struck by another one, before and after. */
export async function killMixed(call: FaultCall): Promise<void> {
  writeLate(call);
  strikeEach(call, MIXED);
  await sleep(SYSTEM_CLOCK, HEARTBEAT_MS);
  const {restarted} = await killWhenAccepted(call);
  strikeEach(call, MIXED);
  await Promise.all([restarted, sleep(SYSTEM_CLOCK, call.forMs)]);
  dropHistory(call);
  strikeEach(call, ['none']);
}

/** Each program's door gets one of the faults. */
function strikeEach(
  {fleet, random}: FaultCall,
  faults: readonly StoreFault[],
): void {
  for (const {door} of fleet.programs)
    door.fault = faults[random.int(faults.length)]!;
}

function writeLate({fleet, random}: FaultCall): void {
  const share = LATE_SHARES[random.int(LATE_SHARES.length)]!;
  const delayMs = LATE_MS.least + random.int(LATE_MS.most - LATE_MS.least);
  for (const {door} of fleet.programs) door.lateWrites = {share, delayMs};
}

function dropHistory({fleet, random}: FaultCall): void {
  const end = DEAF_ENDS[random.int(DEAF_ENDS.length)]!;
  fleet.store.deafFeeds.dropHistory(end);
}

/**
 * Kills programs as soon as the next job is accepted, before its caller does
 * anything else; without one in time they live on.
 *
 * @param call - The fault.
 * @param struck - Which programs, by the one that has accepted it; all by
 *     default.
 * @returns Resolves when they are killed, to what resolves when they are
 *     started.
 */
async function killWhenAccepted(
  call: FaultCall,
  struck: (by: ProgramPlace) => readonly ProgramPlace[] = () =>
    call.fleet.programs,
): Promise<{readonly restarted: Promise<void>}> {
  let restarted: Promise<void> = Promise.resolve();
  const accepted = new Promise<void>(resolve => {
    call.fleet.onAccepted = by => {
      call.fleet.onAccepted = undefined;
      restarted = kill(call, struck(by));
      resolve();
    };
  });
  await Promise.race([accepted, sleep(SYSTEM_CLOCK, MAX_ACCEPT_MS)]);
  call.fleet.onAccepted = undefined;
  return {restarted};
}

async function kill(
  {fleet, random}: FaultCall,
  places: readonly ProgramPlace[],
): Promise<void> {
  const struck = places.filter(({ending}) => !ending);
  for (const place of struck) {
    place.ending = true;
    place.program.signal('SIGKILL');
  }
  await Promise.all(
    struck.map(async place => {
      await sleep(SYSTEM_CLOCK, random.int(MAX_DOWN_MS));
      await fleet.restart(place);
    }),
  );
}
