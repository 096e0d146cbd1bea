/**
 * Estimates one number, the logarithm of how much slower a target is than its
 * peers, from samples of which some are odd.
 *
 * Guards against two opposite errors: one odd run must not move the estimate
 * far, and a target that turns five times slower for a few seconds must be
 * known as slow within a few runs. A sample far from the estimate is therefore
 * clipped, and only further ones on the same side count fully.
 */

/**
 * Weight of a sample while the samples agree with the estimate. About ten of
 * them contribute.
 */
const REGULAR_WEIGHT = 0.1;
/** Largest weight of a sample during a change. */
const MAX_WEIGHT = 0.6;
/** Distance from the estimate beyond which a sample is odd: a third more. */
const ODD_DISTANCE = 0.3;
/**
 * Largest distance that a single odd sample counts with. Of two sources of
 * which one sees each run as odd, it keeps the estimate near the other.
 */
const MAX_SINGLE_DISTANCE = 0.15;
/** Largest distance of any sample: e times as slow or as fast. */
const MAX_DISTANCE = 1;
/** Estimates are bounded to a factor of about seven. */
const MAX_ESTIMATE = 2;
/** Number of samples that count as one at most, if they come together. */
const MAX_COUNT = 4;
/** Time without a sample after which the estimate fades, in milliseconds. */
const FADE_AFTER_MS = 5000;
/**
 * Time in which half of the estimate fades, in milliseconds. A target that was
 * slow for a while gets few requests, and must get some again to show that it
 * no longer is.
 */
const FADE_HALF_LIFE_MS = 6000;

/** Robust moving mean that adapts quickly after a change. */
export class SlownessFilter {
  private estimate = 0;
  private samplesSeen = 0;
  /** Consecutive odd samples on the same side; negative below the estimate. */
  private oddSamples = 0;
  private fadesFrom = 0;

  /** Number of samples, each report of several counted as one. */
  get samples(): number {
    return this.samplesSeen;
  }

  /**
   * @param now - Current time, in milliseconds.
   * @returns The estimate, 0 if nothing is known.
   */
  valueAt(now: number): number {
    const fadingMs = now - this.fadesFrom;
    if (fadingMs <= 0) return this.estimate;
    return this.estimate * 2 ** (-fadingMs / FADE_HALF_LIFE_MS);
  }

  /**
   * @param logRatio - Logarithm of the sample relative to the peers.
   * @param count - Number of runs that it is the mean of.
   * @param now - Current time, in milliseconds.
   */
  add(logRatio: number, count: number, now: number): void {
    const before = this.valueAt(now);
    const distance = logRatio - before;
    this.countOdd(distance);
    const streak = Math.abs(this.oddSamples);
    const limit = streak === 1 ? MAX_SINGLE_DISTANCE : MAX_DISTANCE;
    const clipped = clamp(distance, limit);
    const single = Math.max(
      Math.min(REGULAR_WEIGHT * Math.max(1, streak), MAX_WEIGHT),
      // The first samples share their weight with the assumption that the
      // target is like its peers.
      1 / (this.samplesSeen + 2),
    );
    const counted = streak === 1 ? 1 : Math.min(count, MAX_COUNT);
    const weight = 1 - (1 - single) ** counted;
    this.estimate = clamp(before + clipped * weight, MAX_ESTIMATE);
    this.samplesSeen++;
    this.fadesFrom = now + FADE_AFTER_MS;
  }

  /**
   * Moves the estimate because its reference has moved.
   *
   * @param by - Added to the estimate.
   */
  shift(by: number): void {
    this.estimate += by;
  }

  private countOdd(distance: number): void {
    const side = Math.sign(distance);
    if (Math.abs(distance) < ODD_DISTANCE) this.oddSamples = 0;
    else if (side === Math.sign(this.oddSamples)) this.oddSamples += side;
    else this.oddSamples = side;
  }
}

function clamp(value: number, limit: number): number {
  return Math.max(-limit, Math.min(limit, value));
}
