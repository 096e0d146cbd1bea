/** `npm run matrix`: runs the fault matrix and prints it. */
import {writeFile} from 'node:fs/promises';
import {Worker} from 'node:worker_threads';
import yargs from 'yargs';
import {FAULTS} from './faults.js';
import {summarize} from './matrix.js';
import type {Cell} from './matrix.js';
import {matrixPage, overview, problems} from './matrix_table.js';

const WORKERS = 4;
const PAGE = new URL('../../../../../docs/FAULT_MATRIX.md', import.meta.url);

/**
 * @param argv - Arguments behind the name of the program.
 * @returns The exit code: 0 when every promise held.
 */
export async function runMatrixCommand(
  argv: readonly string[],
): Promise<number> {
  const args = await yargs([...argv])
    .scriptName('matrix')
    .option('json', {type: 'boolean', describe: 'print the figures as JSON'})
    .option('write', {type: 'boolean', describe: 'write the page'})
    .strict()
    .parse();
  const cells = await runRows();
  if (args.write) await writeFile(PAGE, matrixPage(cells));
  const summary = summarize(cells);
  const lines = args.json
    ? [JSON.stringify(summary)]
    : [...overview(cells), '', ...problems(cells), JSON.stringify(summary)];
  process.stdout.write(lines.join('\n') + '\n');
  return summary.failed === 0 ? 0 : 1;
}

/** Rows do not depend on each other: a few threads share them. */
async function runRows(): Promise<readonly Cell[]> {
  const rows: (readonly Cell[])[] = [];
  let next = 0;
  const work = async () => {
    const worker = new Worker(new URL('./matrix_worker.js', import.meta.url));
    while (next < FAULTS.length) {
      const row = next++;
      rows[row] = await cellsOf(worker, row);
    }
    await worker.terminate();
  };
  await Promise.all(Array.from({length: WORKERS}, work));
  return rows.flat();
}

function cellsOf(worker: Worker, row: number): Promise<readonly Cell[]> {
  return new Promise((resolve, reject) => {
    worker.once('message', resolve);
    worker.once('error', reject);
    worker.postMessage(row);
  });
}
