/** The command `npm run soak`. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {systemSeed} from '@oathead/core';
import yargs from 'yargs';
import {KEPT_SEEDS} from './kept_seeds.js';
import {LOAD_SHAPES, type LoadShapeName} from './load_shape.js';
import {runSoak, type SoakReport} from './run_soak.js';
import {FAULT_KINDS, type FaultKind, type SoakOptions} from './soak_plan.js';

const MS_PER_MINUTE = 60_000;

/**
 * Runs seeds one after another until one breaks a promise or the time is over.
 *
 * @param args - The words of the command line.
 * @returns The exit code: 1 when a promise was broken.
 */
export async function runSoakCommand(args: readonly string[]): Promise<number> {
  const options = await yargs(args)
    .scriptName('npm run soak --')
    .usage('$0 [options]\n\nThe real programs under faults from outside.')
    .options({
      seed: {
        type: 'number',
        describe:
          'First seed; each further run takes the next. Drawn if left out',
      },
      minutes: {
        type: 'number',
        default: 0.5,
        describe: 'Load with faults in each run',
      },
      runs: {type: 'number', default: 1, describe: 'How many seeds'},
      programs: {type: 'number', default: 4, describe: 'Serving programs'},
      engines: {type: 'number', default: 4, describe: 'Model servers'},
      kinds: {
        type: 'string',
        array: true,
        choices: FAULT_KINDS,
        describe:
          'Kinds of faults; by default all that no run has to name itself',
      },
      load: {
        type: 'string',
        choices: Object.keys(LOAD_SHAPES) as readonly LoadShapeName[],
        default: 'steady' as LoadShapeName,
        describe: 'What callers ask for',
      },
      kept: {
        type: 'boolean',
        default: false,
        describe: 'The seeds that broke a promise once, in place of others',
      },
      out: {
        type: 'string',
        default: 'target/soak',
        describe: 'Folder for reports and logs of runs that broke a promise',
      },
    })
    .strict()
    .version(false)
    .parse();
  const first = options.seed ?? Math.abs(systemSeed());
  const drawn = [...Array(options.runs).keys()].map(i => ({
    seed: first + i,
    loadMs: options.minutes * MS_PER_MINUTE,
    programs: options.programs,
    engines: options.engines,
    kinds: options.kinds as readonly FaultKind[] | undefined,
    load: options.load,
  }));
  const kept = KEPT_SEEDS.map(seed => seed.options);
  return playAll(options.kept ? kept : drawn, options.out);
}

/** @returns The exit code. */
async function playAll(
  runs: readonly SoakOptions[],
  folder: string,
): Promise<number> {
  let broken = 0;
  for (const options of runs) {
    const report = await runSoak(options);
    process.stdout.write(`${summaryOf(report)}\n`);
    if (report.violations.length === 0) continue;
    broken++;
    keep(report, folder);
  }
  process.stdout.write(
    `${runs.length} runs, ${broken} with a broken promise\n`,
  );
  return broken > 0 ? 1 : 0;
}

function summaryOf(report: SoakReport): string {
  const {options, faults, requests, jobs, takeUps, violations} = report;
  const broken = violations.map(
    ({promise, found}) =>
      `\n  BROKEN ${promise}: ${found.length}, first: ${found[0]}`,
  );
  return (
    `seed ${options.seed}: ${faults.length} faults, ` +
    `${JSON.stringify(requests)}, jobs ${JSON.stringify(jobs)}` +
    (takeUps.length > 0 ? `, take-ups ${JSON.stringify(takeUps)}` : '') +
    broken.join('')
  );
}

function keep(report: SoakReport, folder: string): void {
  const {logs, ...rest} = report;
  const to = join(folder, String(report.options.seed));
  mkdirSync(to, {recursive: true});
  writeFileSync(join(to, 'report.json'), JSON.stringify(rest, null, 2));
  for (const [name, text] of Object.entries(logs))
    writeFileSync(join(to, `${name}.log`), text);
}
