/** The command line of the slopes. */
import {readFile, writeFile} from 'node:fs/promises';
import yargs from 'yargs';
import {capacityTable} from './capacity.js';
import {controlSlopes} from './control_slopes.js';
import {lossSlopes} from './loss_slopes.js';
import {memorySlopes} from './memory_slopes.js';
import {requestSlopes} from './process_slopes.js';
import type {Slope} from './slope.js';
import {betweenMarkers, slopesTable} from './slopes_text.js';
import {storeSlopes} from './store_slopes.js';
import {workSlopes} from './work_slopes.js';

const GROUPS = {
  work: workSlopes,
  store: storeSlopes,
  loss: lossSlopes,
  request: requestSlopes,
  memory: memorySlopes,
  control: controlSlopes,
} as const;

type Group = keyof typeof GROUPS;

const PAGE = 'docs/CAPACITY.md';
const DATA = 'docs/slopes.json';

/**
 * Measures slopes and shows, or writes, them and what the planned size costs.
 *
 * @param argv - Arguments of the command line.
 */
export async function main(argv: readonly string[]): Promise<void> {
  const names = Object.keys(GROUPS) as Group[];
  const {json, write, only} = await yargs([...argv])
    .scriptName('slopes')
    .option('json', {type: 'boolean', default: false, describe: 'As JSON'})
    .option('write', {
      type: 'boolean',
      default: false,
      describe: `Write the tables into ${PAGE}`,
    })
    .option('only', {
      choices: names,
      array: true,
      default: names,
      describe: 'Measure these groups',
    })
    .strict()
    .parseAsync();
  const measured: Slope[] = [];
  for (const group of only) {
    process.stderr.write(`measures ${group}\n`);
    measured.push(...(await GROUPS[group]()));
  }
  const slopes = write ? await writePage(measured) : measured;
  const text = json
    ? JSON.stringify(slopes)
    : `${slopesTable(slopes)}\n\n${capacityTable(slopes)}`;
  process.stdout.write(`${text}\n`);
}

/** Groups that were not measured now keep what they had. */
async function writePage(
  measured: readonly Slope[],
): Promise<readonly Slope[]> {
  const kept = JSON.parse(await readFile(DATA, 'utf8')) as readonly Slope[];
  const byId = new Map([...kept, ...measured].map(slope => [slope.id, slope]));
  const slopes = [...byId.values()];
  let page = await readFile(PAGE, 'utf8');
  page = betweenMarkers(page, 'capacity', capacityTable(slopes));
  page = betweenMarkers(page, 'slopes', slopesTable(slopes));
  await writeFile(PAGE, page);
  await writeFile(DATA, JSON.stringify(slopes, undefined, 2) + '\n');
  return slopes;
}
