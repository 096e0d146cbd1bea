/**
 * Planned changes once all faults are undone, one after another. Nothing else is
 * wrong then, so that the promises hold with their own bounds, which faults that
 * overlap leave no room to check.
 */
import {sleep, SYSTEM_CLOCK, type Random} from '@oathead/core';
import {FAULT_HANDLERS} from './fault_handlers.js';
import type {FaultCall} from './fault_call.js';
import type {SoakFleet} from './soak_fleet.js';

/** What was changed. */
export interface CalmChanges {
  /** Since when nothing else is wrong, on the time of day in milliseconds. */
  readonly since: number;
  /** When each process was told to stop, on the time of day in milliseconds, by
   * its id. */
  readonly stoppedAt: ReadonlyMap<number, number>;
  /** The ids of servers that left. */
  readonly left: ReadonlySet<string>;
  /** The prefix of a route that all programs must know by now. */
  readonly route: string;
  /** Since when, on the time of day in milliseconds. */
  readonly routeKnownAt: number;
}

/** Within which a change is in force everywhere, and a second for a busy
 * machine, in milliseconds. */
export const CALM_BOUND_MS = 3000;
/** Between two signals to a program that stops, in milliseconds: within the time
 * for which it still takes callers. */
const SIGNAL_PAUSE_MS = 500;

/**
 * Stops a program, replaces a server and adds a route.
 *
 * @param call - What is changed, with no fault at work, and what draws which
 *     program and which server.
 * @returns What was changed; all of it is in force.
 */
export async function makeCalmChanges(
  call: Omit<FaultCall, 'forMs'>,
): Promise<CalmChanges> {
  const {fleet, random} = call;
  const since = Date.now();
  const stoppedAt = await stopOne(fleet, random);
  const before = new Set(fleet.leavingSince.keys());
  // It serves on beyond the bound, so that a late request is seen.
  const forMs = CALM_BOUND_MS;
  await FAULT_HANDLERS['server-replace']({...call, forMs});
  const left = [...fleet.leavingSince.keys()].filter(id => !before.has(id));
  const route = await fleet.addRoute();
  await sleep(SYSTEM_CLOCK, CALM_BOUND_MS);
  fleet.knownRoute = route;
  return {
    since,
    stoppedAt,
    left: new Set(left),
    route,
    routeKnownAt: Date.now(),
  };
}

/** Tells one program to stop, and says so again while it does, as a supervisor, an
 * operator and a changed settings file may do at once. */
async function stopOne(
  fleet: SoakFleet,
  random: Random,
): Promise<ReadonlyMap<number, number>> {
  const place = fleet.programs[random.int(fleet.programs.length)]!;
  const {program} = place;
  const stoppedAt = Date.now();
  place.ending = true;
  for (const signal of ['SIGTERM', 'SIGHUP', 'SIGTERM'] as const) {
    program.signal(signal);
    await sleep(SYSTEM_CLOCK, SIGNAL_PAUSE_MS);
  }
  await fleet.restart(place);
  return new Map([[program.pid, stoppedAt]]);
}
