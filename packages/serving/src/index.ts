/**
 * A process that serves online requests and batch jobs: combines the gateway
 * and batch jobs on top of a store and a wire protocol.
 *
 * @packageDocumentation
 */
export * from './lib/process/serving_platform.js';
export * from './lib/process/serving_options.js';
export * from './lib/process/serving_process.js';
export * from './lib/process/settings_watch.js';
