/**
 * Quantiles over a window of recent samples. The window consists of two HDR
 * histograms; the older one is dropped when the newer one is full.
 */
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';

/** The histograms count in microseconds. */
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

/** Quantiles of recent durations, in milliseconds. */
export class RecentQuantiles {
  private newer = emptyHistogram();
  private older = emptyHistogram();
  private cached: readonly number[] = [];
  private samplesSinceRefresh = 0;

  /**
   * @param quantiles - The quantiles to compute, from 0 to 1, ascending.
   * @param windowSamples - Number of samples per histogram. The quantiles cover
   *     between one and two times as many.
   * @param refreshSamples - Number of new samples after which the quantiles are
   *     computed again.
   */
  constructor(
    private readonly quantiles: readonly number[],
    private readonly windowSamples: number,
    private readonly refreshSamples: number,
  ) {}

  /** Number of samples in the window. */
  get samples(): number {
    return this.newer.totalCount + this.older.totalCount;
  }

  /**
   * Records samples.
   *
   * @param durationMs - A duration, in milliseconds.
   * @param count - Number of samples with this duration.
   */
  record(durationMs: number, count = 1): void {
    const units = Math.max(1, Math.round(durationMs * UNITS_PER_MS));
    this.newer.recordValueWithCount(units, count);
    this.samplesSinceRefresh += count;
    if (this.newer.totalCount < this.windowSamples) return;
    this.older = this.newer;
    this.newer = emptyHistogram();
  }

  /** The quantiles, in milliseconds; empty before the first sample. */
  get values(): readonly number[] {
    if (
      this.samplesSinceRefresh < this.refreshSamples &&
      this.cached.length > 0
    ) {
      return this.cached;
    }
    this.samplesSinceRefresh = 0;
    this.cached = this.compute();
    return this.cached;
  }

  /**
   * The highest of the quantiles, in milliseconds; 0 before the first sample.
   */
  get value(): number {
    return this.values.at(-1) ?? 0;
  }

  private compute(): readonly number[] {
    if (this.samples === 0) return [];
    const all = emptyHistogram();
    all.add(this.newer);
    all.add(this.older);
    return this.quantiles.map(
      quantile => all.getValueAtPercentile(quantile * 100) / UNITS_PER_MS,
    );
  }
}
