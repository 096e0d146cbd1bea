/** Runs of the policy bench on a few threads. */
import {Worker} from 'node:worker_threads';
import type {RunOrder, RunSummary} from './run_summary.js';

const WORKER = new URL('./policy_worker.js', import.meta.url);

/**
 * @param orders - What to run.
 * @param threads - How many run at once.
 * @returns What was measured, in the order of the orders.
 */
export async function runAll(
  orders: readonly RunOrder[],
  threads: number,
): Promise<readonly RunSummary[]> {
  const results: RunSummary[] = [];
  let next = 0;
  const work = async () => {
    const worker = new Worker(WORKER);
    while (next < orders.length) {
      const at = next;
      next += 1;
      results[at] = await runOn(worker, orders[at]!);
    }
    await worker.terminate();
  };
  await Promise.all(Array.from({length: threads}, work));
  return results;
}

function runOn(worker: Worker, order: RunOrder): Promise<RunSummary> {
  return new Promise((resolve, reject) => {
    const done = (summary: RunSummary) => {
      worker.off('error', reject);
      resolve(summary);
    };
    worker.once('message', done);
    worker.once('error', reject);
    worker.postMessage(order);
  });
}
