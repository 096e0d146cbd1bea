/**
 * Counters, gauges and latency histograms of one process, exposed in Prometheus
 * text format. Latencies are recorded in HDR histograms, which keep the tail of
 * the distribution.
 */
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {Counter, Gauge, Registry} from 'prom-client';
import type {Counters, Labels, Latencies} from '@oathead/core';

const PREFIX = 'oathead_';
const MICROS_PER_MS = 1000;
const MAX_LATENCY_MICROSECONDS = 3_600_000_000;
const SIGNIFICANT_VALUE_DIGITS = 3;
const QUANTILES = [0.5, 0.95, 0.99, 0.999] as const;
const PERCENT = 100;

interface LabelledHistogram {
  readonly name: string;
  readonly labels: Labels;
  readonly histogram: Histogram;
  sumMs: number;
}

/** The metrics of one process. */
export class Metrics implements Counters, Latencies {
  private readonly registry = new Registry();
  private readonly counters = new Map<string, Counter>();
  private readonly labelNames = new Map<string, string>();
  private readonly histograms = new Map<string, LabelledHistogram>();

  /**
   * {@inheritDoc Counters.count}
   *
   * The first call for a counter fixes its label names, because Prometheus
   * client libraries reject new label names on an existing counter and counting
   * must never throw. Calls with other label names are counted in
   * `counter_label_mismatches` instead.
   */
  count(name: string, labels: Labels = {}, by = 1): void {
    const names = Object.keys(labels);
    const expectedNames = this.labelNames.get(name) ?? names.join();
    this.labelNames.set(name, expectedNames);
    if (expectedNames !== names.join()) {
      this.count('counter_label_mismatches', {name}, by);
      return;
    }
    let counter = this.counters.get(name);
    if (!counter) {
      counter = new Counter({
        name: `${PREFIX}${name}_total`,
        help: name.replaceAll('_', ' '),
        labelNames: names,
        registers: [this.registry],
      });
      this.counters.set(name, counter);
    }
    counter.inc(labels, by);
  }

  /** {@inheritDoc Latencies.record} */
  record(name: string, ms: number, labels: Labels = {}): void {
    const key = name + JSON.stringify(labels);
    let entry = this.histograms.get(key);
    if (!entry) {
      entry = {name, labels, histogram: newLatencyHistogram(), sumMs: 0};
      this.histograms.set(key, entry);
    }
    recordLatency(entry.histogram, ms);
    entry.sumMs += ms;
  }

  /**
   * Registers a gauge whose value is read at each collection of the metrics.
   *
   * @param name - Metric name in snake_case.
   * @param read - Returns the current value.
   */
  gauge(name: string, read: () => number): void {
    new Gauge({
      name: PREFIX + name,
      help: name.replaceAll('_', ' '),
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }

  /** @returns All metrics in Prometheus text format. */
  async text(): Promise<string> {
    const entries = [...this.histograms.values()];
    const names = new Set(entries.map(entry => entry.name));
    const summaries = [...names].map(name =>
      formatSummary(
        name,
        entries.filter(entry => entry.name === name),
      ),
    );
    return [await this.registry.metrics(), ...summaries].join('\n');
  }
}

/** @returns A histogram for latencies between one microsecond and one hour. */
export function newLatencyHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_VALUE_DIGITS,
    bitBucketSize: 32,
  });
}

/**
 * Records a latency, clamped to the range of the histogram.
 *
 * @param histogram - Created by {@link newLatencyHistogram}.
 * @param ms - Latency in milliseconds.
 */
export function recordLatency(histogram: Histogram, ms: number): void {
  const microseconds = Math.max(1, Math.round(ms * MICROS_PER_MS));
  histogram.recordValue(Math.min(microseconds, MAX_LATENCY_MICROSECONDS));
}

/**
 * @param histogram - Created by {@link newLatencyHistogram}.
 * @param quantile - Between 0 and 1.
 * @returns The latency at the quantile, in milliseconds.
 */
export function latencyAt(histogram: Histogram, quantile: number): number {
  return histogram.getValueAtPercentile(quantile * PERCENT) / MICROS_PER_MS;
}

function formatSummary(
  name: string,
  entries: readonly LabelledHistogram[],
): string {
  const metric = `${PREFIX}${name}_ms`;
  const lines = [`# HELP ${metric} ${name.replaceAll('_', ' ')}`];
  lines.push(`# TYPE ${metric} summary`);
  for (const {labels, histogram, sumMs} of entries) {
    for (const quantile of QUANTILES) {
      const text = formatLabels({...labels, quantile: String(quantile)});
      lines.push(`${metric}${text} ${latencyAt(histogram, quantile)}`);
    }
    lines.push(`${metric}_sum${formatLabels(labels)} ${sumMs}`);
    lines.push(
      `${metric}_count${formatLabels(labels)} ${histogram.totalCount}`,
    );
  }
  return lines.join('\n') + '\n';
}

function formatLabels(labels: Labels): string {
  const pairs = Object.entries(labels);
  if (pairs.length === 0) return '';
  return `{${pairs.map(([k, v]) => `${k}=${JSON.stringify(v)}`).join(',')}}`;
}
