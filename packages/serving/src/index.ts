/**
 * A process that serves online requests and batch jobs: gateway and jobs put
 * together over a store and a wire protocol.
 *
 * @packageDocumentation
 */
export * from './lib/process/serving_host.js';
export * from './lib/process/serving_options.js';
export * from './lib/process/serving_process.js';
export * from './lib/process/settings_watch.js';
