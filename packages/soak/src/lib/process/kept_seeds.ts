/** Seeds that broke a promise once; each is played again, as it was. */
import {
  FIRST_FAULT_KINDS,
  GIVING_UP_FAULT_KINDS,
  LOST_JOB_FAULT_KINDS,
  OVERLOAD_FAULT_KINDS,
  VERSION_FAULT_KINDS,
  type SoakOptions,
} from './soak_plan.js';

/** A seed with what was found by it. */
export interface KeptSeed {
  readonly options: SoakOptions;
  /** What broke the promise. */
  readonly cause: string;
  /** Whether it is short enough to be played with all tests. */
  readonly inTests: boolean;
}

/** Size of a run and its kinds of faults. */
const COMMON = {
  programs: 4,
  engines: 4,
  kinds: FIRST_FAULT_KINDS,
} as const;
/** What was played when jobs that hosts have not heard of were looked for. */
const UNHEARD = {
  programs: 4,
  engines: 4,
  kinds: [
    'store-deaf-feeds',
    'programs-kill-late-writes',
    'programs-kill-accepted',
    'programs-kill-mixed',
    'program-kill',
    'programs-kill-all',
    'store-away',
    'store-lost-answers',
    'store-history',
    'program-pause',
    'server-crash',
    'store-refuses-one',
  ],
} as const;
/** What was played when parts that crash servers were looked for. */
const CRASHES = {
  programs: 5,
  engines: 5,
  kinds: [
    ...FIRST_FAULT_KINDS,
    'server-answer-mixes',
    ...GIVING_UP_FAULT_KINDS,
    ...OVERLOAD_FAULT_KINDS,
    ...LOST_JOB_FAULT_KINDS,
    ...VERSION_FAULT_KINDS,
  ],
} as const;
/** What was played when streams were taken up after all hosts were lost. */
const LOST_HOSTS = {loadMs: 3000, programs: 3, engines: 6} as const;
/** Load with faults, in milliseconds. */
const BRIEF_MS = 9000;
const SHORT_MS = 12_000;
const MEDIUM_MS = 15_000;
const UNHEARD_MS = 18_000;
const LONG_MS = 24_000;

/** All of them. */
export const KEPT_SEEDS: readonly KeptSeed[] = [
  {
    options: {seed: 90_417, loadMs: LONG_MS, ...COMMON},
    cause: 'requests that targets broke off were blamed on a later stop',
    inTests: true,
  },
  {
    options: {seed: 210, loadMs: LONG_MS, ...COMMON},
    cause: 'requests on silent connections were blamed on a later stop',
    inTests: false,
  },
  {
    options: {seed: 200, loadMs: SHORT_MS, ...COMMON},
    cause: 'a host that stops went on taking connections',
    inTests: false,
  },
  {
    options: {seed: 211, loadMs: SHORT_MS, ...COMMON},
    cause: 'an item whose answers a live server lost was held as a suspect',
    inTests: false,
  },
  {
    options: {seed: 5001, loadMs: MEDIUM_MS, ...COMMON},
    cause: 'SIGHUP ended a program that was still being loaded',
    inTests: false,
  },
  {
    options: {seed: 5023, loadMs: MEDIUM_MS, ...COMMON},
    cause: 'the same, after a planned stop',
    inTests: false,
  },
  {
    options: {seed: 5010, loadMs: MEDIUM_MS, ...COMMON},
    cause:
      'an item that ran on three servers that crashed was held as a suspect',
    inTests: false,
  },
  {
    options: {seed: 47_107, loadMs: UNHEARD_MS, ...UNHEARD},
    cause:
      'a host had not heard of a configuration until it read all of them again',
    inTests: false,
  },
  {
    options: {
      seed: 47_506,
      loadMs: UNHEARD_MS,
      programs: 4,
      engines: 4,
      kinds: LOST_JOB_FAULT_KINDS,
    },
    cause: 'the only host that would have taken a job over had not heard of it',
    inTests: false,
  },
  {
    options: {seed: 50_303, loadMs: BRIEF_MS, ...CRASHES},
    cause:
      'requests took the slot of an item before its run showed whether it crashes targets',
    inTests: false,
  },
  {
    options: {
      seed: 65_011,
      ...LOST_HOSTS,
      kinds: ['programs-kill-versions-serve'],
    },
    cause: 'no host remembered streams of two versions that served',
    inTests: false,
  },
  {
    options: {
      seed: 65_012,
      ...LOST_HOSTS,
      kinds: ['programs-kill-version-left'],
    },
    cause: 'a host took the version that was left for that of each stream',
    inTests: false,
  },
  {
    options: {
      seed: 65_013,
      ...LOST_HOSTS,
      kinds: ['programs-kill-version-leaves'],
    },
    cause: 'the same; the other one left while no host followed the list',
    inTests: false,
  },
  {
    options: {
      seed: 65_014,
      ...LOST_HOSTS,
      kinds: ['programs-kill-version-joins'],
    },
    cause: 'no host remembered streams from before a second version',
    inTests: false,
  },
  {
    options: {
      seed: 65_015,
      ...LOST_HOSTS,
      kinds: ['programs-kill-version-changes'],
    },
    cause:
      'a host took the only version that it had seen for that of streams from before',
    inTests: false,
  },
];
