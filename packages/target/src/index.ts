/**
 * The process beside each target, the only way into its engine.
 *
 * @packageDocumentation
 */
export * from './lib/process/target_service.js';
