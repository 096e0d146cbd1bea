/** A report of a load for people. */
import {REPORT_QUANTILES} from './load_report.js';
import type {LatencyReport, LoadReport} from './load_report.js';

const NAME_WIDTH = 16;
const CELL_WIDTH = 11;
const PERCENT = 100;

/**
 * @param report - A report.
 * @returns Lines of text.
 */
export function loadReportText(report: LoadReport): string {
  const {pool, requestsPerSecond, seconds, sent, outcomes} = report;
  const quantiles = REPORT_QUANTILES.map(q => `p${q * PERCENT}`);
  const lines = [
    `${pool}: ${requestsPerSecond} requests a second for ${seconds} s`,
    `sent ${sent}: ${outcomesText(outcomes)}`,
    '',
    row('milliseconds', [...quantiles, 'max', 'count']),
    latencyRow('first token', report.firstToken),
    latencyRow('between tokens', report.betweenTokens),
    latencyRow('whole answer', report.whole),
  ];
  return lines.join('\n') + '\n';
}

function outcomesText(outcomes: Readonly<Record<string, number>>): string {
  const parts = Object.entries(outcomes)
    .sort(([, a], [, b]) => b - a)
    .map(([name, count]) => `${count} ${name}`);
  return parts.join(', ') || 'nothing ended';
}

function latencyRow(
  name: string,
  {quantiles, maxMs, count}: LatencyReport,
): string {
  const times = [...quantiles.map(({ms}) => ms), maxMs];
  const cells = times.map(ms => (count > 0 ? ms.toFixed(1) : '-'));
  return row(name, [...cells, String(count)]);
}

function row(name: string, cells: readonly string[]): string {
  const padded = cells.map(cell => cell.padStart(CELL_WIDTH));
  return name.padEnd(NAME_WIDTH) + padded.join('');
}
