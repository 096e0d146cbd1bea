/**
 * Counters, histograms, traces, debug logs and settings files, shared by both
 * binaries.
 *
 * @packageDocumentation
 */
export * from './lib/process/log.js';
export * from './lib/process/metrics.js';
export * from './lib/process/settings.js';
export * from './lib/process/hops.js';
export * from './lib/process/log_tracing.js';
export * from './lib/process/tracing.js';
export * from './lib/process/json_event_log.js';
export * from './lib/process/stall_watch.js';
