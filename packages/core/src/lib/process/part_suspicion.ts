/**
 * Decides which part of the prompts of a service crashes its targets. Answers a
 * load in which each request with that part ends a target and all that runs
 * there, while sound requests share all other parts.
 */
import {LRUCache} from 'lru-cache';
import {
  areShown,
  areSuspectWhileDown,
  MAX_CRASHES,
  MIN_CRASHES,
  RECENT_MS,
} from './recent_crashes.js';
import {areRepeated} from './repeated_crashes.js';
import {ServiceHistory, type PartCrash} from './service_history.js';

export type {PartCrash} from './service_history.js';

/**
 * Time after which a part that is held is in no run any more, in milliseconds,
 * and the number of crashes after that which show that others are the cause.
 */
const HELD_AFTER_MS = 1000;
const MIN_CRASHES_WITHOUT_PART = 3;
/**
 * A part is new if it has not got through for this long, in milliseconds, and
 * if runs have been observed for long enough to know that.
 */
const NEW_PART_MS = 60_000;
const MIN_OBSERVED_MS = 10_000;
/**
 * How long evidence of crashes is kept that no run has cleared, in milliseconds.
 * It bounds the memory and the rows for parts that do not come again.
 */
export const CRASH_EVIDENCE_LIFETIME_MS = 3_600_000;
/** Bounds the memory for parts. */
const MAX_PARTS = 4096;
/** Number of the first crashes of a part, which are all remembered. */
const FIRST_CRASHES = 5;

/** Crashes under one part, in order of time. */
interface SuspectedPart {
  readonly service: string;
  readonly crashes: readonly PartCrash[];
}

/** A part and the crashes under it that count. */
interface CrashesOfPart {
  readonly part: string;
  readonly crashes: readonly PartCrash[];
}

const NO_CRASHES: readonly PartCrash[] = [];

/** Crashes and completed runs by part, as one host knows them. */
export class PartSuspicion {
  private readonly suspected = new LRUCache<string, SuspectedPart>({
    max: MAX_PARTS,
  });
  /** When a run with a part last got through. */
  private readonly completedAt = new LRUCache<string, number>({max: MAX_PARTS});
  private readonly services = new Map<string, ServiceHistory>();

  /**
   * @param service - A service.
   * @param part - A part of the prompt of a run that broke off there.
   * @param crash - The crash.
   * @returns Whether it was not known.
   */
  recordCrash(service: string, part: string, crash: PartCrash): boolean {
    this.historyOf(service).addCrash(crash);
    const known = this.crashesOf(part);
    if (known.some(({target}) => target === crash.target)) return false;
    const all = [...known, crash].sort((a, b) => a.atMs - b.atMs);
    this.suspected.set(part, {service, crashes: thinned(all)});
    return true;
  }

  /**
   * @param service - Service of a run of this host that broke off.
   * @param parts - The parts of its prompt.
   * @param crash - The crash.
   * @returns The parts for which the crash was not known.
   */
  recordBrokenRun(
    service: string,
    parts: readonly string[],
    crash: PartCrash,
  ): readonly string[] {
    const run = {parts, endedAtMs: crash.atMs};
    this.historyOf(service).addBroken(run);
    return parts.filter(part => this.recordCrash(service, part, crash));
  }

  /**
   * Forgets one crash, because the part has got through elsewhere.
   *
   * @param part - A part.
   * @param target - The target whose crash does not count any more.
   */
  forgetCrash(part: string, target: string): void {
    const known = this.suspected.get(part);
    if (!known) return;
    const crashes = known.crashes.filter(one => one.target !== target);
    if (crashes.length > 0) this.suspected.set(part, {...known, crashes});
    else this.suspected.delete(part);
  }

