/** Runs rows of the matrix beside the others, one at a time. */
import {parentPort} from 'node:worker_threads';
import {FAULTS} from './faults.js';
import {runRow} from './matrix.js';

parentPort?.on('message', (row: number) => {
  void runRow(FAULTS[row]!).then(cells => parentPort?.postMessage(cells));
});
