/**
 * How long the targets of a service take for a request, learnt from runs that
 * found a free slot: what a wait for a slot added would count it twice.
 */

/** What a run takes at a target that is not full. */
export interface ServicePace {
  /** From sending to the first byte of the answer, in milliseconds. */
  readonly firstByteMs: number;
  /** From sending to the end of the answer, in milliseconds. */
  readonly runMs: number;
}

/** Weight of the newest run in the mean: some fifty runs count, so that one slow
 * target of a few does not stand for all. */
const NEWEST_WEIGHT = 0.02;
/** Runs before the mean is used; before them the newest weighs its share of
 * those that there were. */
const FIRST_RUNS = 5;

/** Keeps the pace of one service. */
export class PaceLearner {
  private runs = 0;
  private mean: ServicePace = {firstByteMs: 0, runMs: 0};

  /** What runs have taken lately; undefined: too few are known. */
  get pace(): ServicePace | undefined {
    return this.runs < FIRST_RUNS ? undefined : this.mean;
  }

  /** @param run - A run that found a free slot and was answered. */
  add(run: ServicePace): void {
    this.runs++;
    const weight = Math.max(NEWEST_WEIGHT, 1 / this.runs);
    this.mean = {
      firstByteMs: mix(this.mean.firstByteMs, run.firstByteMs, weight),
      runMs: mix(this.mean.runMs, run.runMs, weight),
    };
  }
}

function mix(mean: number, newest: number, weight: number): number {
  return mean + (newest - mean) * weight;
}
