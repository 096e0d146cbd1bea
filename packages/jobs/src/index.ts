/**
 * Batch jobs on a store of versioned rows. A job is accepted once, owned by one
 * host at a time, and each of its results is written once.
 *
 * @packageDocumentation
 */
export * from './lib/process/batch_scheduler.js';
export * from './lib/process/head_writer.js';
export * from './lib/process/item_runner.js';
export * from './lib/process/item_work.js';
export * from './lib/process/job_garbage_collector.js';
export * from './lib/process/job_ownership.js';
export * from './lib/process/owned_job.js';
export * from './lib/request/job.js';
export * from './lib/request/job_content.js';
export * from './lib/request/job_cancellation.js';
export * from './lib/request/job_intake.js';
export * from './lib/request/job_reader.js';
export * from './lib/request/job_rows.js';
