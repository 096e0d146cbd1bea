/**
 * The latest runs and crashes of one service, as one host knows them, on which
 * the suspicion of parts of prompts rests.
 */
import {RunTallies} from './run_tallies.js';

/** A crash of a target at which a run with some part broke off. */
export interface PartCrash {
  /** Identifies the crash: the incarnation of the target. */
  readonly target: string;
  /** When it was noticed, in milliseconds. */
  readonly atMs: number;
}

/** Bounds of what is remembered of a service. */
const MAX_COMPLETED_RUNS = 256;
const MAX_CRASHED_TARGETS = 4096;
const MAX_OBSERVED_RUNS = 64;
/**
 * How far around a moment runs are looked for until there are enough to tell how
 * many of them broke off, in milliseconds.
 */
const MIN_AROUND_MS = 1000;
const MAX_AROUND_MS = 64_000;
const ENOUGH_RUNS = 8;
/** What is assumed before any run is seen: that one of four breaks off. */
const PRIOR_BROKEN = 1;
const PRIOR_RUNS = 4;

/** A run that this host has seen end, and the parts of its prompt. */
interface ObservedRun {
  readonly parts: readonly string[];
  readonly endedAtMs: number;
}

/** Runs and crashes of one service. */
export class ServiceHistory {
  private readonly completedAt: number[] = [];
  private readonly crashedAt = new Map<string, number>();
  private readonly tallies = new RunTallies();
  /** The latest runs that got through or broke off. */
  private readonly runs: ObservedRun[] = [];
  private observedSince = Infinity;

  /**
   * When this host has seen its first run end, in milliseconds; infinite before
   * that. Crashes that others have seen say nothing of what gets through.
   */
  get since(): number {
    return this.observedSince;
  }

  /** Adds a run that got through. */
  addCompleted(atMs: number): void {
    this.tallies.addCompleted(atMs);
    this.completedAt.push(atMs);
    if (this.completedAt.length > MAX_COMPLETED_RUNS) this.completedAt.shift();
  }

  /** Adds a run that got through or broke off. */
  addRun(run: ObservedRun): void {
    this.observedSince = Math.min(this.observedSince, run.endedAtMs);
    this.runs.push(run);
    if (this.runs.length > MAX_OBSERVED_RUNS) this.runs.shift();
  }

  /** Adds a run that broke off as a crash breaks it off. */
  addBroken(run: ObservedRun): void {
    this.tallies.addBroken(run.endedAtMs);
    this.addRun(run);
  }

  /** @returns Number of runs without a part that have ended since. */
  runsWithout(part: string, fromMs: number): number {
    return this.runs.filter(
      ({parts, endedAtMs}) => endedAtMs >= fromMs && !parts.includes(part),
    ).length;
  }

  /**
   * Compares two parts by the runs that they stand in. Of two that stand in the
   * same ones, the later part of the prompt is the narrower one: parts that more
   * requests share come first.
   *
   * @param part - A part.
   * @param other - Another one.
   * @returns Whether the part stands in fewer runs than the other one.
   */
  isNarrower(part: string, other: string): boolean {
    const count = (one: string) =>
      this.runs.filter(({parts}) => parts.includes(one)).length;
    const difference = count(other) - count(part);
    if (difference !== 0) return difference > 0;
    const isAfter = (parts: readonly string[]) =>
      parts.includes(other) && parts.indexOf(part) > parts.indexOf(other);
    return this.runs.some(({parts}) => isAfter(parts));
  }

  /** Adds a crash, unless it is known. */
  addCrash({target, atMs}: PartCrash): void {
    if (this.crashedAt.has(target)) return;
    this.crashedAt.set(target, atMs);
    this.tallies.addCrash(atMs, target);
    const [oldest] = this.crashedAt.keys();
    if (this.crashedAt.size > MAX_CRASHED_TARGETS)
      this.crashedAt.delete(oldest!);
  }

  /** @returns Number of runs that got through in a span of time. */
  completedWithin(fromMs: number, toMs: number): number {
    return this.completedAt.filter(at => at > fromMs && at <= toMs).length;
  }

  /** @returns Number of targets that have crashed since. */
  crashesSince(fromMs: number): number {
    return [...this.crashedAt.values()].filter(at => at >= fromMs).length;
  }

  /**
   * @param atMs - A moment.
   * @param exceptTargets - Targets whose crashes are left out.
   * @returns The share of the runs that broke off around then, from 0 to 1; each
   *     crash that only other hosts have seen counts as one.
   */
  breakRateAround(atMs: number, exceptTargets: ReadonlySet<string>): number {
    let aroundMs = MIN_AROUND_MS;
    let {broken, runs} = this.runsAround(atMs, aroundMs, exceptTargets);
    while (runs < ENOUGH_RUNS && aroundMs < MAX_AROUND_MS) {
      aroundMs *= 2;
      ({broken, runs} = this.runsAround(atMs, aroundMs, exceptTargets));
    }
    return (broken + PRIOR_BROKEN) / (runs + PRIOR_RUNS);
  }

  private runsAround(
    atMs: number,
    aroundMs: number,
    exceptTargets: ReadonlySet<string>,
  ): {readonly broken: number; readonly runs: number} {
    const tally = this.tallies.within(atMs - aroundMs, atMs + aroundMs);
    const {crashed} = tally;
    const others = crashed.filter(target => !exceptTargets.has(target)).length;
    const own = crashed.length - others;
    const broken = Math.max(tally.broken - own, others);
    return {broken, runs: tally.completed + broken};
  }
}
