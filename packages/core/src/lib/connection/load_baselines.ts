/**
 * How long the targets of a service take for one unit of work, by the kind of
 * work and by how full the target is. It takes out of a sample what is no
 * property of the target: a fast target that gets most of the requests is
 * fuller than others, and would look slow.
 */

/** How full a target is: the quarter of its slots in use, from 0 to 3. */
export type LoadBand = 0 | 1 | 2 | 3;

/** The band of a target that is nearly full. */
export const NEARLY_FULL: LoadBand = 3;

const BANDS = 4;
/** Weight of the newest sample, once there are enough. */
const NEWEST_WEIGHT = 0.02;
/** Largest step by one sample: a third. */
const MAX_DISTANCE = 0.3;
/** Number of samples before the limit of the step holds. */
const FREE_SAMPLES = 5;
/** Largest number of kinds of work for each service. */
const MAX_KINDS = 8;

interface Baseline {
  log: number;
  samples: number;
}

/**
 * @param inFlight - Requests in flight at a target.
 * @param slots - Number of requests that it runs at once.
 * @returns The load band.
 */
export function loadBand(inFlight: number, slots: number): LoadBand {
  const quarter = Math.floor((inFlight * BANDS) / slots);
  return Math.max(0, Math.min(NEARLY_FULL, quarter)) as LoadBand;
}

/** Baselines of one service, as logarithms of milliseconds. */
export class LoadBaselines {
  private readonly kinds = new Map<string, Baseline[]>();

  /**
   * Adds a sample.
   *
   * @param kind - Kind of work; kinds beyond the first few are not measured.
   * @param band - How full the target was.
   * @param log - Logarithm of the time for one unit of work.
   * @param known - What of it is known to be due to the target.
   * @returns The sample relative to the baseline before it; undefined if
   *     there is none.
   */
  add(
    kind: string,
    band: LoadBand,
    log: number,
    known: number,
  ): number | undefined {
    const baseline = this.baselineOf(kind, band);
    if (!baseline) return undefined;
    const before = baseline.samples > 0 ? log - baseline.log : undefined;
    const distance = log - known - baseline.log;
    const isFree = baseline.samples < FREE_SAMPLES;
    const step = isFree
      ? distance
      : Math.max(-MAX_DISTANCE, Math.min(MAX_DISTANCE, distance));
    baseline.samples++;
    baseline.log += step * Math.max(NEWEST_WEIGHT, 1 / baseline.samples);
    return before;
  }

  /**
   * Moves all baselines.
   *
   * @param by - Added to their logarithms.
   */
  shift(by: number): void {
    for (const bands of this.kinds.values())
      for (const baseline of bands) baseline.log += by;
  }

  private baselineOf(kind: string, band: LoadBand): Baseline | undefined {
    let bands = this.kinds.get(kind);
    if (!bands) {
      if (this.kinds.size >= MAX_KINDS) return undefined;
      bands = Array.from({length: BANDS}, () => ({log: 0, samples: 0}));
      this.kinds.set(kind, bands);
    }
    return bands[band];
  }
}
