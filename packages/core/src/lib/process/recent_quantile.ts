/**
 * Quantiles of what was measured lately: two HDR histograms, of which the older
 * is dropped when the newer is full of samples.
 */
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';

const UNITS_PER_MS = 1000;
const SIGNIFICANT_DIGITS = 3;

function emptyHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 120_000 * UNITS_PER_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    bitBucketSize: 32,
    useWebAssembly: false,
  });
}

/** A quantile of the last samples, of durations in milliseconds. */
export class RecentQuantile {
  private newer = emptyHistogram();
  private older = emptyHistogram();
  private cached = 0;
  private sinceCached = 0;

  /**
   * @param quantile - Which, from 0 to 1.
   * @param windowSamples - Samples after which older ones are dropped.
   * @param refreshSamples - Samples after which the quantile is worked out
   *     again.
   */
  constructor(
    private readonly quantile: number,
    private readonly windowSamples: number,
    private readonly refreshSamples: number,
  ) {}

  /** How many samples stand behind the value. */
  get samples(): number {
    return this.newer.totalCount + this.older.totalCount;
  }

  /**
   * @param durationMs - A measured duration.
   * @param count - How many times it was measured.
   */
  record(durationMs: number, count = 1): void {
    const units = Math.max(1, Math.round(durationMs * UNITS_PER_MS));
    this.newer.recordValueWithCount(units, count);
    this.sinceCached += count;
    if (this.newer.totalCount < this.windowSamples) return;
    this.older = this.newer;
    this.newer = emptyHistogram();
  }

  /** The quantile, in milliseconds; 0 before the first sample. */
  get value(): number {
    if (this.sinceCached < this.refreshSamples && this.cached > 0) {
      return this.cached;
    }
    this.sinceCached = 0;
    this.cached = this.measure();
    return this.cached;
  }

  private measure(): number {
    if (this.samples === 0) return 0;
    const all = emptyHistogram();
    all.add(this.newer);
    all.add(this.older);
    return all.getValueAtPercentile(this.quantile * 100) / UNITS_PER_MS;
  }
}
