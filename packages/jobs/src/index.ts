/**
 * Batch jobs on a store of versioned rows: accepted once, owned by one host at
 * a time, each result written once.
 *
 * @packageDocumentation
 */
export * from './lib/process/batch_scheduler.js';
export * from './lib/process/head_writer.js';
export * from './lib/process/item_runner.js';
export * from './lib/process/item_work.js';
export * from './lib/process/job_janitor.js';
export * from './lib/process/job_keeper.js';
export * from './lib/process/owned_job.js';
export * from './lib/request/job.js';
export * from './lib/request/job_content.js';
export * from './lib/request/job_end.js';
export * from './lib/request/job_intake.js';
export * from './lib/request/job_reader.js';
export * from './lib/request/job_rows.js';
