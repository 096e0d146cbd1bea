/** Entry of `npm run bench:policy`. */
import {mkdir, writeFile} from 'node:fs/promises';
import {dirname} from 'node:path';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {frontierPlot} from './lib/process/frontier_plot.js';
import {asText, report} from './lib/process/policy_report.js';
import type {ReportRow} from './lib/process/policy_report.js';
import {runAll} from './lib/process/run_pool.js';
import {ALL_KNOWING, POLICIES} from './lib/process/run_summary.js';
import {WEIGHED_TRACE, WEIGHTED_POLICIES} from './lib/process/run_summary.js';
import type {RunOrder} from './lib/process/run_summary.js';
import {TRACE_KEYS, buildTrace} from './lib/process/traces.js';
import type {TraceKey} from './lib/process/traces.js';

const THREADS = 4;
const PLOT = 'docs/policy-frontier.svg';

const args = await yargs(hideBin(process.argv))
  .option('json', {type: 'boolean', default: false})
  .option('seed', {type: 'number', default: 1})
  .option('trace', {choices: TRACE_KEYS})
  .option('policy', {
    choices: [...POLICIES, ...WEIGHTED_POLICIES].map(({name}) => name),
  })
  .strict()
  .parse();

function ordersOf(trace: TraceKey): readonly RunOrder[] {
  const {seed} = args;
  const weights = trace === WEIGHED_TRACE ? WEIGHTED_POLICIES : [];
  const policies = [...POLICIES, ...weights];
  const chosen = policies
    .map(({name}) => name)
    .filter(name => !args.policy || name === 'alone' || name === args.policy);
  const names = trace === 'g' ? [...chosen, ALL_KNOWING] : chosen;
  return names.map(policy => ({trace, policy, seed}));
}

const traces = args.trace ? [args.trace] : TRACE_KEYS;
const runs = await runAll(traces.flatMap(ordersOf), THREADS);
const byTrace = traces.map(trace =>
  report(runs.filter(run => run.trace === trace)),
);
const rows: readonly ReportRow[] = byTrace.flat();

if (args.json) {
  process.stdout.write(`${JSON.stringify(rows, undefined, 2)}\n`);
} else {
  for (const [at, trace] of traces.entries()) {
    const {title} = buildTrace(trace, args.seed);
    process.stdout.write(`(${trace}) ${title}\n${asText(byTrace[at]!)}\n\n`);
  }
}
if (!args.trace && !args.policy) {
  await mkdir(dirname(PLOT), {recursive: true});
  await writeFile(PLOT, await frontierPlot(rows));
}
