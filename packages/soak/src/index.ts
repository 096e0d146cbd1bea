/**
 * A randomized fault soak of the real programs.
 *
 * @packageDocumentation
 */
export * from './lib/process/run_soak.js';
export * from './lib/process/soak_plan.js';