  /**
   * @param service - Service of a run that got through.
   * @param parts - The parts of its prompt.
   * @param nowMs - The current time, in milliseconds.
   * @returns The crashes that do not count any more, by part.
   */
  recordCompletedRun(
    service: string,
    parts: readonly string[],
    nowMs: number,
  ): ReadonlyMap<string, readonly PartCrash[]> {
    const history = this.historyOf(service);
    history.addCompleted(nowMs);
    history.addRun({parts, endedAtMs: nowMs});
    const cleared = new Map<string, readonly PartCrash[]>();
    for (const part of parts) {
      const crashes = this.crashesOf(part);
      if (crashes.length > 0) cleared.set(part, crashes);
      this.suspected.delete(part);
      this.completedAt.set(part, nowMs);
    }
    return cleared;
  }

  /**
   * @param part - A part of a prompt.
   * @returns The targets whose crashes under it are remembered.
   */
  targetsOf(part: string): readonly string[] {
    return this.crashesOf(part).map(({target}) => target);
  }

  /**
   * @param nowMs - The current time, in milliseconds.
   * @returns The parts that may come to be guilty without another crash, with
   *     their services.
   */
  suspects(nowMs: number): ReadonlyArray<readonly [string, string]> {
    return [...this.suspected.entries()]
      .filter(([part]) => {
        const {length} = this.countingCrashes(part, nowMs, RECENT_MS);
        return length >= MIN_CRASHES;
      })
      .map(([part, {service}]) => [part, service]);
  }

  /**
   * @param part - A part of a prompt.
   * @param nowMs - The current time, in milliseconds.
   * @returns The crashes of which the part is guilty; undefined if it is not.
   */
  guiltyOf(part: string, nowMs: number): readonly PartCrash[] | undefined {
    const history = this.historyOfPart(part);
    if (!history) return undefined;
    return (
      this.guiltyOfRecent(part, nowMs, history) ??
      this.guiltyOfRepeated(part, nowMs, history)
    );
  }

  /** The same by what has happened in the last moments. */
  private guiltyOfRecent(
    part: string,
    nowMs: number,
    history: ServiceHistory,
  ): readonly PartCrash[] | undefined {
    const crashes = this.countingCrashes(part, nowMs, RECENT_MS);
    if (crashes.length < MIN_CRASHES) return undefined;
    const isNew = this.isNew(part, history, crashes[0]!.atMs);
    if (!areShown(crashes, {history, isNew, nowMs})) return undefined;
    if (this.isExplained(part, crashes, nowMs, history)) return undefined;
    return crashes;
  }

  /**
   * The same by crashes that come far apart. Guards against a host that has just
   * started and takes the first part of all prompts for the guilty one: of two
   * parts in the same crashes it has to know which is the more suspect.
   */
  private guiltyOfRepeated(
    part: string,
    nowMs: number,
    history: ServiceHistory,
  ): readonly PartCrash[] | undefined {
    const lifetimeMs = CRASH_EVIDENCE_LIFETIME_MS;
    const crashes = this.countingCrashes(part, nowMs, lifetimeMs);
    if (!areRepeated(crashes, history)) return undefined;
    const rivals = this.rivalsOf(part, crashes, nowMs, lifetimeMs);
    const isClear = rivals.every(
      rival =>
        !this.isMoreSuspect(rival, {part, crashes}, history) &&
        this.isMoreSuspect({part, crashes}, rival, history),
    );
    return isClear ? crashes : undefined;
  }

  /**
   * Guards against a service that stays down for good because of one part: its
   * targets crash as fast as they come back, so that nothing gets through that
   * could show the part. Holding it for a moment shows whether they go on.
   *
   * @param part - A part of a prompt.
   * @param nowMs - The current time, in milliseconds.
   * @returns The crashes for which it is to be held for a short time; undefined
   *     if it is not.
   */
  suspectedWhileDown(
    part: string,
    nowMs: number,
  ): readonly PartCrash[] | undefined {
    const crashes = this.countingCrashes(part, nowMs, RECENT_MS);
    const history = this.historyOfPart(part);
    if (!history) return undefined;
    const otherRuns = (fromMs: number) => history.runsWithout(part, fromMs);
    if (!areSuspectWhileDown(crashes, {history, otherRuns, nowMs}))
      return undefined;
    if (this.isExplained(part, crashes, nowMs, history)) return undefined;
    return crashes;
  }

