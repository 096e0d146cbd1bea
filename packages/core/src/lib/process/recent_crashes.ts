/**
 * Decides whether crashes of the last moments show a part of prompts. Answers a
 * load in which requests with that part come again and again, beside sound ones
 * that get through and others that break off with them.
 */
import type {PartCrash, ServiceHistory} from './service_history.js';

/**
 * Crashes that are older say nothing of what happens at the moment, in
 * milliseconds. Whether they come again and again is another question; see
 * `repeated_crashes.ts`.
 */
export const RECENT_MS = 30_000;
/** Bounds the memory for crashes of one part. */
export const MAX_CRASHES = 32;

/**
 * What shows that a part is guilty: so many crashes, and then so long a time, in
 * milliseconds, in which nothing with the part gets through and others do.
 */
interface Evidence {
  readonly crashes: number;
  readonly silentMs: number;
}

/**
 * A part that is not guilty gets through on other targets within a second, and
 * hosts learn of that within half a second.
 */
const EVIDENCE: readonly Evidence[] = [
  {crashes: 3, silentMs: 2500},
  {crashes: 5, silentMs: 2000},
];
/** The same for a part that has not got through lately. */
const EVIDENCE_OF_NEW_PART: readonly Evidence[] = [{crashes: 3, silentMs: 700}];
/**
 * Number of other runs that must get through in that time. Otherwise the
 * service itself is down, and the part may have nothing to do with it.
 */
const MIN_COMPLETED_RUNS = 2;
/**
 * Part of the latest crashes of a service that the part must stand in: one that
 * is not guilty stands in some of them.
 */
const MIN_COVERAGE = 0.5;
/**
 * A new part is also guilty if targets keep crashing and it stands in nearly all
 * of these crashes: targets may then crash faster than anything gets through.
 */
const LASTING = {crashes: 5, spanMs: 1500, coverage: 0.8} as const;
/**
 * A new part is also guilty if it stands in nearly all of several crashes that
 * come apart from each other, while the service works in between. Answers a load
 * with little traffic, in which hardly anything gets through within a second.
 */
const APART = {crashes: 3, gapMs: 1000, coverage: 0.8} as const;
/**
 * What speaks against a part while hardly anything of its service gets through:
 * it stands in nearly all of the crashes, and runs without it exist. It is held
 * for a short time to see whether the crashes end with it.
 */
const WHILE_DOWN = {
  ...LASTING,
  maxCompletedRuns: 1,
  completedSpanMs: 1500,
  minOtherRuns: 2,
} as const;
/** Fewer crashes show nothing. */
export const MIN_CRASHES = EVIDENCE[0]!.crashes;

/** What the crashes under a part are judged by. */
export interface Circumstances {
  readonly history: ServiceHistory;
  /** Whether the part has not got through for long before its first crash. */
  readonly isNew: boolean;
  readonly nowMs: number;
}

/** The same while hardly anything of the service gets through. */
export interface CircumstancesWhileDown {
  readonly history: ServiceHistory;
  /** @returns Number of runs without the part that have ended since. */
  readonly otherRuns: (fromMs: number) => number;
  readonly nowMs: number;
}

/**
 * @param crashes - The latest crashes under a part, by time.
 * @param circumstances - What else is known.
 * @returns Whether they show the part.
 */
export function areShown(
  crashes: readonly PartCrash[],
  {history, isNew, nowMs}: Circumstances,
): boolean {
  const coverage = coverageOf(crashes, history);
  const needed = isNew ? EVIDENCE_OF_NEW_PART : EVIDENCE;
  const isShown = needed.some(evidence =>
    isShownBy(evidence, crashes, history, nowMs),
  );
  if (isShown && coverage >= MIN_COVERAGE) return true;
  if (!isNew) return false;
  if (coverage >= LASTING.coverage && isLasting(crashes)) return true;
  return coverage >= APART.coverage && areApart(crashes, history);
}

/**
 * @param crashes - The latest crashes under a part, by time.
 * @param circumstances - What else is known.
 * @returns Whether the part is to be held for a short time.
 */
export function areSuspectWhileDown(
  crashes: readonly PartCrash[],
  {history, otherRuns, nowMs}: CircumstancesWhileDown,
): boolean {
  if (crashes.length < WHILE_DOWN.crashes) return false;
  const since = nowMs - WHILE_DOWN.completedSpanMs;
  return (
    history.completedWithin(since, nowMs) <= WHILE_DOWN.maxCompletedRuns &&
    coverageOf(crashes, history) >= WHILE_DOWN.coverage &&
    isLasting(crashes) &&
    otherRuns(crashes[0]!.atMs) >= WHILE_DOWN.minOtherRuns
  );
}

/** Whether only runs without the part got through after one of the crashes. */
function isShownBy(
  {crashes: count, silentMs}: Evidence,
  crashes: readonly PartCrash[],
  history: ServiceHistory,
  nowMs: number,
): boolean {
  return crashes.slice(count - 1).some(({atMs}) => {
    const endMs = atMs + silentMs;
    const completed = history.completedWithin(atMs, endMs);
    return nowMs >= endMs && completed >= MIN_COMPLETED_RUNS;
  });
}

/** The part of the crashes of a service that these are, from their first on. */
function coverageOf(
  crashes: readonly PartCrash[],
  history: ServiceHistory,
): number {
  const ofService = history.crashesSince(crashes[0]!.atMs);
  return crashes.length / Math.min(MAX_CRASHES, ofService);
}

function isLasting(crashes: readonly PartCrash[]): boolean {
  const spanMs = crashes.at(-1)!.atMs - crashes[0]!.atMs;
  return crashes.length >= LASTING.crashes && spanMs >= LASTING.spanMs;
}

/**
 * Whether enough crashes come apart from each other, with runs of others that get
 * through between them. One burst of crashes is one event, whatever ran there.
 */
function areApart(
  crashes: readonly PartCrash[],
  history: ServiceHistory,
): boolean {
  let events = 1;
  let lastMs = crashes[0]!.atMs;
  for (const {atMs} of crashes) {
    if (atMs - lastMs < APART.gapMs) continue;
    if (history.completedWithin(lastMs, atMs) === 0) continue;
    events++;
    lastMs = atMs;
  }
  return events >= APART.crashes;
}
