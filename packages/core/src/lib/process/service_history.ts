/**
 * The latest runs and crashes of one service, as one host knows them, on which
 * the suspicion of parts of prompts rests.
 */

/** A crash of a target at which a run with some part broke off. */
export interface PartCrash {
  /** Identifies the crash: the incarnation of the target. */
  readonly target: string;
  /** When it was noticed, in milliseconds. */
  readonly atMs: number;
}

/** Bounds of what is remembered of a service. */
const MAX_COMPLETED_RUNS = 256;
const MAX_CRASHED_TARGETS = 256;
const MAX_OBSERVED_RUNS = 64;

/** A run that this host has seen end, and the parts of its prompt. */
interface ObservedRun {
  readonly parts: readonly string[];
  readonly endedAtMs: number;
}

/** Runs and crashes of one service. */
export class ServiceHistory {
  private readonly completedAt: number[] = [];
  private readonly crashedAt = new Map<string, number>();
  /** The latest runs that got through or broke off. */
  private readonly runs: ObservedRun[] = [];

  /** @param since - When its first run was observed. */
  constructor(readonly since: number) {}

  /** Adds a run that got through. */
  addCompleted(atMs: number): void {
    this.completedAt.push(atMs);
    if (this.completedAt.length > MAX_COMPLETED_RUNS) this.completedAt.shift();
  }

  /** Adds a run that got through or broke off. */
  addRun(run: ObservedRun): void {
    this.runs.push(run);
    if (this.runs.length > MAX_OBSERVED_RUNS) this.runs.shift();
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
}
