/** Ends a job on its caller's order. */
import {sleep, type Clock, type EventLog, type Random} from '@oathead/core';
import {encodeJson, type RowStore} from '@oathead/stores';
import type {JobReader} from './job_reader.js';
import {headRef} from './job_rows.js';

/** What came of ending a job. */
export type EndResult = 'ended' | 'not-found' | 'unsure';

/** What ending a job needs. */
export interface EndContext {
  readonly store: RowStore;
  readonly reader: JobReader;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
}

/** An owner that lists results writes the head too: so many rounds are enough
 * for the end to get between two of its writes. */
const MAX_ROUNDS = 8;
/** After a round in which the store gave no answer, in milliseconds. */
const RETRY_MS = 120;

/**
 * Marks a job as ended. The mark fences its owner: what the owner writes on top
 * of the older head is refused from then on.
 *
 * @param context - The store and its reader.
 * @param jobId - The job.
 * @returns What came of it; `ended` also when it was done or ended before.
 */
export async function endJob(
  context: EndContext,
  jobId: string,
): Promise<EndResult> {
  const {store, reader, clock, random, log} = context;
  for (let i = 0; i < MAX_ROUNDS; i++) {
    const found = await reader.head(jobId);
    if (!found.ok && found.err.kind === 'not-found') return 'not-found';
    if (!found.ok) {
      await sleep(clock, RETRY_MS);
      continue;
    }
    const {head, version} = found.value;
    if (head.state !== 'open') return 'ended';
    const ref = headRef(jobId);
    const ended = {
      ...head,
      state: 'ended',
      nonce: random.id(),
      closedAtMs: store.storeTimeMs(),
    };
    const written = await store.transact({
      expect: [{...ref, version}],
      puts: [{...ref, value: encodeJson(ended)}],
      removes: [],
    });
    if (written.ok) {
      log.event('job-ended', {job: jobId, owner: head.owner, rounds: i + 1});
      return 'ended';
    }
    // Without an answer the next round reads what became of it.
    if (written.err.kind !== 'conflict') await sleep(clock, RETRY_MS);
  }
  log.event('job-end-unsure', {job: jobId});
  return 'unsure';
}
