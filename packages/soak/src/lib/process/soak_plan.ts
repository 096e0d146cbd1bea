/** Which faults a run has, drawn from its seed. */
import {seededRandom, type Random} from '@oathead/core';
import type {LoadShapeName} from './load_shape.js';

/** Kinds that kept seeds draw from: their draws must stay as they are. */
export const FIRST_FAULT_KINDS = [
  'program-kill',
  'program-pause',
  'program-stop',
  'program-hup',
  'programs-kill-all',
  'store-away',
  'store-refuses-one',
  'store-lost-answers',
  'store-late-writes',
  'store-slow',
  'store-history',
  'store-link',
  'server-crash',
  'server-replace',
  'server-answers',
  'server-link',
  'connections-reset',
  'connections-silent',
  'config-change',
] as const;

/** Kinds that concern when an item may be given up, and what a host misses. */
export const GIVING_UP_FAULT_KINDS = [
  'program-long-pause',
  'route-away',
  'route-away-unseen',
  'route-move',
  'server-failures',
  'store-half',
  'store-later-writes',
  'store-stale-feeds',
] as const;

/** Kinds that ask for more than there is room for. */
export const OVERLOAD_FAULT_KINDS = ['account-flood', 'server-speeds'] as const;

/** Kinds after which nobody may know an accepted job, or hosts differ on who is
 * alive. */
export const LOST_JOB_FAULT_KINDS = [
  'store-deaf-feeds',
  'owner-kill-deaf-feeds',
  'programs-kill-late-writes',
  'programs-kill-accepted',
  'programs-kill-mixed',
] as const;

/** Kinds that concern which targets go on with a stream, and which requests end
 * targets. */
export const VERSION_FAULT_KINDS = ['server-release', 'bad-part'] as const;

/** Kinds in which one request is sent again and again that crashes servers. */
export const POISON_FAULT_KINDS = [
  'poison-request',
  'poison-beside-bad-part',
] as const;

/** Everything that a run does to the system unless kinds are named. */
export const DEFAULT_FAULT_KINDS = [
  ...FIRST_FAULT_KINDS,
  'server-answer-mixes',
  ...GIVING_UP_FAULT_KINDS,
  ...OVERLOAD_FAULT_KINDS,
  ...LOST_JOB_FAULT_KINDS,
  ...VERSION_FAULT_KINDS,
  ...POISON_FAULT_KINDS,
] as const;

/** Kinds after which no host remembers at which software version streams began. */
export const TAKE_UP_FAULT_KINDS = [
  'programs-kill-versions-serve',
  'programs-kill-version-left',
  'programs-kill-version-leaves',
  'programs-kill-version-joins',
  'programs-kill-version-changes',
] as const;

/** The like with streams that run for long before their programs are killed. */
export const LONG_TAKE_UP_FAULT_KINDS = [
  'programs-kill-long-streams',
  'programs-kill-long-version-left',
] as const;

/** One of them. */
export type TakeUpFaultKind =
  | (typeof TAKE_UP_FAULT_KINDS)[number]
  | (typeof LONG_TAKE_UP_FAULT_KINDS)[number];

/** Kinds that only runs have that name them: the draws of seeds that were kept
 * without kinds must stay as they are. */
export const NAMED_FAULT_KINDS = [
  'servers-crash-together',
  ...TAKE_UP_FAULT_KINDS,
  ...LONG_TAKE_UP_FAULT_KINDS,
  'program-stops-long',
  'bad-part-slow',
] as const;

/** Everything that a run can do to the system. */
export const FAULT_KINDS = [
  ...DEFAULT_FAULT_KINDS,
  ...NAMED_FAULT_KINDS,
] as const;

/** One kind of fault. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** One fault of a run. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** From the start of the load, in milliseconds. */
  readonly atMs: number;
  readonly forMs: number;
  /** Draws what the fault strikes. */
  readonly seed: number;
}

/** How long a run is, and how large. */
export interface SoakOptions {
  readonly seed: number;
  /** Of load with faults, in milliseconds; calm seconds follow. */
  readonly loadMs: number;
  readonly programs: number;
  readonly engines: number;
  /** Kinds that are drawn; all by default. */
  readonly kinds?: readonly FaultKind[];
  /** What callers ask for; `steady` by default. */
  readonly load?: LoadShapeName;
}

/** The first fault comes when the load runs already, in milliseconds. */
const FIRST_MS = 2000;
/** Between two faults, in milliseconds: shorter than most last, so that they
 * overlap. */
const GAP_MS = {least: 200, most: 1800} as const;
const LASTS_MS = {least: 300, most: 4000} as const;
const SEEDS = 0x7fffffff;

/**
 * @param options - The seed, and for how long.
 * @returns The faults in the order in which they come.
 */
export function planFaults(options: SoakOptions): readonly PlannedFault[] {
  const random = seededRandom(options.seed);
  const kinds = options.kinds ?? DEFAULT_FAULT_KINDS;
  const faults: PlannedFault[] = [];
  let atMs = FIRST_MS;
  while (atMs < options.loadMs) {
    faults.push({
      kind: kinds[random.int(kinds.length)]!,
      atMs,
      forMs: between(random, LASTS_MS),
      seed: random.int(SEEDS),
    });
    atMs += between(random, GAP_MS);
  }
  return faults;
}

function between(
  random: Random,
  {least, most}: {readonly least: number; readonly most: number},
): number {
  return least + random.int(most - least);
}
