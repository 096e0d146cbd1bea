/** A thread of the policy bench: runs what it is sent, one run at a time. */
import {parentPort} from 'node:worker_threads';
import {runPolicy} from './run_summary.js';
import type {RunOrder} from './run_summary.js';

parentPort?.on('message', (order: RunOrder) => {
  parentPort!.postMessage(runPolicy(order));
});
