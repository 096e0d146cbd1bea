/**
 * Stand-ins for the outside systems, with fault switches: model engine, plain service and platform.
 *
 * @packageDocumentation
 */
export * from './lib/process/engine_events.js';
export * from './lib/process/engine_model.js';
export * from './lib/process/engine_options.js';
export type {ModelRequest} from './lib/process/engine_sequence.js';
export type {LoadSample, ModelLoad} from './lib/process/load_samples.js';
export {prefixBlocks, type CacheExport} from './lib/process/prefix_cache.js';
