/**
 * Counters and histograms of one process, as Prometheus text. Latencies are
 * kept in HDR histograms, which lose no tail.
 */
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {Counter, Gauge, Registry} from 'prom-client';
import type {Counters, Labels} from '@oathead/core';

const PREFIX = 'oathead_';
const MICROSECONDS = 1000;
const HIGHEST_MICROSECONDS = 3_600_000_000;
const SIGNIFICANT_DIGITS = 3;
const QUANTILES = [0.5, 0.95, 0.99, 0.999] as const;
const PERCENT = 100;

interface LabelledHistogram {
  readonly name: string;
  readonly labels: Labels;
  readonly histogram: Histogram;
  sumMs: number;
}

/** The metrics of one process. */
export class Metrics implements Counters {
  private readonly registry = new Registry();
  private readonly counters = new Map<string, Counter>();
  private readonly labelNames = new Map<string, string>();
  private readonly histograms = new Map<string, LabelledHistogram>();

  /**
   * {@inheritDoc Counters.count}
   *
   * Label names are part of the counter's identity here: Prometheus refuses to
   * add one to a counter that exists, and a call that counts must never fail.
   */
  count(name: string, labels: Labels = {}, by = 1): void {
    const names = Object.keys(labels);
    const known = this.labelNames.get(name) ?? names.join();
    this.labelNames.set(name, known);
    if (known !== names.join()) {
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

  /**
   * Records how long something took.
   *
   * @param name - What was timed, in snake_case, without unit.
   * @param ms - Milliseconds.
   * @param labels - What tells it from others of the name.
   */
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
   * Shows a value that is read whenever the metrics are.
   *
   * @param name - What it is, in snake_case.
   * @param read - Gives the value.
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
      summaryText(
        name,
        entries.filter(entry => entry.name === name),
      ),
    );
    return [await this.registry.metrics(), ...summaries].join('\n');
  }
}

/** @returns A histogram of latencies from a microsecond to an hour. */
export function newLatencyHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    bitBucketSize: 32,
  });
}

/**
 * @param histogram - Made by {@link newLatencyHistogram}.
 * @param ms - Milliseconds.
 */
export function recordLatency(histogram: Histogram, ms: number): void {
  const microseconds = Math.max(1, Math.round(ms * MICROSECONDS));
  histogram.recordValue(Math.min(microseconds, HIGHEST_MICROSECONDS));
}

/**
 * @param histogram - Made by {@link newLatencyHistogram}.
 * @param quantile - From 0 to 1.
 * @returns Milliseconds.
 */
export function latencyAt(histogram: Histogram, quantile: number): number {
  return histogram.getValueAtPercentile(quantile * PERCENT) / MICROSECONDS;
}

function summaryText(
  name: string,
  entries: readonly LabelledHistogram[],
): string {
  const metric = `${PREFIX}${name}_ms`;
  const lines = [`# HELP ${metric} ${name.replaceAll('_', ' ')}`];
  lines.push(`# TYPE ${metric} summary`);
  for (const {labels, histogram, sumMs} of entries) {
    for (const quantile of QUANTILES) {
      const text = labelText({...labels, quantile: String(quantile)});
      lines.push(`${metric}${text} ${latencyAt(histogram, quantile)}`);
    }
    lines.push(`${metric}_sum${labelText(labels)} ${sumMs}`);
    lines.push(`${metric}_count${labelText(labels)} ${histogram.totalCount}`);
  }
  return lines.join('\n') + '\n';
}

function labelText(labels: Labels): string {
  const pairs = Object.entries(labels);
  if (pairs.length === 0) return '';
  return `{${pairs.map(([k, v]) => `${k}=${JSON.stringify(v)}`).join(',')}}`;
}
