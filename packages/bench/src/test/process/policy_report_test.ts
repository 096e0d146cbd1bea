import test from 'ava';
import {dominatedBy, tunedCap} from '../../lib/process/policy_report.js';
import type {ReportRow} from '../../lib/process/policy_report.js';

function row(policy: string, throughput: number, harm: number): ReportRow {
  const run = {maxHarm: 1.1} as ReportRow['run'];
  return {
    trace: 'a',
    policy,
    seed: 1,
    throughput,
    items: throughput,
    firstToken: [],
    betweenTokens: [],
    harm,
    run,
  };
}

const ROWS = [
  row('oathead', 0.7, 1.05),
  row('cap-2', 0.1, 1.01),
  row('cap-8', 0.3, 1.09),
  row('cap-60', 0.9, 3),
];

test('the tuned cap does most within the accepted harm', t => {
  t.is(tunedCap(ROWS)!.policy, 'cap-8');
  t.is(
    tunedCap([row('cap-8', 0.3, 2), row('cap-2', 0.1, 1.5)])!.policy,
    'cap-2',
  );
});

test('a cap is not worse only when it is not worse in both measures', t => {
  t.deepEqual(dominatedBy(ROWS[0]!, ROWS), []);
  const better = row('cap-16', 0.8, 1.02);
  t.deepEqual(dominatedBy(ROWS[0]!, [...ROWS, better]), ['cap-16']);
});
