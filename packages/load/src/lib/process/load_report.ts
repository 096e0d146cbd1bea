/** What a load has come to, as plain data. */
import {latencyAt} from '@oathead/observe';
import type {Histogram} from 'hdr-histogram-js';
import type {LoadRecorder} from './load_recorder.js';

/** Quantiles that a report shows. */
export const REPORT_QUANTILES = [0.5, 0.95, 0.99, 0.999] as const;

/** A latency at a quantile. */
export interface QuantileMs {
  readonly quantile: number;
  readonly ms: number;
}

/** One latency of a load. */
export interface LatencyReport {
  readonly count: number;
  readonly quantiles: readonly QuantileMs[];
  readonly maxMs: number;
  /** Finer steps towards the tail, for the chart. */
  readonly curve: readonly QuantileMs[];
}

/** What a load has come to. */
export interface LoadReport {
  readonly pool: string;
  readonly requestsPerSecond: number;
  readonly seconds: number;
  readonly sent: number;
  readonly parts: number;
  readonly outcomes: Readonly<Record<string, number>>;
  readonly firstToken: LatencyReport;
  readonly betweenTokens: LatencyReport;
  readonly whole: LatencyReport;
}

/** What was asked for. */
export interface LoadHead {
  readonly pool: string;
  readonly requestsPerSecond: number;
  readonly seconds: number;
}

const US_PER_MS = 1_000;
/** Points of a curve for each halving of what is beyond. */
const POINTS_PER_HALVING = 4;

/**
 * @param head - What was asked for.
 * @param recorder - What was measured.
 * @returns The report.
 */
export function loadReport(head: LoadHead, recorder: LoadRecorder): LoadReport {
  return {
    ...head,
    sent: recorder.sent,
    parts: recorder.parts,
    outcomes: recorder.outcomes,
    firstToken: latencyReport(recorder.firstToken),
    betweenTokens: latencyReport(recorder.betweenTokens),
    whole: latencyReport(recorder.whole),
  };
}

function latencyReport(histogram: Histogram): LatencyReport {
  const at = (quantile: number) => ({
    quantile,
    ms: latencyAt(histogram, quantile),
  });
  const count = histogram.totalCount;
  return {
    count,
    quantiles: REPORT_QUANTILES.map(at),
    maxMs: histogram.maxValue / US_PER_MS,
    curve: curveQuantiles(count).map(at),
  };
}

/** As far into the tail as there are samples for. */
function curveQuantiles(count: number): readonly number[] {
  const steps = Math.floor(Math.log2(Math.max(1, count)) * POINTS_PER_HALVING);
  return Array.from(
    {length: steps + 1},
    (unused, i) => 1 - 2 ** (-i / POINTS_PER_HALVING),
  );
}
