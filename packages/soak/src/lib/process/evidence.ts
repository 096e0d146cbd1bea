/** What callers and targets saw in a run. */
import type {ReceivedRequest} from '@oathead/platform/stand_ins';
import type {JobRecord} from '../request/batch_load.js';
import type {OnlineRecord} from '../request/online_load.js';
import type {CalmChanges} from './calm_changes.js';
import type {SoakFleet} from './soak_fleet.js';

/** What a run is judged by. */
export interface Evidence {
  readonly fleet: SoakFleet;
  readonly online: readonly OnlineRecord[];
  readonly jobs: readonly JobRecord[];
  /** Planned changes with no fault around them. */
  readonly calm: CalmChanges;
  /** When the last online request had ended, and no job was handed in any more,
   * on the time of day in milliseconds. */
  readonly loadEndedAt: number;
  /** When the run ended, on the time of day in milliseconds. */
  readonly endedAt: number;
}

/** A promise: says what broke it. */
export type PromiseCheck = (evidence: Evidence) => readonly string[];

/**
 * @param evidence - What was seen.
 * @returns All runs, over all incarnations of the servers.
 */
export function allRuns({fleet}: Evidence): readonly ReceivedRequest[] {
  return fleet.incarnations.flatMap(({server}) => server.ran);
}

/**
 * @param evidence - What was seen.
 * @returns All runs by the ID of their request or item.
 */
export function runsById(
  evidence: Evidence,
): ReadonlyMap<string, readonly ReceivedRequest[]> {
  const runs = new Map<string, ReceivedRequest[]>();
  for (const run of allRuns(evidence))
    runs.set(run.id, [...(runs.get(run.id) ?? []), run]);
  return runs;
}
