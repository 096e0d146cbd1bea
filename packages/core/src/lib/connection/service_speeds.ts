/**
 * Speeds of the targets of one service relative to each other.
 *
 * Answers the load of a service whose targets are unlike: with speeds of 0.6,
 * 1.0 and 1.6, a target that gets as many requests as the others is full while
 * the fast ones have free slots. Targets that are alike within what noise makes
 * count as exactly equal, so that nothing changes for them.
 */
import {LoadBaselines, NEARLY_FULL, type LoadBand} from './load_baselines.js';
import {
  OWN_RUNS,
  TargetSpeed,
  type LogSlowness,
  type SpeedEvidence,
} from './target_speed.js';

/** Time that a part of a run took. */
export interface SpeedSample {
  /** Kind of work; times are compared only within one kind. */
  readonly kind: string;
  /** Time for one unit of work, in milliseconds. */
  readonly ms: number;
  /** How full the target was. */
  readonly band: LoadBand;
  /** Whether it is the first part of its run that is measured. */
  readonly isNewRun: boolean;
}

/** Slowness of a target: 1 if it is like its service, 2 if it takes twice. */
export interface Slowness {
  readonly regular: number;
  /** The same while it is nearly full. */
  readonly nearlyFull: number;
}

/** Slowness of a target that is like its service, or not known. */
export const LIKE_ITS_SERVICE: Slowness = {regular: 1, nearlyFull: 1};

/**
 * Maximum age of the result that decisions use, in milliseconds, and what it
 * may be older for each target: a new result looks at all of them.
 */
const REFRESH_MS = 250;
const REFRESH_MS_PER_TARGET = 0.25;
/** Smallest dead band, as a logarithm: a fifth. */
const MIN_DEAD_BAND = 0.2;
/** Dead band relative to the mean deviation of a run from its estimate. */
const DEAD_BAND_DEVIATIONS = 2.8;
/** Share of the dead band below which a target is like its service again. */
const LEAVE_SHARE = 0.6;
/** Weight of the newest deviation. */
const DEVIATION_WEIGHT = 0.02;
/** Deviation that is assumed at first, and the largest that counts. */
const INITIAL_DEVIATION = 0.12;
const MAX_DEVIATION = 1;
/** Time without a run after which a target is forgotten, in milliseconds. */
const TARGET_LIFETIME_MS = 60_000;

/**
 * How long hosts tell each other of their runs after a target has looked
 * unlike, in milliseconds.
 */
const TELL_MS = 5000;

/**
 * Distance of a single sample from what is expected at which they tell each
 * other at once: twice as slow or as fast.
 */
const TELL_DISTANCE = 0.7;

/** Estimates and decides which targets of one service are unlike the others. */
export class ServiceSpeeds {
  private readonly baselines = new LoadBaselines();
  private readonly targets = new Map<string, TargetSpeed>();
  private deviation = INITIAL_DEVIATION;
  private unlike: ReadonlyMap<string, Slowness> = new Map();
  private refreshedAt = -Infinity;
  private tellUntil = -Infinity;

  /**
   * @param target - Key of the target.
   * @param sample - What a run of this host there has shown.
   * @param now - Current time, in milliseconds.
   * @returns What other hosts can be told; undefined if there is nothing to
   *     compare the sample with.
   */
  record(
    target: string,
    {kind, ms, band, isNewRun}: SpeedSample,
    now: number,
  ): SpeedEvidence | undefined {
    if (!(ms > 0) || !Number.isFinite(ms)) return undefined;
    const nearlyFull = band === NEARLY_FULL;
    const speed = this.speedOf(target);
    const expected = speed.expectedAt(nearlyFull, now);
    const logRatio = this.baselines.add(kind, band, Math.log(ms), expected);
    if (logRatio === undefined) return undefined;
    const distance = logRatio - expected;
    if (speed.isKnown) this.recordDeviation(distance);
    if (Math.abs(distance) > TELL_DISTANCE) this.tellUntil = now + TELL_MS;
    const evidence = {logRatio, count: 1, nearlyFull};
    speed.add(evidence, OWN_RUNS, now, isNewRun);
    return evidence;
  }

