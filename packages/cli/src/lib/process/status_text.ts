/** A status report on one screen. */
import type {ResourceStatus, Spread, StatusReport} from '@oathead/config';
import {RESOURCE_KINDS} from '@oathead/core';
import {spanText} from './ages.js';
import {conditionsText} from './resource_table.js';
import {table} from './table.js';

const MAX_ROWS = 10;

interface Section {
  readonly title: string;
  readonly text: string;
}

/**
 * @param report - What the server says.
 * @param now - Milliseconds since the Unix epoch.
 * @returns The report as text. Sections with nothing to say are left out.
 */
export function statusText(report: StatusReport, now: number): string {
  const sections: readonly (Section | undefined)[] = [
    {title: `Revision ${report.revision}`, text: declaredText(report)},
    {title: 'In force at', text: spreadsText(report)},
    statuses('Models', report.models, now),
    statuses('Rollouts', report.rollouts, now),
    names('Leaving', report.leaving),
    statuses('In trouble', report.troubled, now),
    rows('Jobs at risk', JOB_HEAD, jobRows(report, now)),
    rows('Refused in the last minutes', REFUSAL_HEAD, refusalRows(report, now)),
  ];
  return sections
    .filter(section => section !== undefined)
    .map(({title, text}) => `${title}\n${indent(text)}`)
    .join('\n\n');
}

const JOB_HEAD = ['caller', 'job', 'due in', 'done', 'of', 'why'];
const REFUSAL_HEAD = ['reason', 'pool', 'count', 'last'];

function declaredText({declared}: StatusReport): string {
  return RESOURCE_KINDS.map(kind => `${declared[kind]} ${kind}`).join(', ');
}

function spreadsText({inForce}: StatusReport): string {
  return table(
    ['', 'current', 'behind', 'not heard', 'such as'],
    [
      spreadRow('entries', inForce.entries),
      spreadRow('targets', inForce.targets),
    ],
  );
}

function spreadRow(
  title: string,
  {current, behind, unknown, examples}: Spread,
): readonly (string | number)[] {
  return [title, current, behind, unknown, examples.join(' ')];
}

function statuses(
  title: string,
  resources: readonly ResourceStatus[],
  now: number,
): Section | undefined {
  return rows(
    title,
    ['name', 'conditions'],
    resources.map(({name, conditions}) => [
      name,
      conditionsText(conditions, now),
    ]),
  );
}

function names(title: string, all: readonly string[]): Section | undefined {
  if (all.length === 0) return undefined;
  const text = all.slice(0, MAX_ROWS).join(' ') + more(all.length);
  return {title, text};
}

function rows(
  title: string,
  head: readonly string[],
  all: readonly (readonly (string | number)[])[],
): Section | undefined {
  if (all.length === 0) return undefined;
  const text = table(head, all.slice(0, MAX_ROWS)) + more(all.length);
  return {title, text};
}

function more(count: number): string {
  return count > MAX_ROWS ? `\nand ${count - MAX_ROWS} more` : '';
}

function jobRows({jobsAtRisk}: StatusReport, now: number) {
  return jobsAtRisk.map(({caller, job, dueAt, done, items, reason}) => [
    caller,
    job,
    spanText(dueAt - now),
    done,
    items,
    reason,
  ]);
}

function refusalRows({refusals}: StatusReport, now: number) {
  return refusals.map(({kind, pool, count, lastAt}) => [
    kind,
    pool ?? '',
    count,
    `${spanText(now - lastAt)} ago`,
  ]);
}

function indent(text: string): string {
  return text.replace(/^(?=.)/gm, '  ');
}
