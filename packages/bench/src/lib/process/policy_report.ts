/** What the policy bench says about each policy on each trace. */
import type {RunSummary} from './run_summary.js';
import {PERCENTILES} from './figures.js';

const P99 = PERCENTILES.indexOf(99);

/** One line of the report. */
export interface ReportRow {
  readonly trace: string;
  readonly policy: string;
  readonly seed: number;
  /** Batch tokens as a share of the idle bound. */
  readonly throughput: number;
  /** Batch items as a share of the idle bound. */
  readonly items: number;
  /** Ratios to online alone at p50, p95, p99, p99.9. */
  readonly firstToken: readonly number[];
  readonly betweenTokens: readonly number[];
  /** The larger of the two ratios at p99. */
  readonly harm: number;
  readonly run: RunSummary;
}

/**
 * @param runs - All runs of one trace and seed, online alone among them.
 * @returns The report of each.
 */
export function report(runs: readonly RunSummary[]): readonly ReportRow[] {
  const alone = runs.find(({policy}) => policy === 'alone');
  if (alone === undefined) return [];
  return runs.map(run => {
    const firstToken = ratios(run.firstTokenMs, alone.firstTokenMs);
    const betweenTokens = ratios(run.betweenTokensMs, alone.betweenTokensMs);
    return {
      trace: run.trace,
      policy: run.policy,
      seed: run.seed,
      throughput: run.batchTokens / Math.max(1, alone.bound.batchTokens),
      items: run.batchItems / Math.max(1, alone.bound.batchItems),
      firstToken,
      betweenTokens,
      harm: Math.max(firstToken[P99]!, betweenTokens[P99]!),
      run,
    };
  });
}

/**
 * The fixed cap that an operator would tune for a trace: the most throughput
 * within the accepted harm, or the least harm where none stays within it.
 *
 * @param rows - All rows of one trace and seed.
 * @returns Its row.
 */
export function tunedCap(rows: readonly ReportRow[]): ReportRow | undefined {
  const caps = rows.filter(({policy}) => policy.startsWith('cap-'));
  const within = caps.filter(({harm, run}) => harm <= run.maxHarm);
  if (within.length > 0) {
    return within.reduce((a, b) => (b.throughput > a.throughput ? b : a));
  }
  if (caps.length === 0) return undefined;
  return caps.reduce((a, b) => (b.harm < a.harm ? b : a));
}

/**
 * @param row - A policy.
 * @param rows - All rows of one trace and seed.
 * @returns Caps that do at least as much batch work for no more harm.
 */
export function dominatedBy(
  row: ReportRow,
  rows: readonly ReportRow[],
): readonly string[] {
  return rows
    .filter(({policy}) => policy.startsWith('cap-'))
    .filter(cap => cap.throughput >= row.throughput && cap.harm <= row.harm)
    .map(({policy}) => policy);
}

/**
 * @param rows - All rows of one trace and seed.
 * @returns The report as text.
 */
export function asText(rows: readonly ReportRow[]): string {
  const lines = rows.map(textRow);
  const tuned = tunedCap(rows);
  const own = rows.find(({policy}) => policy === 'oathead');
  if (tuned !== undefined && own !== undefined) {
    const better = dominatedBy(own, rows).join(', ') || 'none';
    lines.push(`  tuned cap: ${tuned.policy}; caps not worse: ${better}`);
  }
  return [HEADER, ...lines].join('\n');
}

const HEADER =
  'policy       tokens  items | first token p50 p95 p99 p99.9 | between tokens' +
  ' | refused retried wasted preempted | late jobs | goodput least jain prefix';

function textRow({
  policy,
  throughput,
  items,
  firstToken,
  betweenTokens,
  run,
}: ReportRow): string {
  return [
    policy.padEnd(12),
    number(throughput, 3),
    number(items, 3),
    '|',
    ...firstToken.map(ratio => number(ratio, 2)),
    '|',
    ...betweenTokens.map(ratio => number(ratio, 2)),
    '|',
    String(run.refused),
    String(run.retried),
    String(run.wastedTokens),
    String(run.preempted),
    '|',
    `${run.late} ${run.lateJobs}/${run.jobs}`,
    '|',
    number(run.goodput, 3),
    number(run.leastShare, 2),
    number(run.fairness, 3),
    number(run.prefixHits, 3),
  ].join(' ');
}

function number(value: number, digits: number): string {
  return value.toFixed(digits).padStart(digits + 3);
}

function ratios(
  values: readonly number[],
  base: readonly number[],
): readonly number[] {
  return values.map((value, at) => value / Math.max(1e-9, base[at]!));
}
