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

/** Quantiles of the last samples, of durations in milliseconds. */
export class RecentQuantile {
  private newer = emptyHistogram();
  private older = emptyHistogram();
  private cached: readonly number[] = [];
  private sinceCached = 0;

  /**
   * @param quantiles - Which, from 0 to 1, in ascending order.
   * @param windowSamples - Samples after which older ones are dropped.
   * @param refreshSamples - Samples after which the quantiles are worked out
   *     again.
   */
  constructor(
    private readonly quantiles: readonly number[],
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

  /** The quantiles, in milliseconds; empty before the first sample. */
  get values(): readonly number[] {
    if (this.sinceCached < this.refreshSamples && this.cached.length > 0) {
      return this.cached;
    }
    this.sinceCached = 0;
    this.cached = this.measure();
    return this.cached;
  }

  /** The highest of the quantiles, in milliseconds; 0 before the first sample. */
  get value(): number {
    return this.values.at(-1) ?? 0;
  }

  private measure(): readonly number[] {
    if (this.samples === 0) return [];
    const all = emptyHistogram();
    all.add(this.newer);
    all.add(this.older);
    return this.quantiles.map(
      quantile => all.getValueAtPercentile(quantile * 100) / UNITS_PER_MS,
    );
  }
}
