/** Batch jobs as text. */
import type {JobStatus} from '@oathead/batch';
import type {OutputFormat} from './remote_options.js';
import {table} from './table.js';

const FORMATS: Readonly<Record<OutputFormat, (job: JobStatus) => string>> = {
  json: job => JSON.stringify(job),
  table: ({id, state, items, counts}) =>
    table(
      ['job', 'state', 'items', 'waiting', 'done', 'failed', 'cancelled', '?'],
      [
        [
          id,
          state,
          items,
          counts.waiting,
          counts.done,
          counts.failed,
          counts.cancelled,
          counts.unknown,
        ],
      ],
    ),
};

/**
 * @param job - A batch job.
 * @param format - How to write it.
 * @returns Its text.
 */
export function jobText(job: JobStatus, format: OutputFormat): string {
  return FORMATS[format](job);
}