  /**
   * @param service - A service.
   * @param heldSinceMs - Since when a part of its prompts is held.
   * @returns Whether its targets crash all the same.
   */
  crashesGoOn(service: string, heldSinceMs: number): boolean {
    const history = this.services.get(service);
    const crashes = history?.crashesSince(heldSinceMs + HELD_AFTER_MS) ?? 0;
    return crashes >= MIN_CRASHES_WITHOUT_PART;
  }

  /**
   * The other parts that stand in all of these crashes: the runs beside a request
   * that crashes its target break off with it, and its other parts are in each of
   * its runs.
   */
  private rivalsOf(
    part: string,
    crashes: readonly PartCrash[],
    nowMs: number,
    lifetimeMs: number,
  ): readonly CrashesOfPart[] {
    return [...this.suspected.keys()].flatMap(other => {
      if (other === part) return [];
      const known = this.countingCrashes(other, nowMs, lifetimeMs);
      const targets = known.map(({target}) => target);
      const isRival = crashes.every(({target}) => targets.includes(target));
      return isRival ? [{part: other, crashes: known}] : [];
    });
  }

  /** Whether another part is the likelier cause of crashes of the last moments. */
  private isExplained(
    part: string,
    crashes: readonly PartCrash[],
    nowMs: number,
    history: ServiceHistory,
  ): boolean {
    const rivals = this.rivalsOf(part, crashes, nowMs, RECENT_MS);
    return rivals.some(rival =>
      this.isMoreSuspect(rival, {part, crashes}, history),
    );
  }

  /** Whether one of two parts in the same crashes is the likelier cause. */
  private isMoreSuspect(
    one: CrashesOfPart,
    other: CrashesOfPart,
    history: ServiceHistory,
  ): boolean {
    const lastAt = ({part}: CrashesOfPart) =>
      this.completedAt.peek(part) ?? -Infinity;
    return (
      one.crashes.length > other.crashes.length ||
      lastAt(one) < lastAt(other) ||
      history.isNarrower(one.part, other.part)
    );
  }

  private countingCrashes(
    part: string,
    nowMs: number,
    lifetimeMs: number,
  ): readonly PartCrash[] {
    const completedAt = this.completedAt.peek(part) ?? -Infinity;
    const since = Math.max(completedAt, nowMs - lifetimeMs);
    return this.crashesOf(part).filter(({atMs}) => atMs > since);
  }

  private crashesOf(part: string): readonly PartCrash[] {
    return this.suspected.peek(part)?.crashes ?? NO_CRASHES;
  }

  /** Whether the part has not got through for long before its first crash. */
  private isNew(
    part: string,
    history: ServiceHistory,
    firstCrashMs: number,
  ): boolean {
    const completedAt = this.completedAt.get(part) ?? -Infinity;
    const isKnownEnough = firstCrashMs - history.since >= MIN_OBSERVED_MS;
    return isKnownEnough && firstCrashMs - completedAt >= NEW_PART_MS;
  }

  private historyOfPart(part: string): ServiceHistory | undefined {
    const service = this.suspected.peek(part)?.service;
    return service === undefined ? undefined : this.services.get(service);
  }

  private historyOf(service: string): ServiceHistory {
    const known = this.services.get(service);
    if (known) return known;
    const history = new ServiceHistory();
    this.services.set(service, history);
    return history;
  }
}

/**
 * Drops the crash that follows its predecessor most closely, if there are too
 * many, but none of the first. Guards against a part that is not found while
 * targets crash fast: what shows it are the first crashes, two seconds later.
 */
function thinned(crashes: readonly PartCrash[]): readonly PartCrash[] {
  if (crashes.length <= MAX_CRASHES) return crashes;
  const gaps = crashes.map(({atMs}, i) =>
    i < FIRST_CRASHES ? Infinity : atMs - crashes[i - 1]!.atMs,
  );
  const closest = gaps.indexOf(Math.min(...gaps));
  return crashes.filter((crash, i) => i !== closest);
}
