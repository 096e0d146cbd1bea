/**
 * A small fleet in one process on loopback: the demo, and what proofs and
 * benches run against.
 *
 * @packageDocumentation
 */
export * from './lib/process/demo.js';
export * from './lib/process/local_fleet.js';
export * from './lib/process/local_target.js';
