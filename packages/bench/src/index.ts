/**
 * Benches: policy, slopes and load.
 *
 * @packageDocumentation
 */
export * from './lib/process/policies.js';
export * from './lib/process/policy_report.js';
export * from './lib/process/policy_run.js';
export * from './lib/process/run_summary.js';
export * from './lib/process/traces.js';
