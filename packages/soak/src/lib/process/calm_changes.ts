/**
 * Planned changes once all faults are undone, one after another. Nothing else is
 * wrong then, so that the promises hold with their own bounds, which faults that
 * overlap leave no room to check.
 */
import {sleep, SYSTEM_CLOCK, type Random} from '@oathead/core';
import {FAULT_HANDLERS} from './fault_handlers.js';
import type {SoakFleet} from './soak_fleet.js';
import type {FaultKind} from './soak_plan.js';

/** What was changed. */
export interface CalmChanges {
  /** The processes that were told to stop. */
  readonly stopped: ReadonlySet<number>;
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

/**
 * Stops a program, replaces a server and adds a route.
 *
 * @param fleet - What is changed, with no fault at work.
 * @param random - Draws which program and which server.
 * @returns What was changed; all of it is in force.
 */
export async function makeCalmChanges(
  fleet: SoakFleet,
  random: Random,
): Promise<CalmChanges> {
  const stopped = await stopOne(fleet, random);
  const before = new Set(fleet.leavingSince.keys());
  // It serves on beyond the bound, so that a late request is seen.
  await change(fleet, random, 'server-replace', CALM_BOUND_MS);
  const left = [...fleet.leavingSince.keys()].filter(id => !before.has(id));
  const route = await fleet.addRoute();
  await sleep(SYSTEM_CLOCK, CALM_BOUND_MS);
  fleet.knownRoute = route;
  return {stopped, left: new Set(left), route, routeKnownAt: Date.now()};
}

async function stopOne(
  fleet: SoakFleet,
  random: Random,
): Promise<ReadonlySet<number>> {
  const pids = fleet.programs.map(({program}) => program.pid);
  await change(fleet, random, 'program-stop');
  const now = new Set(fleet.programs.map(({program}) => program.pid));
  return new Set(pids.filter(pid => !now.has(pid)));
}

function change(
  fleet: SoakFleet,
  random: Random,
  kind: FaultKind,
  forMs = 0,
): Promise<void> {
  return FAULT_HANDLERS[kind]({fleet, random, forMs});
}