  /**
   * @param target - Key of the target.
   * @param evidence - What another host tells of its runs there.
   * @param source - The other host.
   * @param now - Current time, in milliseconds.
   */
  addReported(
    target: string,
    evidence: SpeedEvidence,
    source: string,
    now: number,
  ): void {
    this.speedOf(target).add(evidence, source, now);
  }

  /**
   * @param target - Key of the target.
   * @param now - Current time, in milliseconds.
   * @returns Its slowness, exactly 1 within the dead band.
   */
  slownessOf(target: string, now: number): Slowness {
    this.refresh(now);
    return this.unlike.get(target) ?? LIKE_ITS_SERVICE;
  }

  /**
   * @param now - Current time, in milliseconds.
   * @returns The targets that are unlike the others, with their slowness.
   */
  unlikeAt(now: number): ReadonlyMap<string, Slowness> {
    this.refresh(now);
    return this.unlike;
  }

  /**
   * @param now - Current time, in milliseconds.
   * @returns Whether hosts should tell each other of their runs, because some
   *     target looks unlike the others, be it from a few runs only.
   */
  isWorthTelling(now: number): boolean {
    this.refresh(now);
    return now < this.tellUntil;
  }

  /** @param target - Key of a target that is gone or has started anew. */
  remove(target: string): void {
    this.targets.delete(target);
    if (!this.unlike.has(target)) return;
    const left = new Map(this.unlike);
    left.delete(target);
    this.unlike = left;
  }

  private recordDeviation(distance: number): void {
    const deviation = Math.min(MAX_DEVIATION, Math.abs(distance));
    this.deviation += (deviation - this.deviation) * DEVIATION_WEIGHT;
  }

  private refresh(now: number): void {
    const intervalMs = REFRESH_MS + this.targets.size * REFRESH_MS_PER_TARGET;
    if (now - this.refreshedAt < intervalMs) return;
    this.refreshedAt = now;
    for (const [target, speed] of this.targets)
      if (now - speed.lastSampleAt > TARGET_LIFETIME_MS) this.remove(target);
    this.alignToMedian(now);
    const unlike = new Map<string, Slowness>();
    for (const [target, speed] of this.targets) {
      const value = speed.valueAt(now);
      const slowness = this.outsideDeadBand(target, value);
      if (slowness) unlike.set(target, slowness);
      if (slowness || this.isOutside(Math.abs(value.regular), false))
        this.tellUntil = now + TELL_MS;
    }
    this.unlike = unlike;
  }

  private outsideDeadBand(
    target: string,
    {regular, extraWhenFull, uncertainty}: LogSlowness,
  ): Slowness | undefined {
    const before = this.unlike.get(target);
    const wasUnlike = before !== undefined && before.regular !== 1;
    const wasSlowWhenFull =
      before !== undefined && before.nearlyFull > before.regular;
    const distance = Math.abs(regular) / uncertainty;
    const base = this.isOutside(distance, wasUnlike) ? regular : 0;
    const extra = this.isOutside(extraWhenFull, wasSlowWhenFull)
      ? extraWhenFull
      : 0;
    if (base === 0 && extra === 0) return undefined;
    return {regular: Math.exp(base), nearlyFull: Math.exp(base + extra)};
  }

  private isOutside(distance: number, wasOutside: boolean): boolean {
    const band = Math.max(MIN_DEAD_BAND, this.deviation * DEAD_BAND_DEVIATIONS);
    return distance > band * (wasOutside ? LEAVE_SHARE : 1);
  }

  /**
   * Keeps the median target at 1. The hosts then mean the same by what they
   * tell each other, however fast their own links are.
   */
  private alignToMedian(now: number): void {
    const known = new Float64Array(this.targets.size);
    let count = 0;
    for (const speed of this.targets.values())
      if (speed.isKnown) known[count++] = speed.valueAt(now).regular;
    if (count < 2) return;
    const median = known.subarray(0, count).sort()[
      Math.floor((count - 1) / 2)
    ]!;
    for (const speed of this.targets.values()) speed.shift(-median);
    this.baselines.shift(median);
  }

  private speedOf(target: string): TargetSpeed {
    let speed = this.targets.get(target);
    if (!speed) {
      speed = new TargetSpeed();
      this.targets.set(target, speed);
    }
    return speed;
  }
}
