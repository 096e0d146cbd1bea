/** Cancels a job at the request of its caller. */
import {sleep, type Clock, type EventLog, type Random} from '@oathead/core';
import {encodeJson, type RowStore} from '@oathead/stores';
import type {JobReader} from './job_reader.js';
import {headRef, headRow, type JobHead, type TellOwner} from './job_rows.js';

/** Outcome of cancelling a job. A cancelled job has the state `ended`. */
export type CancelResult = 'ended' | 'not-found' | 'unsure';

/** Dependencies for cancelling a job. */
export interface CancelContext {
  readonly store: RowStore;
  readonly reader: JobReader;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly tellOwner: TellOwner;
}

/**
 * An owner that writes results also writes the head. This number of attempts is
 * enough to write the cancellation between two of its writes.
 */
const MAX_ATTEMPTS = 8;
/**
 * Delay after an attempt that the store did not respond to, in milliseconds.
 */
const RETRY_DELAY_MS = 120;

/**
 * Marks a job as cancelled. The write fences the owner: its later writes, which
 * expect the older head, are rejected.
 *
 * @param context - Store, reader, clock and log.
 * @param jobId - ID of the job.
 * @returns `ended` also if the job was done or cancelled before; `unsure` if
 *   the store did not confirm the write.
 */
export async function cancelJob(
  context: CancelContext,
  jobId: string,
): Promise<CancelResult> {
  const {store, reader, clock, random, log} = context;
  for (let i = 0; i < MAX_ATTEMPTS; i++) {
    const found = await reader.head(jobId);
    if (!found.ok && found.err.kind === 'not-found') return 'not-found';
    if (!found.ok) {
      await sleep(clock, RETRY_DELAY_MS);
      continue;
    }
    const {head, version} = found.value;
    if (head.state !== 'open') return 'ended';
    const ref = headRef(jobId);
    const ended: JobHead = {
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
      const row = headRow({head: ended, version: written.value.version});
      if (head.owner !== '') context.tellOwner(head.owner, row);
      return 'ended';
    }
    // Without a response, the next attempt reads whether the write took effect.
    if (written.err.kind !== 'conflict') await sleep(clock, RETRY_DELAY_MS);
  }
  log.event('job-end-unsure', {job: jobId});
  return 'unsure';
}
