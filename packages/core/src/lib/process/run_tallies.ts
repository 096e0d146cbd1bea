/** How many runs of a service got through and broke off, second by second. */

const SPAN_MS = 1000;
/** Bounds the memory for spans without runs between them: an hour of them. */
const MAX_SPANS = 3600;

/** Numbers of runs. */
export interface RunTally {
  readonly completed: number;
  readonly broken: number;
}

/** The runs that one host has seen end. */
export class RunTallies {
  /** By the number of the span, the oldest first. */
  private readonly spans = new Map<number, RunTally>();

  /** Adds a run that got through. */
  addCompleted(atMs: number): void {
    const {completed, broken} = this.spanAt(atMs);
    this.set(atMs, {completed: completed + 1, broken});
  }

  /** Adds a run that broke off as a crash breaks it off. */
  addBroken(atMs: number): void {
    const {completed, broken} = this.spanAt(atMs);
    this.set(atMs, {completed, broken: broken + 1});
  }

  /** @returns The runs that ended between two moments, to a second. */
  within(fromMs: number, toMs: number): RunTally {
    let completed = 0;
    let broken = 0;
    for (let span = spanOf(fromMs); span <= spanOf(toMs); span++) {
      const tally = this.spans.get(span);
      completed += tally?.completed ?? 0;
      broken += tally?.broken ?? 0;
    }
    return {completed, broken};
  }

  private spanAt(atMs: number): RunTally {
    return this.spans.get(spanOf(atMs)) ?? {completed: 0, broken: 0};
  }

  private set(atMs: number, tally: RunTally): void {
    this.spans.set(spanOf(atMs), tally);
    const [oldest] = this.spans.keys();
    if (this.spans.size > MAX_SPANS) this.spans.delete(oldest!);
  }
}

function spanOf(atMs: number): number {
  return Math.floor(atMs / SPAN_MS);
}
