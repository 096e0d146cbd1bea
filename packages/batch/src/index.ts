/**
 * Durable batch jobs: accepted once, run in chunks under fenced shares, every outcome written once.
 *
 * @packageDocumentation
 */
export * from './lib/process/batch_jobs.js';
export * from './lib/process/batch_settings.js';
export * from './lib/request/job.js';
