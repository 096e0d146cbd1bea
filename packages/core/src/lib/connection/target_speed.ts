/**
 * What is known of the speed of one target, relative to its service: alone and
 * while nearly full, from runs of this host and from what other hosts tell.
 */
import {SlownessFilter} from './slowness_filter.js';

/** Runs at one target relative to what its service usually takes. */
export interface SpeedEvidence {
  /** Mean logarithm of their times, relative to the service. */
  readonly logRatio: number;
  /** Number of measured parts of runs. */
  readonly count: number;
  /** Whether the target was nearly full. */
  readonly nearlyFull: boolean;
}

/** Logarithms of the slowness of a target. */
export interface LogSlowness {
  readonly regular: number;
  /** What is added while the target is nearly full. */
  readonly extraWhenFull: number;
  /**
   * How far from the truth `regular` may be, relative to an estimate from many
   * samples.
   */
  readonly uncertainty: number;
}

/** Name of this host as a source of evidence. */
export const OWN_RUNS = '';

/**
 * Number of samples, and of runs, after which an estimate has its usual
 * accuracy. Parts of one run have in common what is odd about it.
 */
const USUAL_SAMPLES = 5;
/** Numbers of samples before the estimates are used at all. */
const MIN_SAMPLES = 2;
const MIN_EXTRA_SAMPLES = 3;
/** How long a run at a target that isn't nearly full tells of it, in ms. */
const RECENT_MS = 2000;
/**
 * Largest logarithm that another host's word counts with, while no second
 * source has runs at the target: its link to the target may be what is slow.
 */
const MAX_SINGLE_SOURCE_LOG = 0.1;
/** How long a second source counts, in milliseconds. */
const SOURCE_LIFETIME_MS = 5000;

/** Estimate for one target. */
export class TargetSpeed {
  private readonly regular = new SlownessFilter();
  private readonly extra = new SlownessFilter();
  private lastSource: string | undefined;
  private lastSourceAt = -Infinity;
  /** Last evidence of a source other than the last one. */
  private otherSourceAt = -Infinity;
  private changedAt = -Infinity;
  private runs = 0;
  /** Last evidence from a time at which the target was not nearly full. */
  private regularAt = -Infinity;

  /** Whether there are enough samples for the usual accuracy. */
  get isKnown(): boolean {
    return this.regular.samples >= USUAL_SAMPLES;
  }

  /** Time of the last sample, in milliseconds. */
  get lastSampleAt(): number {
    return this.changedAt;
  }

  /**
   * @param now - Current time, in milliseconds.
   * @returns The estimate; 0 for what is not known.
   */
  valueAt(now: number): LogSlowness {
    const {samples} = this.regular;
    const regular = samples >= MIN_SAMPLES ? this.regular.valueAt(now) : 0;
    const extra =
      this.extra.samples >= MIN_EXTRA_SAMPLES ? this.extra.valueAt(now) : 0;
    // While all runs find the target nearly full, it may be slow at any load.
    const isFullOnly = now - this.regularAt > RECENT_MS;
    return {
      regular: isFullOnly ? regular + extra : regular,
      extraWhenFull: isFullOnly ? 0 : extra,
      uncertainty: Math.sqrt(Math.max(1, USUAL_SAMPLES / this.runs)),
    };
  }

  /**
   * @param nearlyFull - Whether the target is nearly full.
   * @param now - Current time, in milliseconds.
   * @returns The logarithm that a run is expected to have, known or not.
   */
  expectedAt(nearlyFull: boolean, now: number): number {
    const regular = this.regular.valueAt(now);
    return nearlyFull && this.isKnown
      ? regular + this.extra.valueAt(now)
      : regular;
  }

  /**
   * @param evidence - Runs at this target.
   * @param source - Host that tells of them; {@link OWN_RUNS} for this host.
   * @param now - Current time, in milliseconds.
   * @param isNewRun - Whether it is the first that is told of these runs.
   */
  add(
    evidence: SpeedEvidence,
    source: string,
    now: number,
    isNewRun = true,
  ): void {
    if (this.isRepeated(source, now)) return;
    const {count, nearlyFull} = evidence;
    const limit =
      source === OWN_RUNS || this.hasOtherSource(source, now)
        ? Infinity
        : MAX_SINGLE_SOURCE_LOG;
    const logRatio = Math.max(-limit, Math.min(limit, evidence.logRatio));
    this.recordSource(source, now);
    this.changedAt = now;
    if (isNewRun) this.runs++;
    if (!nearlyFull) this.regularAt = now;
    // Until the speed of the target alone is known, all its runs tell of that.
    if (nearlyFull && this.isKnown)
      this.extra.add(logRatio - this.regular.valueAt(now), count, now);
    else this.regular.add(logRatio, count, now);
  }

  /**
   * Moves the estimate because its reference has moved.
   *
   * @param by - Added to the logarithm.
   */
  shift(by: number): void {
    this.regular.shift(by);
  }

  /**
   * Whether another host tells of the target again before any other source. A
   * host that stands still by turns would otherwise outweigh all that have
   * fewer runs there.
   */
  private isRepeated(source: string, now: number): boolean {
    return (
      source !== OWN_RUNS &&
      source === this.lastSource &&
      now - this.lastSourceAt < SOURCE_LIFETIME_MS
    );
  }

  private hasOtherSource(source: string, now: number): boolean {
    const at =
      this.lastSource === source ? this.otherSourceAt : this.lastSourceAt;
    return now - at < SOURCE_LIFETIME_MS;
  }

  private recordSource(source: string, now: number): void {
    if (source !== this.lastSource) this.otherSourceAt = this.lastSourceAt;
    this.lastSource = source;
    this.lastSourceAt = now;
  }
}
