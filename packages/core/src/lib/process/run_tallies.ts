/** What happened to the runs and targets of a service, second by second. */

const SPAN_MS = 1000;
/** Bounds the memory: an hour of spans in which anything happened. */
const MAX_SPANS = 3600;

/** What happened in some span of time. */
export interface RunTally {
  /** Number of runs that got through. */
  readonly completed: number;
  /** Number of runs that broke off as a crash breaks them off. */
  readonly broken: number;
  /** The targets that crashed, as far as this host knows. */
  readonly crashed: readonly string[];
}

const NOTHING: RunTally = {completed: 0, broken: 0, crashed: []};

/** The runs that one host has seen end, and the crashes that it knows. */
export class RunTallies {
  /** By the number of the span, in the order in which they were begun. */
  private readonly spans = new Map<number, RunTally>();

  /** Adds a run that got through. */
  addCompleted(atMs: number): void {
    const tally = this.spanAt(atMs);
    this.set(atMs, {...tally, completed: tally.completed + 1});
  }

  /** Adds a run that broke off as a crash breaks it off. */
  addBroken(atMs: number): void {
    const tally = this.spanAt(atMs);
    this.set(atMs, {...tally, broken: tally.broken + 1});
  }

  /** Adds a crash, which must not be known. */
  addCrash(atMs: number, target: string): void {
    const tally = this.spanAt(atMs);
    this.set(atMs, {...tally, crashed: [...tally.crashed, target]});
  }

  /** @returns What happened between two moments, to a second. */
  within(fromMs: number, toMs: number): RunTally {
    let sum = NOTHING;
    for (let span = spanOf(fromMs); span <= spanOf(toMs); span++) {
      const tally = this.spans.get(span);
      if (tally) sum = sumOf(sum, tally);
    }
    return sum;
  }

  private spanAt(atMs: number): RunTally {
    return this.spans.get(spanOf(atMs)) ?? NOTHING;
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

function sumOf(a: RunTally, b: RunTally): RunTally {
  return {
    completed: a.completed + b.completed,
    broken: a.broken + b.broken,
    crashed: [...a.crashed, ...b.crashed],
  };
}
